//! Limits over the whole fleet: schedulers tell, keepers split.

use std::time::{Duration, Instant};

use super::Reducer;
use crate::rendezvous::score;
use crate::{AccountId, Allowance, Effect, HostId, Message, Shard};

/// Pause between two tellings of use.
const USAGE_PAUSE: Duration = Duration::from_secs(1);

impl Reducer {
    /// Tells keepers what limited accounts asked in the shards led here.
    pub(super) fn tell_usage(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        if self.next_usage.is_some_and(|at| now < at) {
            return;
        }
        self.next_usage = Some(now + USAGE_PAUSE);
        self.limit_keeper.forget_idle(now);
        let mut told = Vec::new();
        for (shard, scheduler) in &mut self.schedulers {
            for seen in scheduler.take_usage(now) {
                told.push((shard.clone(), seen));
            }
        }
        for (shard, seen) in told {
            let Some(keeper) = self.keeper(&seen.account).cloned() else {
                continue;
            };
            let usage = Message::Usage {
                shard,
                account: seen.account,
                tokens: seen.tokens,
                at_once: seen.at_once,
            };
            self.send(&keeper, usage, fx);
        }
    }

    /// The host that splits an account's limits.
    fn keeper(&self, account: &AccountId) -> Option<&HostId> {
        let hosts = self.membership.live_hosts().map(|host| &host.id);
        hosts.max_by_key(|id| score(account, id))
    }

    /// What a shard may use of an account's limits, after what it told.
    pub(super) fn split_limit(
        &mut self,
        now: Instant,
        shard: &Shard,
        account: &AccountId,
        tokens: f64,
        at_once: u32,
    ) -> Option<Allowance> {
        let rule = self.rule_index.limit(account)?;
        Some(self.limit_keeper.note(rule, shard, tokens, at_once, now))
    }
}
