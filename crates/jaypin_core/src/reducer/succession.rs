//! A shard whose leader is gone goes to the next: owners report what runs and ask again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::Reducer;
use crate::membership::Term;
use crate::scheduler::Scheduler;
use crate::{
    BackendId, Config, Effect, HostId, InFlight, Incarnation, Message, Policy, RequestId, Shard,
};

/// How long a report is kept that came before this host knew that it leads the shard.
const EARLY_REPORT_EXPIRY: Duration = Duration::from_secs(1);

/// Owners whose reports this host's new schedulers wait for.
#[derive(Debug, Default)]
pub(super) struct Rebuilds {
    awaited: BTreeMap<Shard, Rebuild>,
    early: Vec<EarlyReport>,
}

/// A report to this host as the leader of a shard, from an owner whose view is ahead.
#[derive(Debug)]
struct EarlyReport {
    at: Instant,
    from: HostId,
    shard: Shard,
    running: Vec<InFlight>,
}

#[derive(Debug)]
struct Rebuild {
    until: Instant,
    owners: BTreeSet<HostId>,
    backends: BTreeSet<BackendId>,
}

impl Reducer {
    /// Starts the scheduler of a shard that this host leads from now on; says whether it
    /// is new.
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
        // A backend server may have said that it is leaving to the former leader only:
        // all of them are asked before the first grant.
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

    /// First part of the numbers of a scheduler that starts now: milliseconds since the
    /// Unix epoch, by this host's clock.
    ///
    /// Guards against backend servers that refuse all orders after a shard moved to a
    /// host whose process is older than its predecessor's: they compare numbers, so a
    /// later scheduler needs a greater one, whenever its process began.
    fn grant_incarnation(&self, now: Instant) -> Incarnation {
        let since = self
            .started
            .map_or(Duration::ZERO, |at| now.duration_since(at));
        let since = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        self.cfg.incarnation.saturating_add(since)
    }

    /// Forgets all schedulers and starts anew.
    ///
    /// Guards against a leader that was paused while another led its shards: its counts
    /// are old, and grants on top of them would put more on a backend server than it
    /// bears. Empty schedulers grant nothing until owners reported or the window ended.
    pub(super) fn restart_schedulers(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        self.schedulers.clear();
        self.rebuilds.awaited.clear();
        self.membership_changed(now, fx);
    }

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

    /// Guards against a report that overtakes the news that made its sender send it: it
    /// shows as a full window of waiting, and as slots granted twice when a report is
    /// the only one. Kept for a moment, it counts when this host takes up the shard.
    fn store_early_report(
        &mut self,
        now: Instant,
        from: &HostId,
        shard: &Shard,
        running: Vec<InFlight>,
    ) {
        self.drop_expired_reports(now);
        self.rebuilds.early.push(EarlyReport {
            at: now,
            from: from.clone(),
            shard: shard.clone(),
            running,
        });
    }

    fn drop_expired_reports(&mut self, now: Instant) {
        let early = &mut self.rebuilds.early;
        early.retain(|report| now.duration_since(report.at) < EARLY_REPORT_EXPIRY);
    }

    pub(super) fn apply_early_reports(
        &mut self,
        now: Instant,
        shard: &Shard,
        fx: &mut Vec<Effect>,
    ) {
        self.drop_expired_reports(now);
        let early = std::mem::take(&mut self.rebuilds.early);
        let (taken, kept) = early.into_iter().partition(|report| report.shard == *shard);
        self.rebuilds.early = kept;
        let taken: Vec<EarlyReport> = taken;
        for report in taken {
            self.record_owner_report(now, &report.from, shard, report.running, fx);
        }
    }

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

    /// Lets schedulers grant once every live host and backend server reported, or had
    /// time to.
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
            let reported = rebuild.owners.is_disjoint(&live) && rebuild.backends.is_empty();
            if reported || now >= rebuild.until {
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

    /// Reports to leaders in a new term what runs here, and asks them again.
    ///
    /// A term is a leader's run and revision: a leader that restarted at the same
    /// address, or was taken for gone, has lost its counts though its name is the same.
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
        self.request_slots_again(now, &changed, &before, fx);
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

    /// An empty report counts too: it lets the new leader grant before its window ends.
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

    fn request_slots_again(
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
                let gone = before.contains_key(shard) && !self.terms.contains_key(shard);
                changed.contains(shard) || gone
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
