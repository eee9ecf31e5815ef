//! What the reducer learns: rules, host list, peers, load reports.

use std::sync::Arc;
use std::time::Instant;

use jaypin_rules::RuleSet;

use super::Reducer;
use crate::scheduler::Scheduler;
use crate::{Effect, HostId, HostList, LoadReport, Message, RequestId, Shard};

impl Reducer {
    pub(super) fn rules(&mut self, version: u64, rules: Arc<RuleSet>) {
        // Stale platform copies and late peers offer old versions; the greater one stays,
        // so an accepted rule file never reverts.
        if version > self.rules_version {
            self.rules_version = version;
            self.rules = rules;
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
                scheduler.forget_owner(host);
            }
            self.view_changed(now, fx);
        }
    }

    pub(super) fn peer_back(&mut self, now: Instant, host: &HostId, fx: &mut Vec<Effect>) {
        if self.membership.regain(host) {
            self.view_changed(now, fx);
        }
    }

    pub(super) fn load(&mut self, report: &LoadReport) {
        self.baseline.report(report);
        for scheduler in self.schedulers.values_mut() {
            scheduler.report(report);
        }
    }

    /// Takes up and lays down shards, and tells new leaders what runs here.
    pub(super) fn view_changed(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let led: Vec<Shard> = self
            .membership
            .shards()
            .iter()
            .map(|(shard, _)| shard)
            .filter(|shard| self.membership.leader(shard) == Some(&self.cfg.host))
            .cloned()
            .collect();
        self.schedulers.retain(|shard, _| led.contains(shard));
        for shard in led {
            let scheduler = self
                .schedulers
                .entry(shard.clone())
                .or_insert_with(|| Scheduler::new(shard.clone(), &self.cfg, now));
            let members = self.membership.shards().members(&shard);
            scheduler.set_backends(members.iter().filter_map(|id| self.membership.backend(id)));
        }
        self.report_in_flight(fx);
        self.ask_new_leaders(now, fx);
    }

    pub(super) fn report_in_flight(&mut self, fx: &mut Vec<Effect>) {
        let moved: Vec<(Shard, HostId)> = self
            .membership
            .shards()
            .iter()
            .filter_map(|(shard, _)| Some((shard.clone(), self.membership.leader(shard)?.clone())))
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
            .filter(|(_, request)| {
                self.membership.leader(&request.state.shard) != Some(&request.state.leader)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in moved {
            self.ask_again(now, &id, fx);
        }
    }
}
