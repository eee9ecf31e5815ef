//! Fleet-wide limits of client accounts: schedulers report demand to one host per account,
//! which splits the account's limits among the shards.

use std::time::{Duration, Instant};

use super::Reducer;
use crate::rendezvous::score;
use crate::{AccountId, Allowance, Effect, HostId, Message, Shard};

/// Time between two usage reports.
const USAGE_REPORT_INTERVAL: Duration = Duration::from_secs(1);

impl Reducer {
    /// Reports the demand of accounts with limits, in the shards that this host leads, to
    /// the hosts that split their limits.
    pub(super) fn report_usage(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        if self.next_usage.is_some_and(|at| now < at) {
            return;
        }
        self.next_usage = Some(now + USAGE_REPORT_INTERVAL);
        self.limit_keeper.remove_expired(now);
        let mut reports = Vec::new();
        for (shard, scheduler) in &mut self.schedulers {
            for usage in scheduler.take_usage(now) {
                reports.push((shard.clone(), usage));
            }
        }
        for (shard, usage) in reports {
            let Some(keeper) = self.keeper(&usage.account).cloned() else {
                continue;
            };
            let report = Message::Usage {
                shard,
                account: usage.account,
                tokens: usage.tokens,
                at_once: usage.at_once,
            };
            self.send(&keeper, report, fx);
        }
    }

    /// Returns the host that splits an account's limits.
    fn keeper(&self, account: &AccountId) -> Option<&HostId> {
        let hosts = self.membership.live_hosts().map(|host| &host.id);
        hosts.max_by_key(|id| score(account, id))
    }

    /// Records a shard's usage report and returns the part of the account's limits that the
    /// shard may use; none for an account without limits.
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
