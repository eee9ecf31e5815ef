//! Reports that a host sends to its peers, several times a second.

use std::net::SocketAddr;

use std::time::Duration;

use jaypin_core::{AccountId, FailureDomain, HostId, Incarnation};

use crate::{
    ArrivalCount, BackendKey, BackendSignals, BootTime, CellIndex, ClearedSuspect, Contact, Crash,
    EntryChange, HeldReport, HostKey, RolloutOrder, StoreEra, VersionOutcomes,
};

/// What one host has running and has observed.
///
/// Each field is a state or a running total, never a difference, so a later report makes up for
/// one that is lost.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Key of the sender.
    pub host: HostKey,
    /// Incarnation of the sender's process, drawn at random since clocks may jump back.
    pub run: Incarnation,
    /// Number of the report within the run; a report with a smaller number is late and ignored.
    pub sequence: u64,
    /// Whether callers should be sent to the sender.
    pub is_ready: bool,
    /// Whether the sender can open connections to backend servers.
    pub contact: Contact,
    /// Load of the sender on backend servers, where it changed or was not reported for a while;
    /// for hosts that use the same backend servers.
    pub loads: Vec<BackendLoad>,
    /// What it has observed recently of these backend servers, as totals of this run.
    pub samples: Vec<BackendSamples>,
    /// Quota units that accounts used, as totals of this run: of accounts that used some since the
    /// previous report; in a whole report, also of some that used none.
    pub usage: Vec<(AccountId, f64)>,
    /// Signals from the answers of backend servers: of all in a whole report, otherwise of those
    /// whose load is reported.
    pub signals: Vec<SignalReport>,
    /// Entries that changed recently, from hosts that watch the store.
    pub changes: Vec<EntryChange>,
    /// Further parts, in a whole report only.
    pub whole: Option<WholeReport>,
    /// Prompt prefixes that these backend servers cache, which were not reported shortly before.
    pub held: Vec<HeldReport>,
}

/// What a host sends only a few times a second, whatever happens.
#[derive(Debug, Clone, PartialEq)]
pub struct WholeReport {
    /// Name of the host.
    pub host: HostId,
    /// Address at which it receives reports.
    pub address: SocketAddr,
    /// Address at which callers connect to it.
    pub callers: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its cell.
    pub cell: CellIndex,
    /// Time at which it was sent, by the host's clock that counts suspended time.
    pub sent_at: BootTime,
    /// What it knows of the store.
    pub store: StoreView,
    /// Quota levels of accounts that have little left; a host that has just started adopts them.
    pub low_levels: Vec<(AccountId, f64)>,
    /// Requests that callers sent it, as totals of this run.
    pub arrivals: Vec<ArrivalCount>,
    /// Crashes of backend servers, with the contents and parts of prompts that were lost in them.
    pub crashes: Vec<Crash>,
    /// Suspects of such crashes that are known to be sound.
    pub completed: Vec<ClearedSuspect>,
    /// Rollouts of new versions of services that are in progress or have just ended.
    pub rollouts: Vec<RolloutReport>,
    /// In reports to other cells: the addresses at which callers of the sender's cell may
    /// connect.
    pub cell_callers: Option<Vec<SocketAddr>>,
}

/// What a host knows of the platform's store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StoreView {
    /// Version of its configuration; 0 before it has one.
    pub version: u64,
    /// Time at which that version was known to be the newest, by its clock that counts suspended
    /// time.
    pub proved_at: Option<BootTime>,
    /// Time at which it was known to have all entries of backend servers, by the same clock.
    pub entries_proved_at: Option<BootTime>,
    /// Whether it may be relied on to watch the store.
    pub may_watch: bool,
    /// Whether it watches the store.
    pub is_watching: bool,
    /// Digest of all entries of backend servers that it knows.
    pub digest: u64,
    /// The store's era; absent until one is known.
    pub era: Option<StoreEra>,
}

/// What a host knows of a rollout.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutReport {
    /// The order for the new version, as the store had it last.
    pub order: RolloutOrder,
    /// Time since any host first learned of it.
    pub age: Duration,
    /// Whether the new version was found bad.
    pub is_bad: bool,
    /// Whether the store has lost the end of the rollout, which `order` states.
    pub is_end_lost: bool,
    /// Outcomes that the host observed; in reports to other cells, those that it knows of its
    /// cell.
    pub outcomes: VersionOutcomes,
}

/// Load of a host on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendLoad {
    /// Key of the backend server.
    pub key: BackendKey,
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Prompt tokens of those whose first event has not arrived.
    pub unread_tokens: u32,
}

/// What a host has observed of a backend server since its run began.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BackendSamples {
    /// Key of the backend server.
    pub key: BackendKey,
    /// Prompt tokens read, including those that the backend server had to read before them.
    pub tokens: f64,
    /// Seconds that reading them took.
    pub seconds: f64,
    /// Seconds for which calls that succeeded held their slots.
    pub hold_seconds: f64,
    /// Events of streams, without the first of each.
    pub events: f64,
    /// Seconds that these events took.
    pub event_seconds: f64,
    /// Calls that succeeded.
    pub good: u32,
    /// Calls that failed through the backend server's fault.
    pub bad: u32,
}

/// What an answer stated about a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SignalReport {
    /// Key of the backend server.
    pub key: BackendKey,
    /// Start of the backend server's process, as it states it.
    pub started: u64,
    /// What was stated.
    pub signals: BackendSignals,
    /// Time since the answer arrived.
    pub age: Duration,
    /// Time since it last rejected a request for lack of room, if it did.
    pub rejection_age: Option<Duration>,
}

impl BackendLoad {
    /// Returns the load of a host that has nothing running there.
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
    /// Returns the totals of a host that has observed nothing.
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

    /// Returns what was observed since an earlier total.
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
