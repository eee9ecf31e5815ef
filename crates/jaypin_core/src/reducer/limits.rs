//! Limits over the whole fleet: schedulers tell, keepers split.

use std::time::{Duration, Instant};

use super::Reducer;
use crate::rendezvous::score;
use crate::{AccountId, Allowance, Effect, HostId, Message, Shard};

/// Pause between two tellings of use.
const USAGE_REPORT_INTERVAL: Duration = Duration::from_secs(1);

impl Reducer {
    /// Tells keepers what limited accounts asked in the shards led here.
    pub(super) fn report_usage(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        if self.next_usage.is_some_and(|at| now < at) {
            return;
        }
        self.next_usage = Some(now + USAGE_REPORT_INTERVAL);
        self.limit_keeper.remove_expired(now);
        let mut reports = Vec::new();
        for (shard, scheduler) in &mut self.schedulers {
            for seen in scheduler.take_usage(now) {
                reports.push((shard.clone(), seen));
            }
        }
        for (shard, seen) in reports {
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
        Some(
            self.limit_keeper
                .record_usage(rule, shard, tokens, at_once, now),
        )
    }
}
