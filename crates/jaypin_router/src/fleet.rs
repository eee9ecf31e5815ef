//! The other hosts, as their reports show them.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use jaypin_core::{AccountId, FailureDomain, HostId, Incarnation};

use crate::{
    ArrivalCount, BootTime, CellIndex, Contact, PeerClock, Rank, Report, ServiceKey, WholeReport,
};

/// Time without a report after which a host no longer counts as live.
///
/// It is five heartbeats of 250 ms, less one, and a margin: hosts on a sixth of a core may stall
/// for most of a tenth of a second, and one datagram in a hundred is lost.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Time after which a silent host counts as removed and not as cut off.
///
/// It is longer than network partitions that heal by themselves. Until then, the silent host's
/// part of the quotas is left to it.
pub const PEER_EXPIRY: Duration = Duration::from_secs(12);

/// Time without a report after which another cell no longer counts as live.
///
/// Each host receives a report from each other cell twice a second on average, at random times; in
/// a fleet of many cells, from most of them within this time.
const CELL_TIMEOUT: Duration = Duration::from_secs(4);

/// Time for which the hosts of another cell count as those that it reported last: nearly all cells of
/// a large fleet report again within it.
const CELL_MEMORY: Duration = Duration::from_secs(15);

/// Number of reports of a run within which a host has hardly granted anything.
const FIRST_REPORTS: u64 = 8;

/// A peer, as its last reports show it.
#[derive(Debug)]
pub struct Peer {
    /// Incarnation of its process.
    pub run: Incarnation,
    /// Address at which it receives reports.
    pub address: SocketAddr,
    /// Address at which callers connect to it.
    pub callers: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether callers should be sent to it.
    pub is_ready: bool,
    /// Whether it can open connections to backend servers.
    pub contact: Contact,
    /// Whether it may be relied on to watch the store.
    pub may_watch: bool,
    /// Whether it watches the store.
    pub is_watching: bool,
    /// Version of its configuration; 0 before it has one.
    pub version: u64,
    /// Digest of all entries of backend servers that it knows.
    pub digest: u64,
    /// Estimated difference between its clock and this host's.
    pub clock: PeerClock,
    /// The run before, whose late reports are ignored.
    earlier_run: Option<Incarnation>,
    /// Number of the newest report.
    sequence: Option<u64>,
    /// What counts as the use of an account before its first total; none if reports were received
    /// only long after the run began.
    first_usage: Option<f64>,
    last_report_at: Instant,
    usage: HashMap<AccountId, f64>,
    arrivals: HashMap<(ServiceKey, Rank), u32>,
}

impl Peer {
    /// Returns whether it has sent a report recently.
    #[must_use]
    pub fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_report_at) < PEER_TIMEOUT
    }

    fn may_be_cut_off(&self, now: Instant) -> bool {
        let silence = now.saturating_duration_since(self.last_report_at);
        (PEER_TIMEOUT..PEER_EXPIRY).contains(&silence)
    }
}

/// Counts items as a floating-point number, for divisions.
fn count_of<T>(items: impl Iterator<Item = T>) -> f64 {
    items.map(|_| 1.0).sum()
}

fn is_cell_live(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < CELL_TIMEOUT
}

/// What a report contains that was not known before.
#[derive(Debug, Default)]
pub struct PeerUpdate {
    /// Quota units used since the previous report.
    pub usage: Vec<(AccountId, f64)>,
    /// Quota levels of accounts that have little left.
    pub low_levels: Vec<(AccountId, f64)>,
    /// Requests that callers sent it since the previous report.
    pub arrivals: Vec<ArrivalCount>,
}

/// All known peers, and the other cells.
#[derive(Debug, Default)]
pub struct Fleet {
    peers: BTreeMap<HostId, Peer>,
    /// Peers by the incarnation of their current process, which identifies the sender of a short
    /// report.
    runs: HashMap<Incarnation, HostId>,
    other_cells: BTreeMap<CellIndex, OtherCell>,
}

/// Another cell, as the reports from its hosts show it.
#[derive(Debug)]
struct OtherCell {
    callers: Vec<SocketAddr>,
    last_report_at: Instant,
    /// The host with the newest configuration among those that reported recently.
    holder: Option<ConfigurationHolder>,
}

/// A host of another cell that callers may be sent to, and its configuration.
#[derive(Debug, Clone, Copy)]
struct ConfigurationHolder {
    address: SocketAddr,
    version: u64,
    reported_at: Instant,
}

impl OtherCell {
    fn new(now: Instant) -> Self {
        Self {
            callers: Vec::new(),
            last_report_at: now,
            holder: None,
        }
    }

    /// Applies a report of one of its hosts.
    fn apply(
        &mut self,
        report: &Report,
        whole: &WholeReport,
        callers: &[SocketAddr],
        now: Instant,
    ) {
        self.callers = callers.to_vec();
        self.last_report_at = now;
        let reporter = ConfigurationHolder {
            address: whole.address,
            version: whole.store.version,
            reported_at: now,
        };
        let known = self.holder.filter(|it| is_cell_live(it.reported_at, now));
        if report.is_ready && known.is_none_or(|it| it.version <= reporter.version) {
            self.holder = Some(reporter);
        }
    }
}

impl Fleet {
    /// Applies a report. One that was overtaken by a later one changes nothing, and neither does
    /// a short one from a host that has sent no whole one yet.
    pub fn apply(&mut self, report: Report, now: Instant, boot_time: BootTime) -> PeerUpdate {
        let Some(whole) = &report.whole else {
            let known = self.runs.get(&report.run);
            let peer = known.and_then(|host| self.peers.get_mut(host));
            return peer.map_or_else(PeerUpdate::default, |peer| peer.apply(report, false, now));
        };
        if let Some(callers) = &whole.cell_callers {
            let other = self.other_cells.entry(whole.cell);
            let other = other.or_insert_with(|| OtherCell::new(now));
            other.apply(&report, whole, callers, now);
            return PeerUpdate::default();
        }
        let host = whole.host.clone();
        let known = self.peers.get(&host);
        let is_new = known.is_none();
        if known.is_some_and(|peer| peer.earlier_run == Some(report.run)) {
            return PeerUpdate::default();
        }
        if known.is_none_or(|peer| peer.run != report.run) {
            let earlier_run = known.map(|peer| peer.run);
            let mut peer = Peer::new(report.run, earlier_run, whole, now);
            let is_known_from_start = earlier_run.is_some() || report.sequence <= FIRST_REPORTS;
            peer.first_usage = is_known_from_start.then_some(0.0);
            self.runs.insert(report.run, host.clone());
            self.peers.insert(host.clone(), peer);
        }
        let Some(peer) = self.peers.get_mut(&host) else {
            return PeerUpdate::default();
        };
        peer.clock.record(whole.sent_at, boot_time);
        peer.apply(report, is_new, now)
    }

    /// Iterates over the live peers.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = (&HostId, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| peer.is_live(now))
    }

    /// Iterates over the addresses at which peers that are no longer live received reports.
    pub fn silent_addresses(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let silent = self.peers.values().filter(move |it| !it.is_live(now));
        silent.map(|it| it.address)
    }

    /// Returns a peer by its name.
    #[must_use]
    pub fn peer(&self, host: &str) -> Option<&Peer> {
        self.peers.get(host)
    }

    /// Iterates over the addresses at which callers may connect in other live cells.
    pub fn other_cell_callers(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let cells = self.other_cells.values();
        let live = cells.filter(move |it| is_cell_live(it.last_report_at, now));
        live.flat_map(|cell| cell.callers.iter().copied())
    }

    /// Returns the cells that reported recently, and the IP addresses of the hosts there to which
    /// callers may connect.
    #[must_use]
    pub fn hosts_of_other_cells(&self, now: Instant) -> (BTreeSet<CellIndex>, HashSet<IpAddr>) {
        let is_recent =
            |cell: &OtherCell| now.saturating_duration_since(cell.last_report_at) < CELL_MEMORY;
        let recent = self.other_cells.iter().filter(|(_, cell)| is_recent(cell));
        let hosts = recent.clone().flat_map(|(_, cell)| &cell.callers);
        let hosts = hosts.map(SocketAddr::ip).collect();
        (recent.map(|(index, _)| *index).collect(), hosts)
    }

    /// Iterates over the addresses of hosts in other cells that reported this version of the
    /// configuration, or a newer one, a short time ago.
    pub fn other_cell_holders(
        &self,
        version: u64,
        now: Instant,
    ) -> impl Iterator<Item = SocketAddr> {
        let holders = self.other_cells.values().filter_map(|it| it.holder);
        let live = holders.filter(move |it| is_cell_live(it.reported_at, now));
        let newest = live.filter(move |it| it.version >= version);
        newest.map(|it| it.address)
    }

    /// Iterates over all known peers, live or not.
    pub fn iter(&self) -> impl Iterator<Item = (&HostId, &Peer)> {
        self.peers.iter()
    }

    /// Returns the fraction of the fleet that is live for this host, itself included.
    ///
    /// Hosts that were `discovered` recently but have never sent a report count like those that
    /// fell silent: a host that has just started has received no reports, and is not the whole
    /// fleet.
    #[must_use]
    pub fn live_fraction<'a>(
        &self,
        discovered: impl Iterator<Item = &'a HostId>,
        now: Instant,
    ) -> f64 {
        let live = 1.0 + count_of(self.live_peers(now));
        let silent = self.peers.values().filter(|it| it.may_be_cut_off(now));
        let unknown = discovered.filter(|host| !self.peers.contains_key(*host));
        live / (live + count_of(silent) + count_of(unknown))
    }

    /// Returns the number of live hosts, this one included.
    #[must_use]
    pub fn size(&self, now: Instant) -> usize {
        self.live_peers(now).count() + 1
    }

    /// Removes peers that have been silent for long.
    pub fn remove_expired(&mut self, now: Instant) {
        self.peers
            .retain(|_, peer| peer.is_live(now) || peer.may_be_cut_off(now));
        let peers = &self.peers;
        self.runs
            .retain(|run, host| peers.get(host).is_some_and(|peer| peer.run == *run));
    }
}

impl Peer {
    fn new(
        run: Incarnation,
        earlier_run: Option<Incarnation>,
        whole: &WholeReport,
        now: Instant,
    ) -> Self {
        Self {
            run,
            address: whole.address,
            callers: whole.callers,
            failure_domain: whole.failure_domain.clone(),
            is_ready: false,
            contact: Contact::Reaching,
            may_watch: false,
            is_watching: false,
            version: 0,
            digest: 0,
            clock: PeerClock::default(),
            earlier_run,
            sequence: None,
            first_usage: None,
            last_report_at: now,
            usage: HashMap::new(),
            arrivals: HashMap::new(),
        }
    }

    /// Applies a report of this peer. The totals in its first report say nothing about recent
    /// use: they are only the baseline of later differences.
    fn apply(&mut self, report: Report, is_new: bool, now: Instant) -> PeerUpdate {
        if self.sequence.is_some_and(|last| report.sequence <= last) {
            return PeerUpdate::default();
        }
        self.sequence = Some(report.sequence);
        self.last_report_at = now;
        self.is_ready = report.is_ready;
        self.contact = report.contact;
        let mut update = PeerUpdate::default();
        if let Some(whole) = report.whole {
            self.may_watch = whole.store.may_watch;
            self.is_watching = whole.store.is_watching;
            self.version = whole.store.version;
            self.digest = whole.store.digest;
            update.low_levels = whole.low_levels;
            for count in whole.arrivals {
                let key = (count.service, count.rank);
                let before = self.arrivals.insert(key, count.requests);
                if let Some(before) = before.or((!is_new).then_some(0)) {
                    let requests = count.requests.saturating_sub(before);
                    update.arrivals.push(ArrivalCount { requests, ..count });
                }
            }
        }
        for (account, used) in report.usage {
            let before = self.usage.insert(account.clone(), used);
            // A total that was first received long after the run began says nothing of recent use.
            if let Some(before) = before.or(self.first_usage) {
                update.usage.push((account, used - before));
            }
        }
        update
    }
}
