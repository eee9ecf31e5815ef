//! What the reducer learns: rules, host list, peers, load reports.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use jaypin_rules::RuleSet;

use super::Reducer;
use crate::{Effect, HostList, LoadReport, Shard};

impl Reducer {
    pub(super) fn rules(&mut self, version: u64, rules: Arc<RuleSet>) {
        // Stale platform copies and late peers offer old versions; the greater one stays,
        // so an accepted rule file never reverts.
        if version > self.rules_version {
            self.rules_version = version;
            self.rules = rules;
            self.gossip.versions_changed = true;
        }
    }

    pub(super) fn hosts(&mut self, now: Instant, list: HostList, fx: &mut Vec<Effect>) {
        // Lagging platform copies and late peers: the greater version stays.
        if self.membership.update(list, &self.cfg) {
            self.gossip.versions_changed = true;
            self.view_changed(now, fx);
        }
    }

    pub(super) fn load(&mut self, now: Instant, report: &LoadReport, fx: &mut Vec<Effect>) {
        self.baseline.report(report);
        for scheduler in self.schedulers.values_mut() {
            scheduler.report(report);
        }
        if self.membership.report(&report.backend, report.leaving) {
            self.view_changed(now, fx);
        }
    }

    /// Takes up and lays down shards, chooses partners, and tells new leaders what runs
    /// here.
    pub(super) fn view_changed(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        self.choose_links(fx);
        let led: BTreeSet<Shard> = self
            .membership
            .shards()
            .iter()
            .map(|(shard, _)| shard)
            .filter(|shard| self.membership.leader(shard) == Some(&self.cfg.host))
            .cloned()
            .collect();
        self.schedulers.retain(|shard, _| led.contains(shard));
        for shard in led {
            self.lead(now, &shard);
            let backends = self.membership.backends_of(&shard);
            if let Some(scheduler) = self.schedulers.get_mut(&shard) {
                scheduler.set_backends(backends.iter());
            }
        }
        self.follow_leaders(now, fx);
    }
}
