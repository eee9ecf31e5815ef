//! The platform's list of entry hosts and backend servers, which may be outdated.

use crate::{BackendId, FailureDomain, HostId, ServiceId};

/// Whether a machine accepts new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Presence {
    /// It accepts new work.
    #[default]
    Live,
    /// It is shutting down: it finishes its requests and gets no new ones.
    Leaving,
}

/// One entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRecord {
    /// Id of the host.
    pub id: HostId,
    /// Address at which it accepts callers, `IP:port`.
    pub address: String,
    /// Address at which it accepts peer links, `IP:port`.
    pub link: String,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it accepts new work.
    pub presence: Presence,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendRecord {
    /// Id of the backend server.
    pub id: BackendId,
    /// Its HTTP address, `IP:port`.
    pub address: String,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it accepts new work.
    pub presence: Presence,
    /// Number of requests that it can run at once, as stated by its maker.
    pub slots: u32,
}

/// A version of the list of entry hosts and backend servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostList {
    /// Version of the list; a greater one is newer. 0 before the first list.
    pub version: u64,
    /// All entry hosts.
    pub hosts: Vec<HostRecord>,
    /// All backend servers.
    pub backends: Vec<BackendRecord>,
}
