//! The host list as the platform stores it, in JSON.

use std::sync::Arc;

use jaypin_core::{BackendRecord, HostList, HostRecord, Presence};
use serde::{Deserialize, Serialize};

/// The host list; its version is that of the platform object.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WireHostList {
    /// Entry hosts.
    pub hosts: Vec<WireHost>,
    /// Backend servers.
    pub backends: Vec<WireBackend>,
}

/// An entry host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireHost {
    /// Name of the entry host.
    pub id: Arc<str>,
    /// Address for callers, `IP:port`.
    pub address: String,
    /// Address for peer links, `IP:port`.
    pub link: String,
    /// Failure domain (zone) that it is in.
    pub failure_domain: Arc<str>,
    /// Whether it gets no new work because it is being removed.
    #[serde(default)]
    pub leaving: bool,
}

/// A backend server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireBackend {
    /// Name of the entry host.
    pub id: Arc<str>,
    /// HTTP address, `IP:port`.
    pub address: String,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Failure domain (zone) that it is in.
    pub failure_domain: Arc<str>,
    /// Whether it gets no new work because it is being removed.
    #[serde(default)]
    pub leaving: bool,
    /// Requests that it can run concurrently.
    pub slots: u32,
}

impl WireHostList {
    /// Converts the list, adding the version of the platform object that it was read from.
    #[must_use]
    pub fn at_version(self, version: u64) -> HostList {
        HostList {
            version,
            hosts: self.hosts.into_iter().map(HostRecord::from).collect(),
            backends: self.backends.into_iter().map(BackendRecord::from).collect(),
        }
    }
}

impl From<&HostList> for WireHostList {
    fn from(list: &HostList) -> Self {
        Self {
            hosts: list.hosts.iter().map(WireHost::from).collect(),
            backends: list.backends.iter().map(WireBackend::from).collect(),
        }
    }
}

impl From<WireHost> for HostRecord {
    fn from(wire: WireHost) -> Self {
        Self {
            id: wire.id,
            address: wire.address,
            link: wire.link,
            failure_domain: wire.failure_domain,
            presence: presence(wire.leaving),
        }
    }
}

impl From<&HostRecord> for WireHost {
    fn from(host: &HostRecord) -> Self {
        Self {
            id: host.id.clone(),
            address: host.address.clone(),
            link: host.link.clone(),
            failure_domain: host.failure_domain.clone(),
            leaving: host.presence == Presence::Leaving,
        }
    }
}

impl From<WireBackend> for BackendRecord {
    fn from(wire: WireBackend) -> Self {
        Self {
            id: wire.id,
            address: wire.address,
            service: wire.service,
            failure_domain: wire.failure_domain,
            presence: presence(wire.leaving),
            slots: wire.slots,
        }
    }
}

impl From<&BackendRecord> for WireBackend {
    fn from(backend: &BackendRecord) -> Self {
        Self {
            id: backend.id.clone(),
            address: backend.address.clone(),
            service: backend.service.clone(),
            failure_domain: backend.failure_domain.clone(),
            leaving: backend.presence == Presence::Leaving,
            slots: backend.slots,
        }
    }
}

fn presence(leaving: bool) -> Presence {
    if leaving {
        Presence::Leaving
    } else {
        Presence::Live
    }
}
