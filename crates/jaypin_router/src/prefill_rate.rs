//! Rate at which a backend server reads prompts, measured by first events.

use std::time::Duration;

/// Rate in tokens per second that is assumed of an engine before any observation.
///
/// It is two thirds of what engines of the planned generation state; a slower engine shows after
/// one or two prompts.
const INITIAL_RATE: f64 = 40_000.0;
/// Weight of that initial rate, in tokens.
const INITIAL_TOKENS: f64 = 3_000.0;
/// Number of tokens after which the weight of an observation falls to 1/e: about eight mean
/// prompts, so that an engine which turns slow is recognized within a second of its usual load.
const MEMORY_TOKENS: f64 = 50_000.0;
/// Time from dispatch to the first event that does not depend on the prompt: two network
/// delays, a handshake and the first step of the engine.
pub const CALL_OVERHEAD: Duration = Duration::from_millis(14);
/// Shortest time in seconds that a prefill counts as, so that a cached prompt gives no infinite
/// rate.
const MIN_SECONDS: f64 = 0.001;

/// Decayed sums of tokens and of the seconds that they took.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillRate {
    tokens: f64,
    seconds: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self {
            tokens: INITIAL_TOKENS,
            seconds: INITIAL_TOKENS / INITIAL_RATE,
        }
    }
}

impl PrefillRate {
    /// Records that the prefill of `tokens` took `seconds`.
    pub fn record(&mut self, tokens: f64, seconds: f64) {
        let keep = (-tokens / MEMORY_TOKENS).exp();
        self.tokens = self.tokens * keep + tokens;
        self.seconds = self.seconds * keep + seconds.max(MIN_SECONDS);
    }

    /// Returns whether a prefill was observed.
    #[must_use]
    pub fn is_observed(&self) -> bool {
        *self != Self::default()
    }

    /// Returns the rate in tokens per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.tokens / self.seconds.max(MIN_SECONDS)
    }

    /// Returns the seconds that the prefill of `tokens` takes.
    #[must_use]
    pub fn seconds_for(&self, tokens: f64) -> f64 {
        tokens / self.rate().max(1.0)
    }
}
