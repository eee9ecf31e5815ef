//! How long a backend server may be silent before a connection counts as dead.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Silence between tokens, as a multiple of the usual gap.
const GAP_FACTOR: f64 = 20.0;
/// Shortest silence between tokens that counts.
const GAP_FLOOR: Duration = Duration::from_millis(500);
/// Longest silence between tokens that is waited for.
const GAP_CEILING: Duration = Duration::from_secs(5);
/// Silence before the first token, as a multiple of the usual time for the prompt.
const FIRST_FACTOR: f64 = 8.0;
/// Shortest silence before the first token that counts.
const FIRST_FLOOR: Duration = Duration::from_secs(2);
/// Longest silence before the first token that is waited for.
const FIRST_CEILING: Duration = Duration::from_secs(30);
/// Gap taken for usual before any was seen.
const GAP_AT_FIRST: f64 = 0.066;
/// Seconds a prompt token taken for usual before any was seen.
const PREFILL_AT_FIRST: f64 = 0.001;
/// Weight of the newest sighting.
const NEWEST: f64 = 0.1;
/// Most backend servers remembered.
const MAX_PACES: usize = 4_096;

/// What was seen of all backend servers that this host called.
#[derive(Debug, Default)]
pub struct Paces {
    inner: Mutex<HashMap<String, Pace>>,
}

/// Seconds a token, while it is generated and while it is prefilled.
#[derive(Debug, Clone, Copy)]
struct Pace {
    gap: f64,
    prefill: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            gap: GAP_AT_FIRST,
            prefill: PREFILL_AT_FIRST,
        }
    }
}

impl Paces {
    /// Longest silence before the first token of a prompt.
    pub fn first_token_limit(&self, address: &str, prompt_tokens: u32) -> Duration {
        let usual = self.pace(address).prefill * f64::from(prompt_tokens);
        Duration::from_secs_f64(usual * FIRST_FACTOR).clamp(FIRST_FLOOR, FIRST_CEILING)
    }

    /// Longest silence between two tokens.
    pub fn gap_limit(&self, address: &str) -> Duration {
        Duration::from_secs_f64(self.pace(address).gap * GAP_FACTOR).clamp(GAP_FLOOR, GAP_CEILING)
    }

    /// Learns from a first token.
    pub fn saw_first_token(&self, address: &str, prompt_tokens: u32, after: Duration) {
        let seconds = after.as_secs_f64() / f64::from(prompt_tokens.max(1));
        self.learn(address, |pace| &mut pace.prefill, seconds);
    }

    /// Learns from a stream's usual gap.
    pub fn saw_gap(&self, address: &str, gap: Duration) {
        self.learn(address, |pace| &mut pace.gap, gap.as_secs_f64());
    }

    fn pace(&self, address: &str) -> Pace {
        self.lock().get(address).copied().unwrap_or_default()
    }

    fn learn(&self, address: &str, field: impl Fn(&mut Pace) -> &mut f64, seen: f64) {
        let mut paces = self.lock();
        if paces.len() >= MAX_PACES {
            paces.clear();
        }
        let pace = paces.entry(address.to_owned()).or_default();
        let value = field(pace);
        *value += NEWEST * (seen - *value);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Pace>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
