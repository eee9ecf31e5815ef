//! Reports to the hosts of the own cell and to other cells, and when they are sent.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use jaypin_core::{AccountId, HostId};
use rand::seq::IndexedRandom;

use super::{Effect, Router};
use crate::fleet::PEER_EXPIRY;
use crate::{BootTime, Report, SignalReport, StoreView, WholeReport, cell_of, host_key};

/// Pause between two reports while an urgent change waits to be reported.
const URGENT_PAUSE: Duration = Duration::from_millis(6);
/// Pause between two reports while a change waits to be reported.
const REPORT_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two reports while nothing changes.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Pause between two whole reports, which make up for lost reports.
const WHOLE_PAUSE: Duration = Duration::from_millis(400);
/// Pause between two rounds of reports to other cells.
const OTHER_CELLS_PAUSE: Duration = Duration::from_millis(500);
/// Number of cells in one round, each of which one host gets the report for. Hosts pass on what they
/// learn, so it reaches all cells of a large fleet in a few rounds.
const CELLS_PER_ROUND: usize = 4;
/// Pause between two reports to a host that is silent, or was discovered but has never reported.
const SILENT_PAUSE: Duration = Duration::from_secs(1);
/// The same after a longer silence.
const LONG_SILENT_PAUSE: Duration = Duration::from_secs(5);
/// Silence after which that longer pause applies.
const LONG_SILENCE: Duration = Duration::from_secs(30);
/// Silence after which a host gets no more reports. It is longer than any network partition,
/// since two parts of a fleet that had both stopped reporting would not find each other again.
const FORGET_AFTER: Duration = Duration::from_mins(15);
/// Number of whole reports that contain the use of an account after it has changed.
const REPORTS_PER_USAGE: u32 = 4;
/// Number of further accounts in each whole report, in turn, for peers that missed all of these.
const REPEATED_ACCOUNTS: usize = 4;
/// Greatest number of accounts in one report, so that it fits into a datagram.
const MAX_REPORTED_ACCOUNTS: usize = 512;

/// When reports were sent and what they contained, and the hosts that may receive them.
#[derive(Debug, Default)]
pub struct ReportState {
    sequence: u64,
    last_sent: Option<Instant>,
    last_whole: Option<Instant>,
    last_to_other_cells: Option<Instant>,
    /// Quota units that were last reported, by account.
    reported_usage: HashMap<AccountId, ReportedUsage>,
    /// Position of the next account whose use is reported although it has not changed.
    next_repeated_account: usize,
    has_changes: bool,
    is_urgent: bool,
    known_hosts: BTreeMap<SocketAddr, KnownHost>,
    host_list: HostList,
}

/// What this host has read of the list of registered hosts.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostList {
    /// Nothing.
    #[default]
    Unread,
    /// Some of the hosts. Any number of others may be registered.
    Partial,
    /// All hosts that registered before this one.
    Whole,
}

/// The last report of an account's use.
#[derive(Debug, Default)]
struct ReportedUsage {
    units: Option<f64>,
    /// Number of whole reports that contained it.
    times: u32,
}

/// A host that may be in the fleet.
#[derive(Debug, Default)]
struct KnownHost {
    host: Option<HostId>,
    is_registered: bool,
    /// When the host last reported; before its first report, when it was discovered.
    last_live_at: Option<Instant>,
    /// When a report was last sent to it while it was silent.
    sent_at: Option<Instant>,
}

impl KnownHost {
    fn is_recent(&self, now: Instant) -> bool {
        let age = self
            .last_live_at
            .map(|at| now.saturating_duration_since(at));
        age.is_none_or(|age| age < PEER_EXPIRY)
    }

    fn pause(&self, now: Instant) -> Duration {
        let silence = self
            .last_live_at
            .map(|at| now.saturating_duration_since(at));
        if silence.is_some_and(|silence| silence >= LONG_SILENCE) {
            LONG_SILENT_PAUSE
        } else {
            SILENT_PAUSE
        }
    }
}

impl ReportState {
    /// Records a host that may be in the fleet. Returns whether it was unknown.
    pub fn add_host(&mut self, host: HostId, address: SocketAddr) -> bool {
        let known = self.known_hosts.entry(address).or_default();
        known.host.replace(host.clone()) != Some(host)
    }

    /// Records that the store lists a host with this report address.
    pub fn mark_registered(&mut self, address: SocketAddr) {
        self.known_hosts.entry(address).or_default().is_registered = true;
    }

    /// Returns whether the store lists a host with this report address.
    #[must_use]
    pub fn is_registered(&self, address: &SocketAddr) -> bool {
        self.known_hosts
            .get(address)
            .is_some_and(|it| it.is_registered)
    }

    /// Returns whether the store lists any host besides this one.
    #[must_use]
    pub fn has_registered_hosts(&self) -> bool {
        self.known_hosts.values().any(|it| it.is_registered)
    }

    /// Returns whether the store lists a host with this IP address.
    #[must_use]
    pub fn has_registered(&self, address: IpAddr) -> bool {
        let mut known = self.known_hosts.iter();
        known.any(|(at, it)| it.is_registered && at.ip() == address)
    }

    /// Returns the hosts that the store lists, with their report addresses.
    pub fn registered_hosts(&self) -> impl Iterator<Item = (&HostId, SocketAddr)> {
        let listed = self.known_hosts.iter().filter(|(_, it)| it.is_registered);
        listed.filter_map(|(address, it)| Some((it.host.as_ref()?, *address)))
    }

    /// Returns the known hosts with their report addresses.
    pub fn known_hosts(&self) -> impl Iterator<Item = (HostId, SocketAddr)> {
        let known = self.known_hosts.iter();
        known.filter_map(|(address, it)| Some((it.host.clone()?, *address)))
    }

    /// Records what was read of the list of registered hosts, unless more was read before.
    pub fn record_host_list(&mut self, list: HostList) {
        self.host_list = self.host_list.max(list);
    }

    /// Returns whether all hosts that registered before this one are known.
    #[must_use]
    pub fn has_whole_host_list(&self) -> bool {
        self.host_list == HostList::Whole
    }

    /// Returns whether registered hosts were listed, or at least a part of them.
    #[must_use]
    pub fn has_host_list(&self) -> bool {
        self.host_list != HostList::Unread
    }

    /// Returns hosts that were recently discovered or live. They may be running although no
    /// report from them has arrived.
    pub fn recently_discovered(&self, now: Instant) -> impl Iterator<Item = &HostId> {
        let hosts = self.known_hosts.values();
        let recent = hosts.filter(move |it| it.is_recent(now));
        recent.filter_map(|it| it.host.as_ref())
    }

    /// Returns the number of known hosts, including this one.
    #[must_use]
    pub fn host_count(&self) -> usize {
        self.known_hosts.len() + 1
    }

    /// Records that a change should be reported soon.
    pub fn report_soon(&mut self) {
        self.has_changes = true;
    }

    /// Records that a change in the whole report should be reported at once.
    pub fn report_whole_at_once(&mut self) {
        self.last_whole = None;
        self.is_urgent = true;
    }

    /// Returns when the next report is due; none before the first.
    pub fn due_at(&self) -> Option<Instant> {
        let last_sent = self.last_sent?;
        Some(last_sent + self.pause())
    }

    fn pause(&self) -> Duration {
        if self.is_urgent {
            URGENT_PAUSE
        } else if self.has_changes {
            REPORT_PAUSE
        } else {
            HEARTBEAT
        }
    }
}

fn is_due(last_sent: Option<Instant>, pause: Duration, now: Instant) -> bool {
    last_sent.is_none_or(|last_sent| now.saturating_duration_since(last_sent) >= pause)
}

impl Router {
    /// Sends a report to the peers of the own cell if one is due, and in any case if `at_once`.
    pub(super) fn send_report(&mut self, now: Instant, at_once: bool, fx: &mut Vec<Effect>) {
        // Peers derive the offset of this host's clock from its reports, so no report is sent
        // before the clock was read.
        let Some(boot_time) = self.last_boot_time else {
            return;
        };
        if !at_once && !is_due(self.report_state.last_sent, self.report_state.pause(), now) {
            return;
        }
        self.report_to_other_cells(now, boot_time, fx);
        let is_whole = is_due(self.report_state.last_whole, WHOLE_PAUSE, now) || at_once;
        self.report_state.last_sent = Some(now);
        let to = self.report_addresses(now);
        if to.is_empty() {
            return;
        }
        self.report_state.has_changes = false;
        self.report_state.is_urgent = false;
        if is_whole {
            self.report_state.last_whole = Some(now);
        }
        let changes = self.entries.next_changes();
        self.report_state.is_urgent = self.entries.has_unsent();
        let usage = self.usage_to_report(is_whole);
        let whole = is_whole.then(|| WholeReport {
            low_levels: self.quota.low_levels(now),
            arrivals: self.arrival_rates.totals().collect(),
            crashes: self.crash_evidence.crashes_to_report(now),
            completed: self.crash_evidence.completions_to_report(now),
            ..self.whole_report(now, boot_time)
        });
        let signals = self.signals_to_report(is_whole, now);
        let report = Box::new(Report {
            usage,
            signals,
            changes,
            whole,
            ..self.new_report()
        });
        fx.push(Effect::SendReport { to, report });
    }

    /// Creates a report without content, with the next sequence number.
    pub(super) fn new_report(&mut self) -> Report {
        self.report_state.sequence += 1;
        Report {
            host: host_key(&self.cfg.host),
            run: self.cfg.incarnation,
            sequence: self.report_state.sequence,
            is_ready: self.was_ready,
            contact: self.contact(),
            loads: Vec::new(),
            samples: Vec::new(),
            usage: Vec::new(),
            signals: Vec::new(),
            changes: Vec::new(),
            whole: None,
            held: Vec::new(),
        }
    }

    fn signals_to_report(&self, is_whole: bool, now: Instant) -> Vec<SignalReport> {
        if is_whole {
            self.signals.reports(now).collect()
        } else {
            Vec::new()
        }
    }

    /// Returns the totals that peers may lack: those that have changed, in whole reports also those
    /// that changed shortly before, and a few others in turn.
    ///
    /// An account that is idle costs nothing, however long the host has run.
    fn usage_to_report(&mut self, is_whole: bool) -> Vec<(AccountId, f64)> {
        let state = &mut self.report_state;
        let used: Vec<_> = self.quota.usage().collect();
        let mut usage = Vec::new();
        for (account, units) in &used {
            let reported = state.reported_usage.entry(account.clone()).or_default();
            let has_changed = reported.units != Some(*units);
            if has_changed {
                reported.units = Some(*units);
                reported.times = 0;
            }
            let is_recent = is_whole && reported.times < REPORTS_PER_USAGE;
            if (has_changed || is_recent) && usage.len() < MAX_REPORTED_ACCOUNTS {
                reported.times += u32::from(is_whole);
                usage.push((account.clone(), *units));
            }
        }
        if is_whole && !used.is_empty() {
            let first = state.next_repeated_account % used.len();
            state.next_repeated_account = first + REPEATED_ACCOUNTS;
            let repeated = used.iter().cycle().skip(first);
            usage.extend(repeated.take(REPEATED_ACCOUNTS.min(used.len())).cloned());
        }
        usage
    }

    /// Describes this host and its state of the store.
    fn whole_report(&self, now: Instant, boot_time: BootTime) -> WholeReport {
        WholeReport {
            host: self.cfg.host.clone(),
            address: self.cfg.peer_address,
            callers: self.cfg.caller_address,
            failure_domain: self.cfg.failure_domain.clone(),
            cell: self.cell,
            sent_at: boot_time,
            store: self.store_view(now, boot_time),
            low_levels: Vec::new(),
            arrivals: Vec::new(),
            crashes: Vec::new(),
            completed: Vec::new(),
            rollouts: self.rollouts_to_report(now, false),
            cell_callers: None,
        }
    }

    fn store_view(&self, now: Instant, boot_time: BootTime) -> StoreView {
        let may_watch = self.may_watch(boot_time);
        StoreView {
            version: self.version(),
            proved_at: self.freshness.configuration.latest(),
            entries_proved_at: self.freshness.entries.latest(),
            may_watch,
            is_watching: may_watch
                && self.should_watch(now, boot_time)
                && self.freshness.watches_entries(boot_time),
            digest: self.entries.digest(),
            era: self.store_era(),
        }
    }

    /// Returns the addresses of live peers of the cell, and from time to time those of silent
    /// ones.
    fn report_addresses(&mut self, now: Instant) -> Vec<SocketAddr> {
        let live: BTreeSet<_> = self
            .fleet
            .live_peers(now)
            .map(|(_, it)| it.address)
            .collect();
        let (cell, cells) = (self.cell, self.cells);
        let mut to = Vec::new();
        for (address, known) in &mut self.report_state.known_hosts {
            let host = known.host.as_deref().unwrap_or_default();
            if cell_of(host, cells) != cell {
                continue;
            }
            if live.contains(address) {
                known.last_live_at = Some(now);
                to.push(*address);
            } else if is_due(known.sent_at, known.pause(now), now) {
                known.sent_at = Some(now);
                to.push(*address);
            }
        }
        to
    }

    /// Removes hosts of this cell that have been silent for a long time. Hosts of other cells report
    /// elsewhere, so their silence says nothing.
    pub(super) fn forget_silent_hosts(&mut self, now: Instant) {
        let own = self.cfg.peer_address;
        let (cell, cells) = (self.cell, self.cells);
        let live: BTreeSet<_> = self
            .fleet
            .live_peers(now)
            .map(|(_, it)| it.address)
            .collect();
        let previous_count = self.report_state.known_hosts.len();
        self.report_state.known_hosts.retain(|address, known| {
            let last_live_at = *known.last_live_at.get_or_insert(now);
            let is_remembered = now.saturating_duration_since(last_live_at) < FORGET_AFTER;
            let name = known.host.as_deref().unwrap_or_default();
            *address != own
                && (is_remembered || live.contains(address) || cell_of(name, cells) != cell)
        });
        if self.report_state.known_hosts.len() != previous_count {
            self.handle_host_change();
        }
    }

    /// Sends a summary of this cell to one random host of some other cells, if that is due.
    fn report_to_other_cells(&mut self, now: Instant, boot_time: BootTime, fx: &mut Vec<Effect>) {
        if self.cells == 1
            || !is_due(
                self.report_state.last_to_other_cells,
                OTHER_CELLS_PAUSE,
                now,
            )
        {
            return;
        }
        self.report_state.last_to_other_cells = Some(now);
        let mut by_cell: BTreeMap<u32, Vec<SocketAddr>> = BTreeMap::new();
        for (address, known) in &self.report_state.known_hosts {
            let host = known.host.as_deref().unwrap_or_default();
            let cell = cell_of(host, self.cells);
            by_cell.entry(cell).or_default().push(*address);
        }
        by_cell.remove(&self.cell);
        let other_cells: Vec<_> = by_cell.into_values().collect();
        let receiving = other_cells.sample(&mut self.rng, CELLS_PER_ROUND);
        let receiving: Vec<_> = receiving.collect();
        let to: Vec<_> = receiving
            .into_iter()
            .filter_map(|addresses| addresses.choose(&mut self.rng).copied())
            .collect();
        let ready = self.fleet.live_peers(now).filter(|(_, peer)| peer.is_ready);
        let mut callers: Vec<_> = ready.map(|(_, peer)| peer.callers).collect();
        callers.extend(self.was_ready.then_some(self.cfg.caller_address));
        let whole = WholeReport {
            cell_callers: Some(callers),
            crashes: self.crash_evidence.latest_crashes(now),
            completed: self.crash_evidence.latest_completions(now),
            rollouts: self.rollouts_to_report(now, true),
            ..self.whole_report(now, boot_time)
        };
        let report = Box::new(Report {
            signals: self.signals_to_report(true, now),
            whole: Some(whole),
            ..self.new_report()
        });
        fx.push(Effect::SendReport { to, report });
    }
}
