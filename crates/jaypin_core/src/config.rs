//! Configuration of the reducer.

use std::time::Duration;

use crate::{FailureDomain, HostId, Incarnation};

/// How a backend server is chosen for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// One scheduler per shard grants slots; the default.
    #[default]
    Grants,
    /// Each host decides alone: of two random backend servers it uses the one with the
    /// lower reported load. For comparison with `Grants`.
    Baseline,
    /// Each host decides alone: it has a fixed share of each backend server's slots and a
    /// queue of its own. For comparison with `Grants`.
    Local,
}

/// Configuration of a reducer.
#[derive(Debug, Clone)]
pub struct Config {
    /// Id of this host.
    pub host: HostId,
    /// Incarnation of this host's process.
    pub incarnation: Incarnation,
    /// Failure domain of this host.
    pub failure_domain: FailureDomain,
    /// How a backend server is chosen for a request.
    pub policy: Policy,
    /// Seed of all random choices.
    pub seed: u64,
    /// Maximum number of backend servers in one shard.
    pub shard_size: usize,
    /// Maximum number of requests that wait in one shard; beyond it a request of the
    /// lowest tier is shed.
    pub max_waiting: usize,
    /// Time between two load polls of a backend server.
    pub report_interval: Duration,
    /// How long an owner waits for the first response of a shard scheduler before it asks
    /// again.
    pub slot_request_timeout: Duration,
    /// How long a new shard scheduler waits at most for the reports of owners and backend
    /// servers before it grants slots.
    pub rebuild_window: Duration,
    /// Time between two digests to each partner, also when nothing changed.
    pub gossip_interval: Duration,
    /// How long a host stays suspect before it is marked dead, unless it refutes.
    pub suspect_timeout: Duration,
    /// Time between two events from which on the process assumes that it was paused.
    pub pause_limit: Duration,
    /// Whether the host becomes ready only once a peer confirmed that its versions are
    /// current, or no peer responded in time.
    pub await_peers: bool,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            host: HostId::from("host"),
            incarnation: 1,
            failure_domain: FailureDomain::from("domain"),
            policy: Policy::Grants,
            seed: 1,
            shard_size: 12,
            max_waiting: 2_000,
            report_interval: Duration::from_secs(1),
            slot_request_timeout: Duration::from_millis(400),
            rebuild_window: Duration::from_millis(250),
            gossip_interval: Duration::from_secs(1),
            suspect_timeout: Duration::from_secs(5),
            pause_limit: Duration::MAX,
            await_peers: false,
        }
    }
}
