//! What a router is told, and what it wants done.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{BackendId, FailureDomain, HostId, Incarnation, Refusal};

use crate::{
    Arrival, AttemptOutcome, BackendRecord, BackendSignals, BootTime, DecisionInputs, EntryChange,
    Report, RequestNumber, Requester, RolloutOrder, RolloutWrite, RouteTable, StoreEra, StorePoint,
    Unrouted,
};

/// Bounds that the fleet's operators state.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Longest time for which a withdrawn credential may still be accepted.
    pub revocation_limit: Duration,
    /// Window over which the use of quotas is counted.
    pub quota_window: Duration,
    /// Units by which an account may exceed its quota in such a window.
    pub quota_slack: f64,
    /// Window of the budget for sends beyond the first of each request.
    pub resend_window: Duration,
    /// Such sends for each request in a window.
    pub resend_ratio: f64,
    /// Such sends in a window besides, over the whole fleet.
    pub resend_allowance: f64,
    /// Time within which a configuration has to be in force.
    pub convergence_limit: Duration,
    /// Time that a host has to finish once it is told to leave.
    pub shutdown_grace: Duration,
    /// What a version under trial may get; without it versions are not told apart.
    pub exposure: Option<ExposureBound>,
}

/// What a version under trial may get, over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureBound {
    /// Part of the requests that reach its service.
    pub share: f64,
    /// Requests besides.
    pub slack: f64,
}

/// What a router is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterConfig {
    /// This host.
    pub host: HostId,
    /// Number of this run, drawn at random.
    pub incarnation: Incarnation,
    /// Where this host takes reports.
    pub peer_address: SocketAddr,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the host stands.
    pub failure_domain: FailureDomain,
    /// Seed of all random choices.
    pub seed: u64,
    /// Bounds that hold for the fleet.
    pub bounds: Bounds,
}

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A version of the configuration was read.
    ConfigurationLoaded(Arc<RouteTable>),
    /// What is known of the configuration was the newest at this time.
    ConfigurationProved(BootTime),
    /// A peer that has the same configuration said that it was the newest at this time.
    ConfirmedByPeer(BootTime),
    /// The platform's store did not answer as it should.
    StoreCallFailed,
    /// The platform's store stated its era.
    StoreEra(StoreEra),
    /// All entries of backend servers were read, each with the point of its last change.
    BackendsListed {
        /// The entries.
        entries: Vec<(BackendRecord, StorePoint)>,
        /// When they were so, in the store's history.
        point: StorePoint,
    },
    /// The entry of a backend server changed.
    BackendChanged(EntryChange),
    /// A peer handed over all entries that it knows.
    EntriesTransferred(Vec<EntryChange>),
    /// A request was read whole.
    Arrived(Arrival),
    /// The header of a call's answer came.
    HeaderReceived {
        /// The request.
        number: RequestNumber,
        /// What it says of the backend server.
        signals: BackendSignals,
        /// Time for which the backend server wants nothing from this host, if it says so.
        backoff: Option<Duration>,
    },
    /// The first event or the whole answer of a call came.
    ResponseStarted(RequestNumber),
    /// Events of a stream came, behind its first one or those that were told before.
    Streamed {
        /// The request.
        number: RequestNumber,
        /// How many.
        events: u32,
        /// Time that they took.
        time: Duration,
    },
    /// A call ended.
    AttemptEnded {
        /// The request.
        number: RequestNumber,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// The caller of a request that was not sent left.
    CallerDisconnected(RequestNumber),
    /// All hosts that are registered, each with where it takes reports; some may be gone.
    HostsListed(Vec<(HostId, SocketAddr)>),
    /// A peer reported.
    ReportReceived {
        /// What it said.
        report: Box<Report>,
        /// Now, on the clock that counts suspended time.
        boot_time: BootTime,
    },
    /// The store was read or written and has this order for a new version of a service.
    RolloutOrderRead(RolloutOrder),
    /// The host shall finish what it has and leave.
    Drain,
    /// Time went on, also on the clock that counts suspended time.
    Tick(BootTime),
}

/// Something to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send the request to a backend server.
    Send {
        /// The request.
        number: RequestNumber,
        /// The backend server.
        backend: BackendId,
        /// Its address.
        address: String,
        /// Who asks; the account is named to it.
        asked_by: Requester,
        /// Whether the request's answer is a stream that may be resumed.
        repeat: crate::Repeat,
        /// Time after which a call without a first event is given up, if it may be sent
        /// again.
        first_event_timeout: Option<Duration>,
        /// Pause between two events after which the stream is given up, if another backend
        /// server may go on with it.
        stall_timeout: Option<Duration>,
        /// When the whole answer is due.
        deadline: Instant,
        /// What the choice rests on.
        inputs: DecisionInputs,
    },
    /// Answer that the configuration does not allow the request.
    Reject {
        /// The request.
        number: RequestNumber,
        /// What it does not allow.
        reason: Unrouted,
        /// What that rests on.
        inputs: DecisionInputs,
    },
    /// Answer with a refusal.
    Refuse {
        /// The request.
        number: RequestNumber,
        /// Who asks, where that was found out.
        asked_by: Option<Requester>,
        /// The answer.
        refusal: Refusal,
        /// What it rests on.
        inputs: DecisionInputs,
    },
    /// Answer with the failure that a backend server gave.
    ForwardFailure(RequestNumber),
    /// Write the state of an order to the store, if it has the order's revision.
    WriteRollout(RolloutWrite),
    /// Tell a report to these hosts.
    SendReport {
        /// Their addresses.
        to: Vec<SocketAddr>,
        /// The report.
        report: Box<Report>,
    },
}

/// Counts for metrics and status.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouterCounts {
    /// Requests that wait for a place.
    pub waiting: usize,
    /// Requests that were sent and not ended.
    pub running: usize,
    /// Hosts that take part, this one included.
    pub hosts: usize,
    /// Backend servers that take requests.
    pub backends: usize,
    /// Backend servers that state a limit on what they take.
    pub limited_backends: usize,
    /// Version of the configuration; 0 before any.
    pub version: u64,
}
