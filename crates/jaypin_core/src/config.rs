//! What a host's reducer is told at its start.

use std::time::Duration;

use crate::{FailureDomain, HostId, Incarnation};

/// How requests find a backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// One scheduler a shard grants slots; the product's own way.
    #[default]
    Grants,
    /// Each host alone: the better of two random backend servers by lagging load reports.
    Baseline,
    /// Each host alone: a fixed share of each backend server's slots and a queue of its own.
    Local,
}

/// Configuration of a reducer, a plain value.
#[derive(Debug, Clone)]
pub struct Config {
    /// This host.
    pub host: HostId,
    /// This run of the host's process.
    pub incarnation: Incarnation,
    /// Where the host stands.
    pub failure_domain: FailureDomain,
    /// How requests find a backend server.
    pub policy: Policy,
    /// Seed of all random choices.
    pub seed: u64,
    /// Backend servers in one shard, at most.
    pub shard_size: usize,
    /// Requests that may wait in one shard; beyond it the lowest tier is shed.
    pub max_waiting: usize,
    /// How often load reports are asked for.
    pub report_interval: Duration,
    /// How long an owner waits for a first word from a shard scheduler.
    pub ask_timeout: Duration,
    /// How long a new shard scheduler collects what owners have in flight.
    pub rebuild_window: Duration,
    /// How often partners hear a digest, changed or not.
    pub gossip_interval: Duration,
    /// How long a suspect may refute before it counts as dead.
    pub suspect_timeout: Duration,
    /// Time between two events after which this process takes itself for paused.
    pub pause_limit: Duration,
    /// Whether the host is ready only after a peer told its versions.
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
            ask_timeout: Duration::from_millis(400),
            rebuild_window: Duration::from_millis(250),
            gossip_interval: Duration::from_secs(1),
            suspect_timeout: Duration::from_secs(5),
            pause_limit: Duration::MAX,
            await_peers: false,
        }
    }
}
