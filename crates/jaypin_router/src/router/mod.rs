//! The reducer of one host: it turns events into effects.

mod arrival;
mod attempt;
mod backend_signals;
mod crashes;
mod event;
mod fleet_quota;
mod held_prompts;
mod joining;
mod load_reporting;
mod missing_entries;
mod passing_on;
mod placing;
mod relays;
mod reporting;
mod resuming;
mod rollouts;
mod silence;
mod snapshot;
mod store_era;
mod stream_versions;
mod updates;
mod watching;

pub use event::{Bounds, Effect, Event, ExposureBound, ReserveCounts, RouterConfig, RouterCounts};
pub use silence::{SilentCall, StayReason};

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{HostId, ServiceId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::request::{PassedOn, Request, Resuming, Sent};
use crate::{
    AccountArrivals, AnswerLengthTable, ArrivalRates, Backend, BackendContact, BackendSignals,
    BackendSubsets, BackendTable, BootTime, CellIndex, Contact, CrashEvidence, Entries,
    EntrySource, Fleet, FleetQuota, HeldParts, HeldReports, HoldTimes, MinimumShares, PeerLoads,
    RequestNumber, ResendBudget, Rollouts, RouteTable, ServicePauses, SignalTable, Sizes,
    SlowAnswerDetector, StoreFreshness, StreamOrigins, VersionHistory, WaitingList,
};
use attempt::EventGroup;
use fleet_quota::FleetQuotaState;
use held_prompts::HeldCounts;
use joining::JoinState;
use load_reporting::LoadReportState;
use missing_entries::MissingEntries;
use reporting::{HostList, ReportState};
use store_era::KnownEra;
use watching::ReportedStore;

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
    freshness: StoreFreshness,
    /// Latest reading of the boot clock, which also counts time while the host is suspended.
    last_boot_time: Option<BootTime>,
    /// When the boot clock was read.
    ticked_at: Option<Instant>,
    reported_store: ReportedStore,
    entries: Entries,
    cell: CellIndex,
    cells: u32,
    /// Backend servers with a stable version that this host uses.
    stable_subsets: BackendSubsets,
    /// Backend servers with a canary version that this host uses.
    canary_subsets: BackendSubsets,
    rollouts: Rollouts,
    slow_answers: SlowAnswerDetector,
    backends: BackendTable,
    signals: SignalTable,
    contact: BackendContact,
    missing_entries: MissingEntries,
    /// Backend servers whose entries said during the current event that they leave.
    leaves: Vec<Effect>,
    era: KnownEra,
    join: JoinState,
    fleet: Fleet,
    peer_loads: PeerLoads,
    quota: FleetQuota,
    fleet_quota: FleetQuotaState,
    budgets: HashMap<ServiceId, ResendBudget>,
    /// Mean slot hold time of each service.
    service_hold_times: HashMap<ServiceId, Duration>,
    hold_times: HoldTimes,
    reserve_counts: ReserveCounts,
    sizes: Sizes,
    answer_lengths: AnswerLengthTable,
    /// Pauses of the engines of each service, by the longest pause that routes allow.
    pauses: HashMap<(ServiceId, Duration), ServicePauses>,
    arrival_rates: ArrivalRates,
    minimum_shares: MinimumShares,
    account_arrivals: AccountArrivals,
    /// Requests refused for units that are reserved for more urgent requests of their accounts.
    quota_reserve_refusals: u64,
    crash_evidence: CrashEvidence,
    held_parts: HeldParts,
    held_reports: HeldReports,
    held_counts: HeldCounts,
    stream_origins: StreamOrigins,
    version_history: VersionHistory,
    /// Requests that resume a stream whose version other hosts are asked for.
    resuming: BTreeMap<RequestNumber, Request<Resuming>>,
    waiting: WaitingList,
    sent: HashMap<RequestNumber, Request<Sent>>,
    passed_on: HashMap<RequestNumber, Request<PassedOn>>,
    report_state: ReportState,
    load_report_state: LoadReportState,
    /// Time of the last refresh of peers, cells and loads.
    refreshed_at: Option<Instant>,
    /// Time of the first event.
    started_at: Option<Instant>,
    draining_since: Option<Instant>,
    was_ready: bool,
    /// When waiting requests check again for a free slot.
    next_placement_at: Option<Instant>,
}

impl Router {
    /// Creates a router that knows no configuration, backend server or peer.
    #[must_use]
    pub fn new(cfg: RouterConfig) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            table: None,
            freshness: StoreFreshness::default(),
            last_boot_time: None,
            ticked_at: None,
            reported_store: ReportedStore::default(),
            entries: Entries::default(),
            cell: 0,
            cells: 1,
            stable_subsets: BackendSubsets::default(),
            canary_subsets: BackendSubsets::default(),
            rollouts: Rollouts::default(),
            slow_answers: SlowAnswerDetector::default(),
            backends: BackendTable::default(),
            signals: SignalTable::default(),
            contact: BackendContact::default(),
            missing_entries: MissingEntries::default(),
            leaves: Vec::new(),
            era: KnownEra::default(),
            join: JoinState::default(),
            fleet: Fleet::default(),
            peer_loads: PeerLoads::default(),
            quota: FleetQuota::new(cfg.bounds.quota_window, cfg.bounds.quota_slack),
            fleet_quota: FleetQuotaState::default(),
            budgets: HashMap::new(),
            service_hold_times: HashMap::new(),
            hold_times: HoldTimes::default(),
            reserve_counts: ReserveCounts::default(),
            sizes: Sizes::default(),
            answer_lengths: AnswerLengthTable::default(),
            pauses: HashMap::new(),
            arrival_rates: ArrivalRates::default(),
            minimum_shares: MinimumShares::default(),
            account_arrivals: AccountArrivals::default(),
            quota_reserve_refusals: 0,
            crash_evidence: CrashEvidence::default(),
            held_parts: HeldParts::default(),
            held_reports: HeldReports::default(),
            held_counts: HeldCounts::default(),
            stream_origins: StreamOrigins::default(),
            version_history: VersionHistory::default(),
            resuming: BTreeMap::new(),
            waiting: WaitingList::default(),
            sent: HashMap::new(),
            passed_on: HashMap::new(),
            report_state: ReportState::default(),
            load_report_state: LoadReportState::default(),
            refreshed_at: None,
            started_at: None,
            draining_since: None,
            was_ready: false,
            next_placement_at: None,
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
            Event::ConfigurationLoaded(table) => self.apply_configuration(table, now),
            Event::ConfigurationProved(at) => self.record_proof(at),
            Event::EntriesProved(at) => self.record_entries_proof(at),
            Event::ConfirmedByPeer(at) => self.record_peer_confirmation(at),
            Event::StoreCallFailed => self.record_store_failure(now),
            Event::BackendsListed { entries, point } => {
                self.apply_backend_list(entries, point, now);
            }
            Event::StoreEra(era) => self.record_stated_era(era, now),
            Event::BackendChanged(change) => self.apply_store_change(change, now),
            Event::EntriesTransferred(entries) => {
                self.apply_entry_snapshot(entries, EntrySource::Transfer, now);
            }
            Event::EntriesCopied(entries) => {
                self.apply_entry_snapshot(entries, EntrySource::Store, now);
            }
            Event::Arrived(arrival) => self.handle_arrival(now, &arrival, &mut fx),
            Event::HeaderReceived {
                number,
                signals,
                backoff,
            } => self.handle_header(now, number, signals, backoff),
            Event::ResponseStarted(number) => self.handle_response_start(now, number, &mut fx),
            Event::Streamed {
                number,
                events,
                time,
                longest_pause,
            } => {
                let group = EventGroup {
                    events,
                    time,
                    longest_pause,
                };
                self.handle_stream_events(now, number, group);
            }
            Event::AttemptEnded { number, outcome } => {
                self.handle_attempt_end(now, number, outcome, &mut fx);
            }
            Event::BackendReached(backend) => self.record_reached(&backend, now),
            Event::BackendUnreached(backend) => self.record_unreached(&backend),
            Event::CallerDisconnected(number) => {
                self.handle_caller_disconnect(now, number, &mut fx);
            }
            Event::HostsListed(hosts) => self.apply_host_list(hosts, HostList::Whole, now),
            Event::HostsFound(hosts) => self.apply_host_list(hosts, HostList::Partial, now),
            Event::ReportReceived { report, boot_time } => {
                self.handle_report(now, *report, boot_time);
            }
            Event::AccountUseReceived(account_use) => {
                self.handle_account_use(&account_use, now, &mut fx);
            }
            Event::StreamMessageReceived { from, message } => {
                self.handle_stream_message(now, from, message, &mut fx);
            }
            Event::RolloutOrderRead(order) => self.apply_stored_order(order, now),
            Event::Drain => self.start_draining(now, &mut fx),
            Event::Tick(boot_time) => self.tick(now, boot_time, &mut fx),
        }
        fx.append(&mut self.leaves);
        self.send_report(now, false, &mut fx);
        self.send_load_reports(now, &mut fx);
        self.send_granted(now, &mut fx);
        fx
    }

    /// Returns the latest time at which the next tick is due.
    #[must_use]
    pub fn next_tick(&self, now: Instant) -> Instant {
        let latest = now + LONGEST_TICK;
        let soonest = [
            self.report_state.due_at(),
            self.load_report_state.due_at(),
            self.use_report_due_at(),
            self.next_placement_at,
            self.waiting.next_expiry(),
            self.missing_entries.next_due(),
            self.next_ask_at(),
        ];
        let soonest = soonest.into_iter().flatten().min();
        soonest.map_or(latest, |at| at.clamp(now, latest))
    }

    /// Returns counts for metrics and the status page.
    #[must_use]
    pub fn counts(&self, now: Instant) -> RouterCounts {
        let backends = self.backends.values();
        let mut counts = RouterCounts {
            waiting: self.waiting.len() + self.resuming.len(),
            running: self.sent.len() + self.passed_on.len(),
            hosts: self.fleet.size(now),
            limited_backends: backends.clone().filter(|it| self.is_limited(it)).count(),
            backends: backends.filter(|it| it.accepts_requests(now)).count(),
            version: self.version(),
            streams: self.stream_origins.len(),
            dropped_streams: self.stream_origins.dropped(),
            quota_reserve_refusals: self.quota_reserve_refusals,
            slot_reserve: self.reserve_counts,
            held_bytes: self.held_parts.bytes(),
            ..RouterCounts::default()
        };
        self.held_counts.add_to(&mut counts);
        counts
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
    /// there. The backend server may have announced that it leaves, requested a backoff, or rejected
    /// a request that it had no room for, since the assignment.
    #[must_use]
    pub fn still_accepts(&self, backend: &str, now: Instant) -> bool {
        let backend = self.backends.get(backend);
        backend.is_some_and(|it| it.is_ready() && !it.is_backing_off(now) && !it.is_pausing(now))
    }

    fn is_limited(&self, backend: &Backend) -> bool {
        self.signals.of(&backend.record).rate_limit.is_some()
    }

    /// Returns the peers that reported recently.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = &HostId> {
        self.fleet.live_peers(now).map(|(host, _)| host)
    }

    /// Returns the addresses to which callers may connect now: those of ready live peers, of
    /// other cells, and of this host if it is ready. Hosts that are cut off from the backend servers
    /// are left out as long as there are others.
    #[must_use]
    pub fn caller_addresses(&self, now: Instant, boot_time: BootTime) -> Vec<SocketAddr> {
        let peers = self.fleet.live_peers(now).filter(|(_, peer)| peer.is_ready);
        let peers = peers.map(|(_, peer)| (peer.callers, peer.contact));
        let own = (self.cfg.caller_address, self.contact());
        let own = self.is_ready(boot_time).then_some(own);
        let ready: Vec<_> = peers.chain(own).collect();
        let reaching = ready.iter().filter(|it| it.1 == Contact::Reaching);
        let mut addresses: Vec<_> = reaching.map(|it| it.0).collect();
        addresses.extend(self.fleet.other_cell_callers(now));
        if addresses.is_empty() {
            addresses.extend(ready.iter().map(|it| it.0));
        }
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
        self.waiting.is_empty()
            && self.resuming.is_empty()
            && self.sent.is_empty()
            && self.passed_on.is_empty()
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

    /// Returns the boot time at `now`, also where ticks are overdue because the process stood still.
    fn boot_time_at(&self, now: Instant) -> BootTime {
        let since = self.ticked_at.map(|at| now.saturating_duration_since(at));
        self.last_boot_time.unwrap_or_default() + since.unwrap_or_default()
    }

    fn tick(&mut self, now: Instant, boot_time: BootTime, fx: &mut Vec<Effect>) {
        self.last_boot_time = Some(boot_time);
        self.ticked_at = Some(now);
        let is_watcher = self.is_watcher(now);
        self.freshness.record_role(is_watcher, boot_time);
        self.freshness
            .refresh(self.cfg.bounds.leave_limit, boot_time);
        self.compare_with_peers(now);
        let is_ready = self.is_ready(boot_time);
        if is_ready != self.was_ready {
            self.was_ready = is_ready;
            self.report_state.report_soon();
        }
        self.drop_missing_backends(now);
        let is_time = |at: Instant| now.saturating_duration_since(at) >= REFRESH_PAUSE;
        if self.refreshed_at.is_none_or(is_time) {
            let elapsed = self.refreshed_at.replace(now);
            let elapsed = elapsed.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
            self.age_unseen_caches(elapsed, now);
            self.forget_silent_hosts(now);
            self.refresh_peers(now);
            self.refresh_cells();
            self.refresh_own_loads(now);
            self.refresh_signals(now);
            self.crash_evidence.expire(now);
            self.stream_origins.expire(now);
            let backends = &self.backends;
            self.contact.retain(|id| backends.get(id).is_some());
            self.evaluate_rollouts(now, boot_time, fx);
            self.refresh_fleet_quota(now, fx);
        }
        self.ask_for_origins(now, fx);
        self.place_waiting(now, fx);
    }

    fn start_draining(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        self.draining_since.get_or_insert(now);
        self.was_ready = false;
        self.send_report(now, true, fx);
    }
}
