//! Splits the limits of a client account among the shards that the account uses.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use jaypin_rules::LimitRule;

use crate::{AccountId, Allowance, Shard};

/// Time constant of the exponential average of the token demand.
const AVERAGING_TIME: Duration = Duration::from_secs(3);
/// Time after its last report from which on a shard gets no part of the limits.
const USAGE_EXPIRY: Duration = Duration::from_secs(10);

/// Reported demand of the client accounts whose limits this host splits. Accounts without
/// a recent report are removed.
#[derive(Debug, Default)]
pub struct LimitKeeper {
    accounts: HashMap<AccountId, BTreeMap<Shard, ShardUsage>>,
}

/// Demand of an account that a shard last reported.
#[derive(Debug, Clone, Copy)]
struct ShardUsage {
    /// Decayed sum of requested tokens, as of `at`.
    tokens: f64,
    /// Requests that ran or were ready to run at once.
    at_once: f64,
    /// Time of the report.
    at: Instant,
}

impl ShardUsage {
    /// Returns the decayed sum of requested tokens at a later time.
    fn tokens_at(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.tokens * (-age / AVERAGING_TIME.as_secs_f64()).exp()
    }

    fn is_expired(self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) >= USAGE_EXPIRY
    }
}

impl LimitKeeper {
    /// Records an account's demand in a shard, and returns the part of the account's limits
    /// that the shard may use.
    ///
    /// `tokens` is the demand since the shard's last report, `at_once` the highest number
    /// of requests that ran or were ready to run at once.
    pub fn record_usage(
        &mut self,
        rule: &LimitRule,
        shard: &Shard,
        tokens: f64,
        at_once: u32,
        now: Instant,
    ) -> Allowance {
        let account = AccountId::from(rule.account.as_str());
        let shards = self.accounts.entry(account).or_default();
        shards.retain(|_, other| !other.is_expired(now));
        let before = shards.get(shard).map_or(0.0, |old| old.tokens_at(now));
        let own = ShardUsage {
            tokens: before + tokens,
            at_once: f64::from(at_once),
            at: now,
        };
        shards.insert(shard.clone(), own);
        let count = f64::from(u32::try_from(shards.len()).unwrap_or(u32::MAX));
        let seconds = AVERAGING_TIME.as_secs_f64();
        let tokens: f64 = shards.values().map(|other| other.tokens_at(now)).sum();
        let at_once: f64 = shards.values().map(|other| other.at_once).sum();
        let all = Allowance::all_of(rule);
        Allowance {
            tokens_per_second: shard_limit(
                all.tokens_per_second,
                own.tokens / seconds,
                tokens / seconds,
                count,
            ),
            at_once: shard_limit(all.at_once, own.at_once, at_once, count),
        }
    }

    /// Removes accounts of which no shard reported demand recently.
    pub fn remove_expired(&mut self, now: Instant) {
        self.accounts
            .retain(|_, shards| shards.values().any(|other| !other.is_expired(now)));
    }
}

/// Returns a shard's part of a limit. Within the limit, that is its own demand plus an
/// equal share of the unused rest. When the demand `all` of all `count` shards exceeds the
/// limit, it is the part of the limit that is proportional to the shard's demand.
fn shard_limit(limit: f64, own: f64, all: f64, count: f64) -> f64 {
    if all <= limit {
        own + (limit - all) / count
    } else {
        limit * own / all
    }
}
