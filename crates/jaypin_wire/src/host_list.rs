//! The host list as the platform keeps it, in JSON.

use std::sync::Arc;

use jaypin_core::{BackendRecord, HostList, HostRecord, Presence};
use serde::{Deserialize, Serialize};

/// The list as a whole; its version is the platform object's.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WireHostList {
    /// Entry hosts.
    pub hosts: Vec<WireHost>,
    /// Backend servers.
    pub backends: Vec<WireBackend>,
}

/// One entry host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireHost {
    /// Name.
    pub id: Arc<str>,
    /// Address for callers.
    pub address: String,
    /// Address for peer links.
    pub link: String,
    /// Where it stands.
    pub failure_domain: Arc<str>,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// One backend server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireBackend {
    /// Name.
    pub id: Arc<str>,
    /// Its HTTP address.
    pub address: String,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Where it stands.
    pub failure_domain: Arc<str>,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Requests it can run at once.
    pub slots: u32,
}

impl WireHostList {
    /// Joins the list with the version of the object that held it.
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
