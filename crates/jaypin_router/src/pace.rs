//! How fast a backend server reads prompts, learned from first events.

use std::time::Duration;

/// Tokens a second that are assumed of an engine before it was seen at work.
///
/// Two thirds of what engines of the planned generation state; an engine that is slower
/// shows after one or two prompts.
const FIRST_GUESS_RATE: f64 = 40_000.0;
/// Weight of that guess, in tokens.
const FIRST_GUESS_TOKENS: f64 = 3_000.0;
/// Tokens after which an observation counts for 1/e: about eight mean prompts, so that an
/// engine which turns slow is known as such within a second of its usual load.
const MEMORY_TOKENS: f64 = 50_000.0;
/// Time from dispatch to the first event that does not depend on the prompt: two network
/// delays, a handshake and the first step of the engine.
pub const CALL_OVERHEAD: Duration = Duration::from_millis(14);
/// Least time taken for a prefill, so that a cached prompt gives no endless speed.
const LEAST_SECONDS: f64 = 0.001;

/// Decayed sums of tokens and of the time that they took.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillRate {
    tokens: f64,
    seconds: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self {
            tokens: FIRST_GUESS_TOKENS,
            seconds: FIRST_GUESS_TOKENS / FIRST_GUESS_RATE,
        }
    }
}

impl PrefillRate {
    /// Learns that the prefill of so many tokens took so long.
    pub fn record(&mut self, tokens: f64, seconds: f64) {
        let keep = (-tokens / MEMORY_TOKENS).exp();
        self.tokens = self.tokens * keep + tokens;
        self.seconds = self.seconds * keep + seconds.max(LEAST_SECONDS);
    }

    /// Tokens a second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.tokens / self.seconds.max(LEAST_SECONDS)
    }

    /// Seconds that the prefill of so many tokens takes.
    #[must_use]
    pub fn seconds_for(&self, tokens: f64) -> f64 {
        tokens / self.rate().max(1.0)
    }
}
