//! Handover of a shard to a new leader: owners report their running requests to it and
//! request slots again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::Reducer;
use crate::membership::Term;
use crate::scheduler::Scheduler;
use crate::{
    BackendId, Config, Effect, HostId, InFlight, Incarnation, Message, Policy, RequestId, Shard,
};

/// How long an owner's report is kept that arrived before this host knew that it leads the
/// shard.
const EARLY_REPORT_EXPIRY: Duration = Duration::from_secs(1);

/// Reports that this host's new schedulers wait for, and reports that arrived early.
#[derive(Debug, Default)]
pub(super) struct Rebuilds {
    awaited: BTreeMap<Shard, Rebuild>,
    early_reports: Vec<EarlyReport>,
}

/// A report for a shard that this host does not lead yet, from an owner that received the
/// change of the leader first.
#[derive(Debug)]
struct EarlyReport {
    at: Instant,
    from: HostId,
    shard: Shard,
    running: Vec<InFlight>,
}

/// Owners and backend servers that a new scheduler still waits for, at most until `until`.
#[derive(Debug)]
struct Rebuild {
    until: Instant,
    owners: BTreeSet<HostId>,
    backends: BTreeSet<BackendId>,
}

impl Reducer {
    /// Starts the scheduler of a shard that this host leads. Returns false if it is running
    /// already.
    pub(super) fn start_scheduler(&mut self, now: Instant, shard: &Shard) -> bool {
        if self.schedulers.contains_key(shard) {
            return false;
        }
        let cfg = Config {
            incarnation: self.grant_incarnation(now),
            ..self.cfg.clone()
        };
        let scheduler = Scheduler::new(shard.clone(), &cfg, self.rule_index.clone(), now);
        self.schedulers.insert(shard.clone(), scheduler);
        let owners = self.membership.live_hosts().map(|host| host.id.clone());
        let own = self.cfg.host.clone();
        // A backend server may have reported only to the former leader that it is shutting
        // down, so all backend servers are polled before the first grant.
        let backends = self.membership.shards().members(shard).iter().cloned();
        let rebuild = Rebuild {
            backends: backends.collect(),
            until: now + self.cfg.rebuild_window,
            owners: match self.cfg.policy {
                Policy::Local => BTreeSet::from([own]),
                Policy::Grants | Policy::Baseline => owners.collect(),
            },
        };
        self.rebuilds.awaited.insert(shard.clone(), rebuild);
        self.next_poll = None;
        true
    }

    /// Returns the first part of the grant numbers of a scheduler that starts now, in
    /// milliseconds since the Unix epoch by this host's clock.
    ///
    /// Backend servers reject calls whose grant number is smaller than an earlier one. A new
    /// scheduler needs greater numbers than its predecessor also when its host's process is
    /// the older one; otherwise all its calls would be rejected.
    fn grant_incarnation(&self, now: Instant) -> Incarnation {
        let running = self
            .started
            .map_or(Duration::ZERO, |at| now.duration_since(at));
        let running_ms = u64::try_from(running.as_millis()).unwrap_or(u64::MAX);
        self.cfg.incarnation.saturating_add(running_ms)
    }

    /// Replaces all schedulers by empty ones.
    ///
    /// The counts of a leader that was paused while another host led its shards are
    /// outdated, and granting slots based on them would overload backend servers. Empty
    /// schedulers grant nothing until the owners reported or the rebuild window ended.
    pub(super) fn restart_schedulers(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        self.schedulers.clear();
        self.rebuilds.awaited.clear();
        self.handle_membership_change(now, fx);
    }

    /// Applies an owner's report of its running requests to the scheduler of their shard.
    pub(super) fn record_owner_report(
        &mut self,
        now: Instant,
        from: &HostId,
        shard: &Shard,
        running: Vec<InFlight>,
        fx: &mut Vec<Effect>,
    ) {
        let Some(scheduler) = self.schedulers.get_mut(shard) else {
            return self.store_early_report(now, from, shard, running);
        };
        scheduler.adopt_in_flight(from, running, now);
        if let Some(rebuild) = self.rebuilds.awaited.get_mut(shard) {
            rebuild.owners.remove(from);
        }
        self.end_rebuilds(now, fx);
    }

    /// Keeps a report for a shard that this host does not lead yet; it is applied when this
    /// host becomes the leader.
    ///
    /// A report can arrive before the membership change that caused it. Without this, the
    /// new scheduler would wait for the whole rebuild window, and a slot that only the
    /// dropped report names would be granted twice.
    fn store_early_report(
        &mut self,
        now: Instant,
        from: &HostId,
        shard: &Shard,
        running: Vec<InFlight>,
    ) {
        self.drop_expired_reports(now);
        self.rebuilds.early_reports.push(EarlyReport {
            at: now,
            from: from.clone(),
            shard: shard.clone(),
            running,
        });
    }

    fn drop_expired_reports(&mut self, now: Instant) {
        let early = &mut self.rebuilds.early_reports;
        early.retain(|report| now.duration_since(report.at) < EARLY_REPORT_EXPIRY);
    }

    /// Applies the reports that arrived before this host led the shard.
    pub(super) fn apply_early_reports(
        &mut self,
        now: Instant,
        shard: &Shard,
        fx: &mut Vec<Effect>,
    ) {
        self.drop_expired_reports(now);
        let early = std::mem::take(&mut self.rebuilds.early_reports);
        let (applied, kept) = early.into_iter().partition(|report| report.shard == *shard);
        self.rebuilds.early_reports = kept;
        let applied: Vec<EarlyReport> = applied;
        for report in applied {
            self.record_owner_report(now, &report.from, shard, report.running, fx);
        }
    }

    /// Records that a backend server reported its load, which new schedulers wait for.
    pub(super) fn record_backend_report(
        &mut self,
        now: Instant,
        backend: &BackendId,
        fx: &mut Vec<Effect>,
    ) {
        for rebuild in self.rebuilds.awaited.values_mut() {
            rebuild.backends.remove(backend);
        }
        self.end_rebuilds(now, fx);
    }

    /// Allows schedulers to grant slots once every live host and every backend server
    /// reported, or the rebuild window ended.
    pub(super) fn end_rebuilds(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        if self.rebuilds.awaited.is_empty() {
            return;
        }
        let live: BTreeSet<HostId> = self
            .membership
            .live_hosts()
            .map(|host| host.id.clone())
            .collect();
        let mut ended = Vec::new();
        self.rebuilds.awaited.retain(|shard, rebuild| {
            let is_complete = rebuild.owners.is_disjoint(&live) && rebuild.backends.is_empty();
            if is_complete || now >= rebuild.until {
                ended.push(shard.clone());
                return false;
            }
            true
        });
        let mut out = Vec::new();
        for shard in ended {
            if let Some(scheduler) = self.schedulers.get_mut(&shard) {
                scheduler.end_rebuild(now, &mut out);
            }
        }
        self.send_all(out, fx);
    }

    /// Reports the running requests to leaders whose term is new, and requests slots from
    /// them again.
    ///
    /// A term includes the leader's incarnation and revision: a leader that restarted, or
    /// was marked suspect or dead, has lost its counts though its id is the same.
    pub(super) fn handle_new_terms(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let terms = self.current_terms();
        if terms == self.terms {
            return;
        }
        let changed: BTreeSet<Shard> = terms
            .iter()
            .filter(|(shard, term)| self.terms.get(*shard) != Some(*term))
            .map(|(shard, _)| shard.clone())
            .collect();
        let before = std::mem::replace(&mut self.terms, terms);
        for shard in &changed {
            self.report_in_flight(shard, fx);
        }
        self.request_slots_from_new_leaders(now, &changed, &before, fx);
    }

    fn current_terms(&self) -> BTreeMap<Shard, Term> {
        if self.cfg.policy != Policy::Local {
            return self.membership.terms();
        }
        let own = (self.cfg.host.clone(), self.cfg.incarnation, 0);
        let shards = self.membership.shards().iter();
        shards
            .map(|(shard, _)| (shard.clone(), own.clone()))
            .collect()
    }

    /// Reports the running requests of a shard to its leader. An empty report is sent too,
    /// since it lets the new leader grant slots before its rebuild window ends.
    fn report_in_flight(&mut self, shard: &Shard, fx: &mut Vec<Effect>) {
        let Some(leader) = self.leader(shard).cloned() else {
            return;
        };
        for request in self.owner.dispatched.values_mut() {
            if let Some((of, host, _)) = &mut request.state.slot.grant
                && of == shard
            {
                *host = leader.clone();
            }
        }
        let running = self.owner.in_flight(shard);
        let shard = shard.clone();
        self.send(&leader, Message::InFlight { shard, running }, fx);
    }

    /// Requests slots again for the waiting requests of shards whose term changed or that have
    /// no leader any more.
    fn request_slots_from_new_leaders(
        &mut self,
        now: Instant,
        changed: &BTreeSet<Shard>,
        before: &BTreeMap<Shard, Term>,
        fx: &mut Vec<Effect>,
    ) {
        let moved: Vec<RequestId> = self
            .owner
            .waiting
            .iter()
            .filter(|(_, request)| {
                let shard = &request.state.shard;
                let has_no_leader = before.contains_key(shard) && !self.terms.contains_key(shard);
                changed.contains(shard) || has_no_leader
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in moved {
            self.request_slot_again(now, &id, fx);
        }
    }

    pub(super) fn request_all_slots_again(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let waiting: Vec<RequestId> = self.owner.waiting.keys().cloned().collect();
        for id in waiting {
            self.request_slot_again(now, &id, fx);
        }
    }
}
