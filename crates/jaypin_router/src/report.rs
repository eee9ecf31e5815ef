//! What a host tells its peers, several times a second.

use std::net::SocketAddr;

use std::time::Duration;

use jaypin_core::{AccountId, FailureDomain, HostId, Incarnation};

use crate::{
    ArrivalCount, BackendKey, BackendSignals, BootTime, CellIndex, EntryChange, HostKey,
    RolloutOrder, StoreEra, VersionOutcomes,
};

/// What one host has running and has learned.
///
/// Everything in it is a state or a running total, never a difference: a report that is
/// lost is made good by a later one.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The sender.
    pub host: HostKey,
    /// Number of the sender's run, drawn at random, since clocks may jump back.
    pub run: Incarnation,
    /// Count of reports within the run; a smaller one is late and ignored.
    pub sequence: u64,
    /// Whether callers should be sent to it.
    pub is_ready: bool,
    /// What it has running, where that changed or was not told for a while: to hosts that
    /// use the same backend servers.
    pub loads: Vec<BackendLoad>,
    /// What it has learned lately of these, as totals of this run.
    pub samples: Vec<BackendSamples>,
    /// Quota units that accounts used, as totals of this run: all accounts in a whole
    /// report, else those that used some.
    pub usage: Vec<(AccountId, f64)>,
    /// What answers said of backend servers: of all in a whole report, else of those whose
    /// load it tells.
    pub signals: Vec<SignalReport>,
    /// Entries that changed lately, from hosts that watch.
    pub changes: Vec<EntryChange>,
    /// The rest, in a whole report.
    pub whole: Option<WholeReport>,
}

/// What a host tells a few times a second only, whatever happens.
#[derive(Debug, Clone, PartialEq)]
pub struct WholeReport {
    /// The host.
    pub host: HostId,
    /// Where it takes reports.
    pub address: SocketAddr,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its cell.
    pub cell: CellIndex,
    /// When it was sent, by the host's clock that counts suspended time.
    pub sent_at: BootTime,
    /// What it says of the store.
    pub store: StoreView,
    /// Levels of accounts that have little left; a host that has just started takes them
    /// over.
    pub low_levels: Vec<(AccountId, f64)>,
    /// What callers asked of it, as totals of this run.
    pub asked: Vec<ArrivalCount>,
    /// Contents under which backend servers died.
    pub crash_counts: Vec<Strike>,
    /// Orders for new versions of services that are under way or have just ended.
    pub rollouts: Vec<RolloutReport>,
    /// To other cells: where callers of the sender's cell may connect.
    pub cell_callers: Option<Vec<SocketAddr>>,
}

/// What a host knows of the platform's store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StoreView {
    /// Version of its configuration; 0 before any.
    pub version: u64,
    /// When that version was the newest, by its clock that counts suspended time.
    pub proved_at: Option<BootTime>,
    /// Whether it may be relied on to watch.
    pub may_watch: bool,
    /// Whether it watches.
    pub is_watching: bool,
    /// A number that stands for all entries of backend servers that it knows.
    pub digest: u64,
    /// The store's era, once one was heard.
    pub era: Option<StoreEra>,
}

/// What a host knows of an order for a new version.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutReport {
    /// The order, as the store had it last.
    pub order: RolloutOrder,
    /// Time since anyone heard of it first.
    pub age: Duration,
    /// Whether the new version was found bad.
    pub is_bad: bool,
    /// Whether the store has lost the order's end, which the order states here.
    pub is_end_lost: bool,
    /// What the host saw; to other cells: what it knows of its cell.
    pub outcomes: VersionOutcomes,
}

/// What a host has running on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendLoad {
    /// The backend server.
    pub key: BackendKey,
    /// Requests sent and not ended.
    pub running: u32,
    /// Prompt tokens of those whose first event has not come.
    pub unread_tokens: u32,
}

/// What a host has learned of a backend server since its run began.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BackendSamples {
    /// The backend server.
    pub key: BackendKey,
    /// Prompt tokens read, with those that were read before them.
    pub tokens: f64,
    /// Seconds that this took.
    pub seconds: f64,
    /// Seconds for which the calls that succeeded held their slots.
    pub hold_seconds: f64,
    /// Events of streams, behind the first of each.
    pub events: f64,
    /// Seconds that they took.
    pub event_seconds: f64,
    /// Calls that succeeded.
    pub good: u32,
    /// Calls that failed by the backend server's fault.
    pub bad: u32,
}

/// What an answer said of a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SignalReport {
    /// The backend server.
    pub key: BackendKey,
    /// Start of its process, as it states it.
    pub started: u64,
    /// What was said.
    pub signals: BackendSignals,
    /// Time since it was heard.
    pub age: Duration,
}

/// A content under which backend servers died.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Strike {
    /// Fingerprint of the content, salted by its caller.
    pub fingerprint: u64,
    /// Backend servers that died.
    pub crash_count: u32,
}

impl BackendLoad {
    /// Nothing running.
    #[must_use]
    pub fn none(key: BackendKey) -> Self {
        Self {
            key,
            running: 0,
            unread_tokens: 0,
        }
    }
}

impl BackendSamples {
    /// Nothing learned yet.
    #[must_use]
    pub fn none(key: BackendKey) -> Self {
        Self {
            key,
            tokens: 0.0,
            seconds: 0.0,
            hold_seconds: 0.0,
            events: 0.0,
            event_seconds: 0.0,
            good: 0,
            bad: 0,
        }
    }

    /// What was learned since an earlier total.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        Self {
            key: self.key,
            tokens: (self.tokens - before.tokens).max(0.0),
            seconds: (self.seconds - before.seconds).max(0.0),
            hold_seconds: (self.hold_seconds - before.hold_seconds).max(0.0),
            events: (self.events - before.events).max(0.0),
            event_seconds: (self.event_seconds - before.event_seconds).max(0.0),
            good: self.good.saturating_sub(before.good),
            bad: self.bad.saturating_sub(before.bad),
        }
    }
}
