//! The reducer of one host: it turns events into effects.

mod arrival;
mod attempt;
mod backend_signals;
mod event;
mod knowledge;
mod lapse;
mod placing;
mod rollouts;
mod snapshot;
mod store_era;
mod telling;
mod telling_loads;
mod watching;

pub use event::{Bounds, Effect, Event, ExposureBound, RouterConfig, RouterCounts};

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{HostId, Quarantine, ServiceId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::request::{Request, Sent};
use crate::{
    AccountArrivals, ArrivalRates, Backend, BackendSignals, BackendSubsets, BackendTable, BootTime, CellIndex, Entries,
    Fleet, FleetQuota, MinimumShares, PeerLoads, RequestNumber, ResendBudget, Rollouts, RouteTable,
    SignalTable, Sizes, SlowAnswerDetector, WaitingList,
};
use lapse::Vanished;
use store_era::KnownEra;
use telling::Telling;
use telling_loads::LoadTelling;
use watching::Heard;

/// Longest pause between two ticks, which applies when nothing is due earlier.
const LONGEST_TICK: Duration = Duration::from_millis(100);
/// Pause between two refreshes of peers, cells and loads. A peer that falls silent is noticed up
/// to this much later.
const REFRESH_PAUSE: Duration = Duration::from_millis(50);

/// Decision state of one host, which only [`Router::apply`] changes.
#[derive(Debug)]
pub struct Router {
    cfg: RouterConfig,
    rng: ChaCha8Rng,
    table: Option<Arc<RouteTable>>,
    /// When the configuration was last known to be the newest, by the store or a peer.
    proved_at: Option<BootTime>,
    /// When the store itself last confirmed this to this host.
    own_proof: Option<BootTime>,
    /// Whether the most recent call to the store failed.
    is_turned_away: bool,
    /// Latest reading of the boot clock, which also counts time while the host is suspended.
    last_boot_time: Option<BootTime>,
    heard: Heard,
    entries: Entries,
    cell: CellIndex,
    cells: u32,
    /// Backend servers with a stable version that this host uses.
    views: BackendSubsets,
    /// Backend servers with a canary version that this host uses.
    trial_views: BackendSubsets,
    rollouts: Rollouts,
    slow_answers: SlowAnswerDetector,
    backends: BackendTable,
    signals: SignalTable,
    vanished: Vanished,
    era: KnownEra,
    fleet: Fleet,
    peer_loads: PeerLoads,
    quota: FleetQuota,
    budgets: HashMap<ServiceId, ResendBudget>,
    residence: HashMap<ServiceId, Duration>,
    sizes: Sizes,
    asked: ArrivalRates,
    floors: MinimumShares,
    account_asked: AccountArrivals,
    quarantine: Quarantine,
    waiting: WaitingList,
    sent: HashMap<RequestNumber, Request<Sent>>,
    telling: Telling,
    load_telling: LoadTelling,
    /// Time of the last refresh of peers, cells and loads.
    refreshed_at: Option<Instant>,
    /// Time of the first event.
    started_at: Option<Instant>,
    draining_since: Option<Instant>,
    was_ready: bool,
    /// When waiting requests check again for a free slot.
    look_at: Option<Instant>,
}

impl Router {
    /// Creates a router that knows no configuration, backend server or peer.
    #[must_use]
    pub fn new(cfg: RouterConfig) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            table: None,
            proved_at: None,
            own_proof: None,
            is_turned_away: false,
            last_boot_time: None,
            heard: Heard::default(),
            entries: Entries::default(),
            cell: 0,
            cells: 1,
            views: BackendSubsets::default(),
            trial_views: BackendSubsets::default(),
            rollouts: Rollouts::default(),
            slow_answers: SlowAnswerDetector::default(),
            backends: BackendTable::default(),
            signals: SignalTable::default(),
            vanished: Vanished::default(),
            era: KnownEra::default(),
            fleet: Fleet::default(),
            peer_loads: PeerLoads::default(),
            quota: FleetQuota::new(cfg.bounds.quota_window, cfg.bounds.quota_slack),
            budgets: HashMap::new(),
            residence: HashMap::new(),
            sizes: Sizes::default(),
            asked: ArrivalRates::default(),
            floors: MinimumShares::default(),
            account_asked: AccountArrivals::default(),
            quarantine: Quarantine::default(),
            waiting: WaitingList::default(),
            sent: HashMap::new(),
            telling: Telling::default(),
            load_telling: LoadTelling::default(),
            refreshed_at: None,
            started_at: None,
            draining_since: None,
            was_ready: false,
            look_at: None,
            cfg,
        }
    }

    /// Applies one event and returns the resulting effects in order.
    ///
    /// The same seed and the same events at the same times give the same effects.
    pub fn apply(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        let mut fx = Vec::new();
        self.started_at.get_or_insert(now);
        match event {
            Event::ConfigurationLoaded(table) => self.configured(table, now),
            Event::ConfigurationProved(at) => self.proved(at),
            Event::ConfirmedByPeer(at) => self.vouched(at),
            Event::StoreCallFailed => self.store_disturbed(now),
            Event::BackendsListed { entries, point } => {
                self.backends_listed(entries, point, now);
            }
            Event::StoreEra(era) => self.store_stated_era(era, now),
            Event::BackendChanged(change) => self.backend_told(change, now),
            Event::EntriesTransferred(entries) => self.entries_handed(entries, now),
            Event::Arrived(arrival) => self.arrived(now, &arrival, &mut fx),
            Event::HeaderReceived {
                number,
                signals,
                backoff,
            } => self.signalled(now, number, signals, backoff),
            Event::ResponseStarted(number) => self.answered(now, number),
            Event::Streamed {
                number,
                events,
                time,
            } => self.streamed(number, events, time),
            Event::AttemptEnded { number, outcome } => self.ended(now, number, outcome, &mut fx),
            Event::CallerDisconnected(number) => self.caller_gone(number),
            Event::HostsListed(hosts) => self.hosts_found(hosts, now),
            Event::ReportReceived { report, boot_time } => self.reported(now, *report, boot_time),
            Event::RolloutOrderRead(order) => self.rollout_told(order, now),
            Event::Drain => self.drain(now, &mut fx),
            Event::Tick(boot_time) => self.tick(now, boot_time, &mut fx),
        }
        self.tell(now, false, &mut fx);
        self.tell_loads(now, &mut fx);
        fx
    }

    /// Returns the latest time at which the next tick is due.
    #[must_use]
    pub fn next_tick(&self, now: Instant) -> Instant {
        let latest = now + LONGEST_TICK;
        let soonest = [
            self.telling.due_at(),
            self.load_telling.due_at(),
            self.look_at,
            self.waiting.next_expiry(),
            self.vanished.next_due(),
        ];
        let soonest = soonest.into_iter().flatten().min();
        soonest.map_or(latest, |at| at.clamp(now, latest))
    }

    /// Returns counts for metrics and the status page.
    #[must_use]
    pub fn counts(&self, now: Instant) -> RouterCounts {
        let backends = self.backends.values();
        RouterCounts {
            waiting: self.waiting.len(),
            running: self.sent.len(),
            hosts: self.fleet.size(now),
            limited_backends: backends.clone().filter(|it| self.is_limited(it)).count(),
            backends: backends.filter(|it| it.accepts_requests(now)).count(),
            version: self.version(),
        }
    }

    /// Returns the latest signals of a backend server, from response headers to this host or its
    /// peers. They are empty if none are known.
    #[must_use]
    pub fn signals_of(&self, backend: &str) -> BackendSignals {
        let backend = self.backends.get(backend);
        let signals = backend.map(|it| self.signals.of(&it.record));
        signals.unwrap_or_default()
    }

    /// Returns whether a request that was already assigned to a backend server may still be sent
    /// there. The backend server may have announced that it leaves, or requested a backoff,
    /// since the assignment.
    #[must_use]
    pub fn still_accepts(&self, backend: &str, now: Instant) -> bool {
        let backend = self.backends.get(backend);
        backend.is_some_and(|it| it.is_ready() && !it.is_backing_off(now))
    }

    fn is_limited(&self, backend: &Backend) -> bool {
        self.signals.of(&backend.record).rate_limit.is_some()
    }

    /// Returns the peers that reported recently.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = &HostId> {
        self.fleet.live_peers(now).map(|(host, _)| host)
    }

    /// Returns the addresses to which callers may connect now: those of ready live peers, of
    /// other cells, and of this host if it is ready.
    #[must_use]
    pub fn caller_addresses(&self, now: Instant, boot_time: BootTime) -> Vec<SocketAddr> {
        let ready = self.fleet.live_peers(now).filter(|(_, peer)| peer.is_ready);
        let mut addresses: Vec<_> = ready.map(|(_, peer)| peer.callers).collect();
        if self.is_ready(boot_time) {
            addresses.push(self.cfg.caller_address);
        }
        addresses.extend(self.fleet.other_cell_callers(now));
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns whether callers may be sent to this host: it is not draining and its
    /// configuration is proved.
    #[must_use]
    pub fn is_ready(&self, boot_time: BootTime) -> bool {
        self.draining_since.is_none() && self.is_proved(boot_time)
    }

    /// Returns whether no request is waiting or running.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.sent.is_empty()
    }

    /// Returns the route table of the configuration in use; none before the first configuration.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Returns the version of the configuration in use; 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        let table = self.table.as_ref();
        table.map_or(0, |table| table.configuration().version)
    }

    fn tick(&mut self, now: Instant, boot_time: BootTime, fx: &mut Vec<Effect>) {
        self.last_boot_time = Some(boot_time);
        let is_ready = self.is_ready(boot_time);
        if is_ready != self.was_ready {
            self.was_ready = is_ready;
            self.telling.has_news();
        }
        self.drop_vanished(now);
        self.judge_deaths(now);
        let is_time = |at: Instant| now.saturating_duration_since(at) >= REFRESH_PAUSE;
        if self.refreshed_at.is_none_or(is_time) {
            self.refreshed_at = Some(now);
            self.refresh_found(now);
            self.refresh_peers(now);
            self.refresh_cells();
            self.refresh_own_loads(now);
            self.refresh_signals(now);
            self.judge_rollouts(now, boot_time, fx);
        }
        self.place_waiting(now, fx);
    }

    fn drain(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        self.draining_since.get_or_insert(now);
        self.was_ready = false;
        self.tell(now, true, fx);
    }
}
