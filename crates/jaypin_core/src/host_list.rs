//! The platform's lagging list of entry hosts and backend servers.

use crate::{BackendId, FailureDomain, HostId, ServiceId};

/// Whether a machine is to be given new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Presence {
    /// It takes work.
    #[default]
    Live,
    /// It finishes what it has and gets nothing new.
    Leaving,
}

/// One entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRecord {
    /// Name.
    pub id: HostId,
    /// Address for callers, `IP:port`.
    pub address: String,
    /// Address for peer links, `IP:port`.
    pub link: String,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Whether it takes work.
    pub presence: Presence,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendRecord {
    /// Name.
    pub id: BackendId,
    /// Its HTTP address, `IP:port`.
    pub address: String,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Whether it takes work.
    pub presence: Presence,
    /// Requests it can run at once, as its maker states it.
    pub slots: u32,
}

/// The list as a whole.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostList {
    /// Version of the list; greater is newer.
    pub version: u64,
    /// Entry hosts.
    pub hosts: Vec<HostRecord>,
    /// Backend servers.
    pub backends: Vec<BackendRecord>,
}
