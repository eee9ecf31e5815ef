//! Wire and JSON forms of the entries of the membership table.

use std::sync::Arc;

use jaypin_core::{HostId, Member, MemberStatus};
use serde::{Deserialize, Serialize};

/// Wire form of a host and its [`Member`] entry: host, incarnation, revision, status.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireMember(Arc<str>, u64, u32, WireMemberStatus);

/// Wire form of [`MemberStatus`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum WireMemberStatus {
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
            MemberStatus::Alive => WireMemberStatus::Alive,
            MemberStatus::Leaving => WireMemberStatus::Leaving,
            MemberStatus::Suspect => WireMemberStatus::Suspect,
            MemberStatus::Dead => WireMemberStatus::Dead,
        };
        Self(host, member.incarnation, member.revision, status)
    }
}

impl From<WireMember> for (HostId, Member) {
    fn from(wire: WireMember) -> Self {
        let status = match wire.3 {
            WireMemberStatus::Alive => MemberStatus::Alive,
            WireMemberStatus::Leaving => MemberStatus::Leaving,
            WireMemberStatus::Suspect => MemberStatus::Suspect,
            WireMemberStatus::Dead => MemberStatus::Dead,
        };
        let member = Member {
            incarnation: wire.1,
            revision: wire.2,
            status,
        };
        (wire.0, member)
    }
}

/// A host in the membership table, in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBody {
    /// Name of the host.
    pub host: String,
    /// Incarnation of the host's process.
    pub incarnation: u64,
    /// How often the host refuted a report of its failure within this incarnation.
    pub revision: u32,
    /// `alive`, `leaving`, `suspect` or `dead`.
    pub status: String,
}

impl MemberBody {
    /// Converts the entries of the membership table.
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
