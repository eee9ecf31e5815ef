//! Entries of the table of hosts, as they travel.

use std::sync::Arc;

use jaypin_core::{HostId, Member, MemberStatus};
use serde::{Deserialize, Serialize};

/// See [`Member`]: host, incarnation, revision, status.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireMember(Arc<str>, u64, u32, WireStatus);

/// See [`MemberStatus`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum WireStatus {
    /// See [`MemberStatus::Alive`].
    #[serde(rename = "a")]
    Alive,
    /// See [`MemberStatus::Leaving`].
    #[serde(rename = "l")]
    Leaving,
    /// See [`MemberStatus::Suspect`].
    #[serde(rename = "s")]
    Suspect,
    /// See [`MemberStatus::Dead`].
    #[serde(rename = "d")]
    Dead,
}

impl From<(HostId, Member)> for WireMember {
    fn from((host, member): (HostId, Member)) -> Self {
        let status = match member.status {
            MemberStatus::Alive => WireStatus::Alive,
            MemberStatus::Leaving => WireStatus::Leaving,
            MemberStatus::Suspect => WireStatus::Suspect,
            MemberStatus::Dead => WireStatus::Dead,
        };
        Self(host, member.incarnation, member.revision, status)
    }
}

impl From<WireMember> for (HostId, Member) {
    fn from(wire: WireMember) -> Self {
        let status = match wire.3 {
            WireStatus::Alive => MemberStatus::Alive,
            WireStatus::Leaving => MemberStatus::Leaving,
            WireStatus::Suspect => MemberStatus::Suspect,
            WireStatus::Dead => MemberStatus::Dead,
        };
        let member = Member {
            incarnation: wire.1,
            revision: wire.2,
            status,
        };
        (wire.0, member)
    }
}

/// One host in a status page.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBody {
    /// The host.
    pub host: String,
    /// Run of its process.
    pub incarnation: u64,
    /// How often it refuted within that run.
    pub revision: u32,
    /// `alive`, `leaving`, `suspect` or `dead`.
    pub status: String,
}

impl MemberBody {
    /// Shows a table of hosts.
    #[must_use]
    pub fn list(members: &[(HostId, Member)]) -> Vec<Self> {
        let body = |(host, member): &(HostId, Member)| Self {
            host: host.to_string(),
            incarnation: member.incarnation,
            revision: member.revision,
            status: member.status.as_str().to_owned(),
        };
        members.iter().map(body).collect()
    }
}
