//! What the reducer learns: rules, host list, peers, load reports.

use std::sync::Arc;
use std::time::Instant;

use jaypin_rules::RuleSet;

use super::Reducer;
use crate::local::share_of;
use crate::rule_index::RuleIndex;
use crate::scheduler::Scheduler;
use crate::{
    BackendRecord, Effect, HostId, HostList, LoadReport, Message, Policy, RequestId, Shard,
};

impl Reducer {
    pub(super) fn rules(&mut self, version: u64, rules: Arc<RuleSet>) {
        // Stale platform copies and late peers offer old versions; the greater one stays,
        // so an accepted rule file never reverts.
        if version > self.rules_version {
            self.rules_version = version;
            self.rule_index = Arc::new(RuleIndex::new(rules.clone()));
            self.rules = rules;
            for scheduler in self.schedulers.values_mut() {
                scheduler.set_rules(self.rule_index.clone());
            }
        }
    }

    pub(super) fn hosts(&mut self, now: Instant, list: HostList, fx: &mut Vec<Effect>) {
        if self.membership.update(list, &self.cfg) {
            self.view_changed(now, fx);
        }
    }

    pub(super) fn peer_lost(&mut self, now: Instant, host: &HostId, fx: &mut Vec<Effect>) {
        self.keys.orphan(host);
        if self.membership.lose(host) {
            for scheduler in self.schedulers.values_mut() {
                scheduler.forget_owner(host, now);
            }
            self.view_changed(now, fx);
        }
    }

    pub(super) fn peer_back(&mut self, now: Instant, host: &HostId, fx: &mut Vec<Effect>) {
        if self.membership.regain(host) {
            for scheduler in self.schedulers.values_mut() {
                scheduler.regain_owner(host, now);
            }
            self.view_changed(now, fx);
        }
    }

    pub(super) fn load(&mut self, now: Instant, report: &LoadReport) {
        self.baseline.report(report);
        // A fixed share says nothing of what the other hosts run, so reports are no
        // correction there.
        if self.cfg.policy == Policy::Local {
            return;
        }
        let shard = self.membership.shards().shard_of(&report.backend);
        if let Some(scheduler) = shard.and_then(|shard| self.schedulers.get_mut(shard)) {
            scheduler.report(report, now);
        }
    }

    /// Takes up and lays down shards, and tells new leaders what runs here.
    pub(super) fn view_changed(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let led: Vec<Shard> = self
            .membership
            .shards()
            .iter()
            .map(|(shard, _)| shard)
            .filter(|shard| self.leader(shard) == Some(&self.cfg.host))
            .cloned()
            .collect();
        self.schedulers.retain(|shard, _| led.contains(shard));
        for shard in led {
            let records = self.records_for(&shard);
            let scheduler = self.schedulers.entry(shard.clone()).or_insert_with(|| {
                let rules = self.rule_index.clone();
                Scheduler::new(shard.clone(), &self.cfg, rules, now)
            });
            scheduler.set_backends(records.iter(), now);
        }
        self.report_in_flight(fx);
        self.ask_new_leaders(now, fx);
    }

    /// The backend servers of a shard, with the slots that this host may grant.
    fn records_for(&self, shard: &Shard) -> Vec<BackendRecord> {
        let members = self.membership.shards().members(shard).iter();
        let records = members.filter_map(|id| self.membership.backend(id));
        if self.cfg.policy != Policy::Local {
            return records.cloned().collect();
        }
        let live = self.membership.live_hosts();
        let hosts: Vec<HostId> = live.map(|host| host.id.clone()).collect();
        records
            .filter_map(|record| share_of(record, &self.cfg.host, &hosts))
            .collect()
    }

    pub(super) fn report_in_flight(&mut self, fx: &mut Vec<Effect>) {
        let moved: Vec<(Shard, HostId)> = self
            .membership
            .shards()
            .iter()
            .filter_map(|(shard, _)| Some((shard.clone(), self.leader(shard)?.clone())))
            .collect();
        for (shard, leader) in moved {
            if self.move_grants(&shard, &leader) {
                let running = self.owner.in_flight(&shard);
                self.send(&leader, Message::InFlight { shard, running }, fx);
            }
        }
    }

    /// Points running requests of a shard to its leader; says whether any moved.
    pub(super) fn move_grants(&mut self, shard: &Shard, leader: &HostId) -> bool {
        let mut moved = false;
        for request in self.owner.dispatched.values_mut() {
            if let Some((of, host, _)) = &mut request.state.slot.grant
                && of == shard
                && host != leader
            {
                *host = leader.clone();
                moved = true;
            }
        }
        moved
    }

    pub(super) fn ask_new_leaders(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let moved: Vec<RequestId> = self
            .owner
            .waiting
            .iter()
            .filter(|(_, request)| self.leader(&request.state.shard) != Some(&request.state.leader))
            .map(|(id, _)| id.clone())
            .collect();
        for id in moved {
            self.ask_again(now, &id, fx);
        }
    }
}
