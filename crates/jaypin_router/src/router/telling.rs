//! What a cell's hosts tell each other, and when.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use jaypin_core::{AccountId, HostId};
use rand::seq::IndexedRandom;

use super::{Effect, Router};
use crate::fleet::PEER_EXPIRY;
use crate::{
    BootTime, CrashCount, Report, SignalReport, StoreView, WholeReport, cell_of, host_key,
};

/// Pause between two reports when something is to be heard at once.
const URGENT_PAUSE: Duration = Duration::from_millis(6);
/// Pause between two reports when there is news.
const REPORT_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two reports when nothing changes.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Pause between two whole reports, which make up for lost ones.
const WHOLE_PAUSE: Duration = Duration::from_millis(400);
/// Pause between two reports to other cells, each to one of their hosts.
const CROSS_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two reports to a host that is silent, or was found and never heard.
const SILENT_PAUSE: Duration = Duration::from_secs(1);
/// The same after it was silent for a while.
const LONG_SILENT_PAUSE: Duration = Duration::from_secs(5);
/// Silence after which that longer pause holds.
const LONG_SILENCE: Duration = Duration::from_secs(30);
/// Silence after which a host is told no more. Longer than any cut: two parts of a fleet
/// that both gave up would not find each other again.
const FOUND_FOR: Duration = Duration::from_mins(15);
/// Contents under suspicion in one report: more would not fit a datagram.
const STRIKES_TOLD: usize = 16;

/// When reports were sent, and what they said.
#[derive(Debug, Default)]
pub struct Telling {
    sequence: u64,
    last: Option<Instant>,
    last_whole: Option<Instant>,
    last_cross: Option<Instant>,
    told_usage: HashMap<AccountId, f64>,
    has_news: bool,
    is_urgent: bool,
    found: BTreeMap<SocketAddr, Found>,
    knows_hosts: bool,
}

#[derive(Debug, Default)]
struct Found {
    host: Option<HostId>,
    is_registered: bool,
    since: Option<Instant>,
    told_at: Option<Instant>,
}

impl Found {
    fn is_recent(&self, now: Instant) -> bool {
        let age = self.since.map(|since| now.saturating_duration_since(since));
        age.is_none_or(|age| age < PEER_EXPIRY)
    }

    fn pause(&self, now: Instant) -> Duration {
        let silence = self.since.map(|since| now.saturating_duration_since(since));
        if silence.is_some_and(|silence| silence >= LONG_SILENCE) {
            LONG_SILENT_PAUSE
        } else {
            SILENT_PAUSE
        }
    }
}

impl Telling {
    /// A host that may be in the fleet; says whether it was not known.
    pub fn found(&mut self, host: HostId, address: SocketAddr) -> bool {
        let found = self.found.entry(address).or_default();
        found.host.replace(host.clone()) != Some(host)
    }

    /// The store lists a host.
    pub fn registered(&mut self, address: SocketAddr) {
        self.found.entry(address).or_default().is_registered = true;
    }

    /// Whether the store lists a host that takes reports there.
    #[must_use]
    pub fn is_registered(&self, address: &SocketAddr) -> bool {
        self.found.get(address).is_some_and(|it| it.is_registered)
    }

    /// Whether the store lists a host with this address.
    #[must_use]
    pub fn has_registered(&self, address: IpAddr) -> bool {
        let mut found = self.found.iter();
        found.any(|(at, it)| it.is_registered && at.ip() == address)
    }

    /// Hosts that were found, with where they take reports.
    pub fn hosts_found(&self) -> impl Iterator<Item = (HostId, SocketAddr)> {
        let found = self.found.iter();
        found.filter_map(|(address, it)| Some((it.host.clone()?, *address)))
    }

    /// All hosts that are registered were told.
    pub fn found_all(&mut self) {
        self.knows_hosts = true;
    }

    /// Whether it was read who is registered.
    #[must_use]
    pub fn knows_hosts(&self) -> bool {
        self.knows_hosts
    }

    /// Hosts that were found a short time ago, so that they may be there although they were
    /// not heard.
    pub fn lately_found(&self, now: Instant) -> impl Iterator<Item = &HostId> {
        let hosts = self.found.values();
        let lately = hosts.filter(move |it| it.is_recent(now));
        lately.filter_map(|it| it.host.as_ref())
    }

    /// Hosts that were found, this one included.
    #[must_use]
    pub fn hosts(&self) -> usize {
        self.found.len() + 1
    }

    /// There is something that peers should hear soon.
    pub fn has_news(&mut self) {
        self.has_news = true;
    }

    /// There is something in a whole report that peers should hear at once.
    pub fn whole_is_due(&mut self) {
        self.last_whole = None;
        self.is_urgent = true;
    }

    /// When the next report is due.
    pub fn due_at(&self) -> Option<Instant> {
        let last = self.last?;
        Some(last + self.pause())
    }

    fn pause(&self) -> Duration {
        if self.is_urgent {
            URGENT_PAUSE
        } else if self.has_news {
            REPORT_PAUSE
        } else {
            HEARTBEAT
        }
    }
}

fn is_due(last: Option<Instant>, pause: Duration, now: Instant) -> bool {
    last.is_none_or(|last| now.saturating_duration_since(last) >= pause)
}

impl Router {
    /// Tells peers what changed, if it is time to.
    pub(super) fn tell(&mut self, now: Instant, at_once: bool, fx: &mut Vec<Effect>) {
        // Peers take their clocks from reports, so none is sent before the own was read.
        let Some(boot_time) = self.last_boot_time else {
            return;
        };
        if !at_once && !is_due(self.telling.last, self.telling.pause(), now) {
            return;
        }
        self.tell_other_cells(now, boot_time, fx);
        let is_whole = is_due(self.telling.last_whole, WHOLE_PAUSE, now) || at_once;
        self.telling.last = Some(now);
        let to = self.audience(now);
        if to.is_empty() {
            return;
        }
        self.telling.has_news = false;
        self.telling.is_urgent = false;
        if is_whole {
            self.telling.last_whole = Some(now);
        }
        let changes = self.entries.next_changes();
        self.telling.is_urgent = self.entries.has_unsent();
        let usage = self.usage_to_tell(is_whole);
        let whole = is_whole.then(|| WholeReport {
            low_levels: self.quota.low_levels(now),
            arrivals: self.asked.totals().collect(),
            ..self.whole_report(now, boot_time)
        });
        let signals = self.signals_to_tell(is_whole, now);
        let report = Box::new(Report {
            usage,
            signals,
            changes,
            whole,
            ..self.empty_report()
        });
        fx.push(Effect::SendReport { to, report });
    }

    /// A report that says nothing yet.
    pub(super) fn empty_report(&mut self) -> Report {
        self.telling.sequence += 1;
        Report {
            host: host_key(&self.cfg.host),
            run: self.cfg.incarnation,
            sequence: self.telling.sequence,
            is_ready: self.was_ready,
            loads: Vec::new(),
            samples: Vec::new(),
            usage: Vec::new(),
            signals: Vec::new(),
            changes: Vec::new(),
            whole: None,
        }
    }

    fn signals_to_tell(&self, is_whole: bool, now: Instant) -> Vec<SignalReport> {
        if is_whole {
            self.signals.reports(now).collect()
        } else {
            Vec::new()
        }
    }

    fn usage_to_tell(&mut self, is_whole: bool) -> Vec<(AccountId, f64)> {
        let told = &mut self.telling.told_usage;
        let usage = self.quota.usage().filter(|(account, used)| {
            let before = told.insert(account.clone(), *used);
            *used > 0.0 && (is_whole || before != Some(*used))
        });
        usage.collect()
    }

    /// What this host is and what it knows of the store.
    fn whole_report(&self, now: Instant, boot_time: BootTime) -> WholeReport {
        let strikes = self.quarantine.newest(STRIKES_TOLD).into_iter();
        let strikes = strikes.map(|(fingerprint, strikes)| CrashCount {
            fingerprint,
            crash_count: strikes,
        });
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
            crash_counts: strikes.collect(),
            rollouts: self.rollouts_to_tell(now, false),
            cell_callers: None,
        }
    }

    fn store_view(&self, now: Instant, boot_time: BootTime) -> StoreView {
        let may_watch = self.may_watch(boot_time);
        StoreView {
            version: self.version(),
            proved_at: self.proved_at,
            may_watch,
            is_watching: may_watch && self.should_watch(now, boot_time),
            digest: self.entries.digest(),
            era: self.store_era(),
        }
    }

    /// Peers of the cell that were heard, and now and then those that were not.
    fn audience(&mut self, now: Instant) -> Vec<SocketAddr> {
        let heard: BTreeSet<_> = self
            .fleet
            .live_peers(now)
            .map(|(_, it)| it.address)
            .collect();
        let (cell, cells) = (self.cell, self.cells);
        let mut to = Vec::new();
        for (address, found) in &mut self.telling.found {
            let host = found.host.as_deref().unwrap_or_default();
            if cell_of(host, cells) != cell {
                continue;
            }
            if heard.contains(address) {
                found.since = Some(now);
                to.push(*address);
            } else if is_due(found.told_at, found.pause(now), now) {
                found.told_at = Some(now);
                to.push(*address);
            }
        }
        to
    }

    /// Drops hosts that were silent for long.
    pub(super) fn refresh_found(&mut self, now: Instant) {
        let own = self.cfg.peer_address;
        let heard: BTreeSet<_> = self
            .fleet
            .live_peers(now)
            .map(|(_, it)| it.address)
            .collect();
        let before = self.telling.found.len();
        self.telling.found.retain(|address, found| {
            let since = *found.since.get_or_insert(now);
            let is_fresh = now.saturating_duration_since(since) < FOUND_FOR;
            *address != own && (is_fresh || heard.contains(address))
        });
        if self.telling.found.len() != before {
            self.views.invalidate();
        }
    }

    /// Tells one host of each other cell what this cell is.
    fn tell_other_cells(&mut self, now: Instant, boot_time: BootTime, fx: &mut Vec<Effect>) {
        if self.cells == 1 || !is_due(self.telling.last_cross, CROSS_PAUSE, now) {
            return;
        }
        self.telling.last_cross = Some(now);
        let mut by_cell: BTreeMap<u32, Vec<SocketAddr>> = BTreeMap::new();
        for (address, found) in &self.telling.found {
            let host = found.host.as_deref().unwrap_or_default();
            let cell = cell_of(host, self.cells);
            by_cell.entry(cell).or_default().push(*address);
        }
        by_cell.remove(&self.cell);
        let to: Vec<_> = by_cell
            .values()
            .filter_map(|addresses| addresses.choose(&mut self.rng).copied())
            .collect();
        let ready = self.fleet.live_peers(now).filter(|(_, peer)| peer.is_ready);
        let mut callers: Vec<_> = ready.map(|(_, peer)| peer.callers).collect();
        callers.extend(self.was_ready.then_some(self.cfg.caller_address));
        let whole = WholeReport {
            cell_callers: Some(callers),
            rollouts: self.rollouts_to_tell(now, true),
            ..self.whole_report(now, boot_time)
        };
        let report = Box::new(Report {
            signals: self.signals_to_tell(true, now),
            whole: Some(whole),
            ..self.empty_report()
        });
        fx.push(Effect::SendReport { to, report });
    }
}
