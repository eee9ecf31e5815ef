//! What an owner last heard of the waits in shards.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::Shard;

/// Hints kept before old ones are dropped.
const MAX_HINTS: usize = 1_024;

/// Waits by shard and tier, as shard schedulers' answers carried them.
#[derive(Debug, Default)]
pub struct ShardHints {
    hints: HashMap<(Shard, u8), Hint>,
}

#[derive(Debug, Clone, Copy)]
struct Hint {
    wait: Duration,
    received_at: Instant,
}

impl ShardHints {
    /// Takes a wait that an answer carried.
    pub fn record_wait(&mut self, shard: &Shard, tier: u8, wait: Duration, now: Instant) {
        self.hints
            .insert((shard.clone(), tier), Hint { wait,
                received_at: now, },);
        if self.hints.len() > MAX_HINTS {
            self.hints.retain(|_, hint| !hint.remaining(now).is_zero());
        }
    }

    /// The wait to be expected; what was heard shrinks as time passes.
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
