//! Latency estimates of backend servers, and how long a connection may therefore be silent
//! before it counts as dead.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Timeout between tokens, as a multiple of the estimated gap.
const GAP_FACTOR: f64 = 20.0;
/// Shortest timeout between tokens.
const MIN_GAP_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest timeout between tokens.
const MAX_GAP_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for the first token, as a multiple of the estimated time for the prompt.
const FIRST_TOKEN_FACTOR: f64 = 8.0;
/// Shortest timeout for the first token.
const MIN_FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest timeout for the first token.
const MAX_FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(30);
/// Initial estimate of the gap between tokens, in seconds.
const INITIAL_GAP: f64 = 0.066;
/// Initial estimate of the prefill time, in seconds per prompt token.
const INITIAL_PREFILL: f64 = 0.001;
/// Weight of the newest sample in the moving average.
const NEWEST_WEIGHT: f64 = 0.1;
/// Largest number of backend servers with an estimate; beyond it all are forgotten.
const MAX_ESTIMATES: usize = 4_096;

/// Latency estimates of all backend servers that this host called, by address.
#[derive(Debug, Default)]
pub struct LatencyEstimates {
    inner: Mutex<HashMap<String, LatencyEstimate>>,
}

/// Moving averages of one backend server's latency, in seconds per token.
#[derive(Debug, Clone, Copy)]
struct LatencyEstimate {
    /// Time between two generated tokens.
    gap: f64,
    /// Time to prefill one prompt token.
    prefill: f64,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        Self {
            gap: INITIAL_GAP,
            prefill: INITIAL_PREFILL,
        }
    }
}

impl LatencyEstimates {
    /// Returns the timeout for the first token after a prompt of the given length.
    pub fn first_token_timeout(&self, address: &str, prompt_tokens: u32) -> Duration {
        let expected = self.estimate(address).prefill * f64::from(prompt_tokens);
        Duration::from_secs_f64(expected * FIRST_TOKEN_FACTOR)
            .clamp(MIN_FIRST_TOKEN_TIMEOUT, MAX_FIRST_TOKEN_TIMEOUT)
    }

    /// Returns the timeout between two tokens.
    pub fn gap_timeout(&self, address: &str) -> Duration {
        Duration::from_secs_f64(self.estimate(address).gap * GAP_FACTOR)
            .clamp(MIN_GAP_TIMEOUT, MAX_GAP_TIMEOUT)
    }

    /// Records the time from dispatch to a first token.
    pub fn record_first_token(&self, address: &str, prompt_tokens: u32, after: Duration) {
        let seconds = after.as_secs_f64() / f64::from(prompt_tokens.max(1));
        self.update(address, |estimate| &mut estimate.prefill, seconds);
    }

    /// Records the mean gap between the tokens of a stream.
    pub fn record_gap(&self, address: &str, gap: Duration) {
        self.update(address, |estimate| &mut estimate.gap, gap.as_secs_f64());
    }

    fn estimate(&self, address: &str) -> LatencyEstimate {
        self.lock().get(address).copied().unwrap_or_default()
    }

    fn update(&self, address: &str, field: impl Fn(&mut LatencyEstimate) -> &mut f64, sample: f64) {
        let mut estimates = self.lock();
        if estimates.len() >= MAX_ESTIMATES {
            estimates.clear();
        }
        let estimate = estimates.entry(address.to_owned()).or_default();
        let value = field(estimate);
        *value += NEWEST_WEIGHT * (sample - *value);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, LatencyEstimate>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
