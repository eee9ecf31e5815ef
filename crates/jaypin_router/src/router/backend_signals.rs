//! Effects of the signals of backend servers on this host: which of them get no new requests,
//! and which part of a rate limit this host may use.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use jaypin_core::ServiceId;

use super::Router;
use crate::backend_subset::{hash, pair_score};
use crate::rejection_guard::RejectionGuard;
use crate::throttle::pause_at;
use crate::{
    Backend, BackendSignals, Contact, DecisionInputs, Report, RequestNumber, SignalTable, cell_of,
};

/// Hosts that share the rate limits of backend servers, as known to this host.
#[derive(Debug)]
struct LimitSharers {
    /// Hash of this host's name.
    own: u64,
    /// Whether this host is one of them.
    is_included: bool,
    /// Hashes of the names of the others.
    others: Vec<u64>,
}

impl Router {
    /// Applies the signals in a response header.
    pub(super) fn handle_header(
        &mut self,
        now: Instant,
        number: RequestNumber,
        signals: BackendSignals,
        backoff: Option<Duration>,
    ) {
        let Some(request) = self.sent.get(&number) else {
            return;
        };
        let state = &request.state;
        let Some(backend) = self.backends.get(&state.backend) else {
            return;
        };
        if let Some(backoff) = backoff {
            self.signals.record_backoff(&backend.record, backoff, now);
        }
        let (run, sent_at) = (state.run, state.at);
        let has_changed = self.signals.record(&backend.record, signals, state.at, now);
        if has_changed {
            self.load_report_state.slot_changed(backend.key);
        }
        if has_changed || backoff.is_some() {
            self.apply_signals(now);
        }
        self.record_answer(run, sent_at, now);
    }

    /// Applies the signals of backend servers in a peer's report.
    pub(super) fn apply_reported_signals(&mut self, report: &Report, now: Instant) {
        let mut has_changed = false;
        for reported in &report.signals {
            has_changed |= self.signals.apply_peer_report(reported, now);
        }
        if has_changed {
            self.apply_signals(now);
        }
    }

    /// Removes old signals, and divides the rate limits anew among the current hosts.
    pub(super) fn refresh_signals(&mut self, now: Instant) {
        if self.signals.is_empty() {
            return;
        }
        let backends = &self.backends;
        let is_known = |key| backends.by_key(key).is_some();
        self.signals.remove_expired(is_known, now);
        if self.signals.has_limits() {
            self.apply_signals(now);
        }
    }

    /// Sets for each backend server whether it is leaving or has requested a backoff, and the
    /// pause between two requests of this host.
    pub(super) fn apply_signals(&mut self, now: Instant) {
        let sharers = self.sharers(now);
        let limits = self.rejection_limits();
        for backend in self.backends.values_mut() {
            if apply(&self.signals, backend, &sharers, &limits, now) {
                self.stable_subsets.invalidate();
            }
        }
    }

    /// Applies the signals of one backend server, whose entry has changed.
    pub(super) fn apply_signals_of(&mut self, id: &str, now: Instant) {
        if self.signals.is_empty() {
            return;
        }
        let sharers = self.sharers(now);
        let limits = self.rejection_limits();
        let Some(backend) = self.backends.get_mut(id) else {
            return;
        };
        if apply(&self.signals, backend, &sharers, &limits, now) {
            self.stable_subsets.invalidate();
        }
    }

    /// Returns the smallest rejection limit that a backend server states, by service. One that has
    /// just started, and has not answered yet, is as brittle as the others.
    fn rejection_limits(&self) -> HashMap<ServiceId, u32> {
        let mut limits = HashMap::new();
        if !self.signals.has_limits() {
            return limits;
        }
        for backend in self.backends.values() {
            if let Some(limit) = self.signals.of(&backend.record).rejection_limit {
                let known = limits.entry(backend.record.service.clone());
                let known = known.or_insert(limit);
                *known = (*known).min(limit);
            }
        }
        limits
    }

    /// Records that a backend server rejected a request for lack of room. If that can harm it, the
    /// other hosts are told at once.
    pub(super) fn record_rejection(&mut self, id: &str, now: Instant) {
        let Some(backend) = self.backends.get(id).filter(|it| it.is_guarded()) else {
            return;
        };
        self.signals.record_rejection(&backend.record, now);
        self.load_report_state.slot_changed(backend.key);
        self.apply_signals(now);
    }

    /// Returns the time until a backend server of a service accepts requests again; zero if one
    /// does now.
    pub(super) fn backoff_left(&self, service: &ServiceId, now: Instant) -> Duration {
        let ready = self.backends.values().filter(|it| it.is_ready());
        let of_service = ready.filter(|it| it.record.service == *service);
        let left = of_service.map(|it| it.backoff_left(now));
        left.min().unwrap_or_default()
    }

    /// Returns why a service has no backend server for a request.
    pub(super) fn no_backend_inputs(&self, service: &ServiceId, now: Instant) -> DecisionInputs {
        let all = self.backends.values();
        let of_service = all.filter(|it| it.record.service == *service);
        let backing_off = of_service.clone().filter(|it| it.is_backing_off(now));
        DecisionInputs::NoUsableBackend {
            limited: of_service.filter(|it| self.is_limited(it)).count(),
            backing_off: backing_off.count(),
        }
    }

    /// Returns the hosts to which callers are sent; if there are none, all live hosts.
    fn sharers(&self, now: Instant) -> LimitSharers {
        let live = self.fleet.live_peers(now);
        let ready = live.filter(|(_, it)| it.is_ready && it.contact == Contact::Reaching);
        let mut others: Vec<_> = ready.map(|(host, _)| hash(host)).collect();
        others.extend(self.ready_in_other_cells(now));
        let is_included = (self.was_ready && !self.is_cut_off()) || others.is_empty();
        if others.is_empty() && !self.was_ready {
            let live = self.fleet.live_peers(now);
            others = live.map(|(host, _)| hash(host)).collect();
        }
        LimitSharers {
            own: hash(&self.cfg.host),
            is_included,
            others,
        }
    }

    /// Returns hashes of the ready hosts of other cells. Other cells report only the addresses
    /// to which callers connect, so the hosts are identified by their IP addresses.
    fn ready_in_other_cells(&self, now: Instant) -> impl Iterator<Item = u64> {
        let callers = self.fleet.other_cell_callers(now);
        let ready: HashSet<_> = callers.map(|address| address.ip()).collect();
        let known = self.report_state.known_hosts();
        let elsewhere = known.filter(|(host, _)| cell_of(host, self.cells) != self.cell);
        let elsewhere = elsewhere.filter(move |(_, address)| ready.contains(&address.ip()));
        elsewhere.map(|(host, _)| hash(&host))
    }
}

/// Applies the signals of one backend server. Returns whether it has just begun to leave.
fn apply(
    signals: &SignalTable,
    backend: &mut Backend,
    sharers: &LimitSharers,
    limits: &HashMap<ServiceId, u32>,
    now: Instant,
) -> bool {
    let stated = signals.of(&backend.record);
    let rejected_at = signals.rejected_at(&backend.record);
    let guard = limits.get(&backend.record.service).map(|limit| {
        let own_slots = sharers.own_slots(backend);
        RejectionGuard::new(*limit, rejected_at, own_slots)
    });
    backend.set_rejection_guard(guard);
    backend.set_backoff_until(signals.backoff_until(&backend.record));
    match stated.rate_limit {
        Some(rate) => backend.set_throttle(sharers.pause(backend, rate), now),
        None => backend.stop_throttling(),
    }
    let leaves_now = stated.is_leaving && backend.is_ready();
    if leaves_now {
        backend.mark_leaving();
    }
    leaves_now
}

impl LimitSharers {
    /// Returns the number of slots of a backend server that belong to this host.
    fn own_slots(&self, backend: &Backend) -> u32 {
        if !self.is_included {
            return 0;
        }
        let id = hash(&backend.record.id);
        let is_own = |slot: &u32| {
            let slot = pair_score(id, u64::from(*slot));
            let own = pair_score(self.own, slot);
            self.others.iter().all(|it| pair_score(*it, slot) < own)
        };
        let own = (0..backend.record.slots).filter(is_own).count();
        u32::try_from(own).unwrap_or(u32::MAX)
    }

    fn pause(&self, backend: &Backend, rate: f64) -> Option<Duration> {
        if !self.is_included {
            return None;
        }
        let backend = hash(&backend.record.id);
        let own = pair_score(self.own, backend);
        let others = self.others.iter();
        let position = others.filter(|it| pair_score(**it, backend) > own).count();
        pause_at(position, self.others.len() + 1, rate)
    }
}
