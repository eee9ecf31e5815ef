//! What a shard scheduler has learned of one backend server.

use std::time::Duration;

use crate::{LoadReport, Presence};

/// Weight of a new observation in the running averages.
const LEARNING_RATE: f64 = 0.2;
/// Prefill speed that is assumed before anything was seen, in tokens a second.
const FIRST_GUESS_PREFILL: f64 = 2_000.0;
/// Time between tokens that is assumed before anything was seen.
const FIRST_GUESS_GAP: f64 = 0.04;

/// Speeds, load and presence of one backend server.
#[derive(Debug, Clone)]
pub struct BackendModel {
    /// Requests it may run at once.
    pub limit: u32,
    /// Requests that were granted and have not ended.
    pub running: u32,
    /// Prompt tokens granted whose first token has not come.
    pub prefill_queued: u32,
    /// Learned prefill speed in tokens a second.
    pub prefill_rate: f64,
    /// Learned time between two tokens in seconds.
    pub gap: f64,
    /// Whether it takes work.
    pub presence: Presence,
}

impl BackendModel {
    /// Starts with guesses and the stated number of slots.
    #[must_use]
    pub fn new(slots: u32, presence: Presence) -> Self {
        Self {
            limit: slots.max(1),
            running: 0,
            prefill_queued: 0,
            prefill_rate: FIRST_GUESS_PREFILL,
            gap: FIRST_GUESS_GAP,
            presence,
        }
    }

    /// Whether one more request may start.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.presence == Presence::Live && self.running < self.limit
    }

    /// Estimated time to the first token of a prompt that starts now.
    #[must_use]
    pub fn first_token(&self, prompt_tokens: u32) -> Duration {
        let tokens = f64::from(self.prefill_queued) + f64::from(prompt_tokens);
        Duration::from_secs_f64(tokens / self.prefill_rate.max(1.0))
    }

    /// Learns from a first token.
    pub fn saw_first_token(&mut self, prompt_tokens: u32, after: Duration) {
        let rate = f64::from(prompt_tokens.max(1)) / after.as_secs_f64().max(0.001);
        self.prefill_rate += LEARNING_RATE * (rate - self.prefill_rate);
    }

    /// Learns from the pace of a finished stream.
    pub fn saw_stream(&mut self, tokens: u32, streaming: Duration) {
        if tokens > 1 {
            let gap = streaming.as_secs_f64() / f64::from(tokens - 1);
            self.gap += LEARNING_RATE * (gap - self.gap);
        }
    }

    /// Takes a lagging report; it corrects presence and never leads.
    pub fn saw_report(&mut self, report: &LoadReport) {
        if report.leaving {
            self.presence = Presence::Leaving;
        }
    }
}
