//! Rates that decay over time.

use std::time::{Duration, Instant};

/// A rate over about the last `memory`: the weight of a count falls to 1/e in that time.
#[derive(Debug, Clone, Copy)]
pub struct DecayedRate {
    per_second: f64,
    at: Instant,
    memory: Duration,
}

impl DecayedRate {
    /// Creates a rate of 0.
    #[must_use]
    pub fn new(memory: Duration, now: Instant) -> Self {
        Self {
            per_second: 0.0,
            at: now,
            memory,
        }
    }

    /// Adds `amount` to what was counted.
    pub fn count(&mut self, amount: f64, now: Instant) {
        self.per_second = self.at(now) + amount / self.memory.as_secs_f64();
        self.at = now;
    }

    /// Takes back `amount` that was counted lately.
    pub fn take_back(&mut self, amount: f64) {
        self.per_second = (self.per_second - amount / self.memory.as_secs_f64()).max(0.0);
    }

    /// Lowers the rate to `most` per second if it is higher.
    pub fn limit(&mut self, most: f64, now: Instant) {
        self.per_second = self.at(now).min(most);
        self.at = now;
    }

    /// Returns the rate per second.
    #[must_use]
    pub fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_second * (-age / self.memory.as_secs_f64()).exp()
    }
}
