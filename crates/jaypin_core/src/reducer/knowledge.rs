//! Updates from outside: rules, host list, membership and load reports.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use jaypin_rules::RuleSet;

use super::Reducer;
use crate::local::share_of;
use crate::rule_index::RuleIndex;
use crate::{BackendRecord, Effect, HostId, HostList, LoadReport, Policy, Shard};

impl Reducer {
    /// Applies a version of the rules if it is newer.
    pub(super) fn apply_rules(&mut self, version: u64, rules: Arc<RuleSet>) {
        // Outdated copies of the platform and delayed messages of peers carry old versions.
        // Only a greater version is applied, so an accepted rule file is never reverted.
        if version > self.rules_version {
            self.rules_version = version;
            self.rule_index = Arc::new(RuleIndex::new(rules.clone()));
            self.rules = rules;
            self.gossip.versions_changed = true;
            for scheduler in self.schedulers.values_mut() {
                scheduler.set_rules(self.rule_index.clone());
            }
        }
    }

    /// Applies a host list if it is newer.
    pub(super) fn apply_host_list(&mut self, now: Instant, list: HostList, fx: &mut Vec<Effect>) {
        // Outdated copies of the platform and delayed messages of peers carry old versions;
        // only a greater version is applied.
        if self.membership.update(list, &self.cfg) {
            self.gossip.versions_changed = true;
            self.handle_membership_change(now, fx);
        }
    }

    /// Applies a backend server's load report to the baseline policy, to the membership, and
    /// to the scheduler of its shard.
    pub(super) fn apply_load_report(
        &mut self,
        now: Instant,
        report: &LoadReport,
        fx: &mut Vec<Effect>,
    ) {
        self.baseline.apply_load_report(report);
        if self
            .membership
            .set_reported_leaving(&report.backend, report.leaving)
        {
            self.handle_membership_change(now, fx);
        }
        // With fixed shares, a reported load includes the requests that other hosts run on
        // their shares, so the report can't correct this host's count.
        if self.cfg.policy == Policy::Local {
            return;
        }
        let shard = self.membership.shards().shard_of(&report.backend);
        if let Some(scheduler) = shard.and_then(|shard| self.schedulers.get_mut(shard)) {
            scheduler.apply_load_report(report, now);
        }
        self.record_backend_report(now, &report.backend, fx);
    }

    /// Handles a change of the host list or the membership table: chooses partners, starts
    /// and stops schedulers, and reports running requests to new leaders.
    pub(super) fn handle_membership_change(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        self.choose_links(fx);
        let led: BTreeSet<Shard> = self
            .membership
            .shards()
            .iter()
            .map(|(shard, _)| shard)
            .filter(|shard| self.leader(shard) == Some(&self.cfg.host))
            .cloned()
            .collect();
        self.schedulers.retain(|shard, _| led.contains(shard));
        for shard in led {
            let is_new = self.start_scheduler(now, &shard);
            let records = self.grantable_backends(&shard);
            if let Some(scheduler) = self.schedulers.get_mut(&shard) {
                scheduler.set_backends(records.iter(), now);
            }
            if is_new {
                self.apply_early_reports(now, &shard, fx);
            }
        }
        self.handle_new_terms(now, fx);
    }

    /// Returns the backend servers of a shard, with the slots that this host may grant.
    fn grantable_backends(&self, shard: &Shard) -> Vec<BackendRecord> {
        let records = self.membership.backends_of(shard);
        if self.cfg.policy != Policy::Local {
            return records;
        }
        let live = self.membership.live_hosts();
        let hosts: Vec<HostId> = live.map(|host| host.id.clone()).collect();
        records
            .iter()
            .filter_map(|record| share_of(record, &self.cfg.host, &hosts))
            .collect()
    }
}
