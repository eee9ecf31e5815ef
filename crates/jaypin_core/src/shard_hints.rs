//! The expected waits in shards, as far as this owner knows them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::Shard;

/// Number of hints above which those that have run out are removed.
const MAX_HINTS: usize = 1_024;

/// The expected wait by shard and tier, as reported in replies of shard schedulers.
#[derive(Debug, Default)]
pub struct ShardHints {
    hints: HashMap<(Shard, u8), Hint>,
}

/// A reported wait and when it was received.
#[derive(Debug, Clone, Copy)]
struct Hint {
    wait: Duration,
    received_at: Instant,
}

impl ShardHints {
    /// Records the wait that a reply reported.
    pub fn record_wait(&mut self, shard: &Shard, tier: u8, wait: Duration, now: Instant) {
        self.hints.insert(
            (shard.clone(), tier),
            Hint {
                wait,
                received_at: now,
            },
        );
        if self.hints.len() > MAX_HINTS {
            self.hints.retain(|_, hint| !hint.remaining(now).is_zero());
        }
    }

    /// Returns the expected wait: the last reported one less the time since then.
    #[must_use]
    pub fn wait(&self, shard: &Shard, tier: u8, now: Instant) -> Duration {
        let hint = self.hints.get(&(shard.clone(), tier));
        hint.map_or(Duration::ZERO, |hint| hint.remaining(now))
    }
}

impl Hint {
    fn remaining(self, now: Instant) -> Duration {
        self.wait
            .saturating_sub(now.saturating_duration_since(self.received_at))
    }
}
