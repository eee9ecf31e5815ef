//! Splits the limits of client accounts between the shards that the account uses.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::{AccountId, Shard};

/// Time over which use is averaged.
const MEMORY: Duration = Duration::from_secs(3);
/// Use, in tokens, below which a shard's entry is dropped.
const FORGOTTEN: f64 = 1.0;

/// What this host keeps of the accounts whose limits it splits; only active ones.
#[derive(Debug, Default)]
pub struct LimitKeeper {
    accounts: HashMap<AccountId, BTreeMap<Shard, Use>>,
}

#[derive(Debug, Clone, Copy)]
struct Use {
    tokens: f64,
    at: Instant,
}

impl Use {
    fn decayed(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.tokens * (-age / MEMORY.as_secs_f64()).exp()
    }
}

impl LimitKeeper {
    /// Takes a shard's use of an account; gives the shard's part of the limits.
    pub fn note(&mut self, account: &AccountId, shard: &Shard, tokens: f64, now: Instant) -> f64 {
        let shards = self.accounts.entry(account.clone()).or_default();
        shards.retain(|_, entry| entry.decayed(now) >= FORGOTTEN);
        let entry = shards.entry(shard.clone()).or_insert(Use {
            tokens: 0.0,
            at: now,
        });
        let own = entry.decayed(now) + tokens;
        *entry = Use {
            tokens: own,
            at: now,
        };
        let all: f64 = shards.values().map(|entry| entry.decayed(now)).sum();
        own / all.max(FORGOTTEN)
    }

    /// Drops accounts that no shard uses any more.
    pub fn forget_idle(&mut self, now: Instant) {
        self.accounts
            .retain(|_, shards| shards.values().any(|entry| entry.decayed(now) >= FORGOTTEN));
    }
}
