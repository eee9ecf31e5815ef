//! What this host makes of the signals of backend servers: who gets nothing new, and which
//! part of a rate limit is its own.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use jaypin_core::ServiceId;

use super::Router;
use crate::backend_subset::{hash, pair_score};
use crate::throttle::pause_at;
use crate::{Backend, BackendSignals, DecisionInputs, Report, RequestNumber, SignalTable, cell_of};

/// Hosts that share the rate limits of backend servers, as this host sees them.
#[derive(Debug)]
struct Sharers {
    own: u64,
    /// Whether this host is one of them.
    is_one: bool,
    others: Vec<u64>,
}

impl Router {
    /// Takes what an answer's header says of its backend server.
    pub(super) fn signalled(
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
        let has_news = self.signals.record(&backend.record, signals, state.at, now);
        if has_news {
            self.load_telling.slot_changed(backend.key);
        }
        if has_news || backoff.is_some() {
            self.apply_signals(now);
        }
    }

    /// Takes what a peer's backend servers say of themselves.
    pub(super) fn heard_of_signals(&mut self, report: &Report, now: Instant) {
        let mut has_news = false;
        for told in &report.signals {
            has_news |= self.signals.apply_peer_report(told, now);
        }
        if has_news {
            self.apply_signals(now);
        }
    }

    /// Forgets old signals, and divides the limits anew among the hosts that are there now.
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

    /// Sets for each backend server whether it leaves or wants a pause, and how this host spaces its
    /// requests.
    pub(super) fn apply_signals(&mut self, now: Instant) {
        let sharers = self.sharers(now);
        for backend in self.backends.values_mut() {
            if apply(&self.signals, backend, &sharers, now) {
                self.views.invalidate();
            }
        }
    }

    /// The same for one backend server, whose entry has changed.
    pub(super) fn apply_signals_of(&mut self, id: &str, now: Instant) {
        if self.signals.is_empty() {
            return;
        }
        let sharers = self.sharers(now);
        let Some(backend) = self.backends.get_mut(id) else {
            return;
        };
        if apply(&self.signals, backend, &sharers, now) {
            self.views.invalidate();
        }
    }

    /// Time until a backend server of a service wants requests again; none where one does now.
    pub(super) fn backoff_left(&self, service: &ServiceId, now: Instant) -> Duration {
        let ready = self.backends.values().filter(|it| it.is_ready());
        let of_service = ready.filter(|it| it.record.service == *service);
        let left = of_service.map(|it| it.backoff_left(now));
        left.min().unwrap_or_default()
    }

    /// Why a service has no place for a request.
    pub(super) fn no_place(&self, service: &ServiceId, now: Instant) -> DecisionInputs {
        let all = self.backends.values();
        let of_service = all.filter(|it| it.record.service == *service);
        let backing_off = of_service.clone().filter(|it| it.is_backing_off(now));
        DecisionInputs::NoUsableBackend {
            limited: of_service.filter(|it| self.is_limited(it)).count(),
            backing_off: backing_off.count(),
        }
    }

    /// Hosts that callers are sent to. Where none is, all that are heard.
    fn sharers(&self, now: Instant) -> Sharers {
        let heard = self.fleet.live_peers(now);
        let ready = heard.filter(|(_, peer)| peer.is_ready);
        let mut others: Vec<_> = ready.map(|(host, _)| hash(host)).collect();
        others.extend(self.ready_in_other_cells(now));
        let is_one = self.was_ready || others.is_empty();
        if others.is_empty() && !self.was_ready {
            let heard = self.fleet.live_peers(now);
            others = heard.map(|(host, _)| hash(host)).collect();
        }
        Sharers {
            own: hash(&self.cfg.host),
            is_one,
            others,
        }
    }

    /// Other cells tell where their callers may connect; which hosts these are follows from
    /// their network addresses.
    fn ready_in_other_cells(&self, now: Instant) -> impl Iterator<Item = u64> {
        let callers = self.fleet.other_cell_callers(now);
        let ready: HashSet<_> = callers.map(|address| address.ip()).collect();
        let found = self.telling.hosts_found();
        let elsewhere = found.filter(|(host, _)| cell_of(host, self.cells) != self.cell);
        let elsewhere = elsewhere.filter(move |(_, address)| ready.contains(&address.ip()));
        elsewhere.map(|(host, _)| hash(&host))
    }
}

/// Sets what a backend server's signals mean for this host. Says whether it leaves as of now.
fn apply(signals: &SignalTable, backend: &mut Backend, sharers: &Sharers, now: Instant) -> bool {
    let said = signals.of(&backend.record);
    backend.set_backoff_until(signals.backoff_until(&backend.record));
    match said.rate_limit {
        Some(rate) => backend.set_throttle(sharers.pause(backend, rate), now),
        None => backend.stop_throttling(),
    }
    let leaves_now = said.is_leaving && backend.is_ready();
    if leaves_now {
        backend.mark_leaving();
    }
    leaves_now
}

impl Sharers {
    fn pause(&self, backend: &Backend, rate: f64) -> Option<Duration> {
        if !self.is_one {
            return None;
        }
        let backend = hash(&backend.record.id);
        let own = pair_score(self.own, backend);
        let others = self.others.iter();
        let place = others.filter(|it| pair_score(**it, backend) > own).count();
        pause_at(place, self.others.len() + 1, rate)
    }
}
