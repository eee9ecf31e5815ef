//! Rates that forget.

use std::time::{Duration, Instant};

/// A rate over about the last `memory`: what was counted then counts for 1/e now.
#[derive(Debug, Clone, Copy)]
pub struct DecayedRate {
    per_second: f64,
    at: Instant,
    memory: Duration,
}

impl DecayedRate {
    /// Starts at nothing.
    #[must_use]
    pub fn new(memory: Duration, now: Instant) -> Self {
        Self {
            per_second: 0.0,
            at: now,
            memory,
        }
    }

    /// Counts so much.
    pub fn count(&mut self, amount: f64, now: Instant) {
        self.per_second = self.at(now) + amount / self.memory.as_secs_f64();
        self.at = now;
    }

    /// How much came in a second.
    #[must_use]
    pub fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_second * (-age / self.memory.as_secs_f64()).exp()
    }
}
