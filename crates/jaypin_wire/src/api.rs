//! JSON bodies towards callers and operators.

use jaypin_core::{HostId, HostList, HostRecord, Member, MemberStatus, Presence, Refusal, Summary};
use serde::{Deserialize, Serialize};

use crate::ShardState;

/// Answer of `GET /v1/entry`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryBody {
    /// Addresses to use, best first.
    pub addresses: Vec<EntryAddress>,
    /// How long the answer holds, in seconds.
    pub valid_for_s: u64,
    /// The host that answered.
    pub host: String,
    /// Its incarnation, in decimal.
    pub incarnation: String,
    /// Prefix for idempotency keys: append a part of your own.
    pub key_prefix: String,
}

/// One address of the entry list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Name of the host.
    pub host: String,
    /// `IP:port` for callers.
    pub address: String,
}

/// Body of every refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Why, in one word.
    pub reason: String,
    /// `not-run`, `ran` or `unknown`.
    pub outcome: String,
    /// When to come back, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Line of the rule that decided.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rule_line: Option<u32>,
    /// The request, for `jaypin explain`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// One sentence for a person.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub message: Option<String>,
}

impl From<&Refusal> for RefusalBody {
    fn from(refusal: &Refusal) -> Self {
        Self {
            reason: refusal.reason.as_str().to_owned(),
            outcome: refusal.ran.as_str().to_owned(),
            retry_after_ms: refusal
                .retry_after
                .map(|wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)),
            rule_line: refusal.rule_line,
            request_id: None,
            message: None,
        }
    }
}

/// Body of a host's status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusBody {
    /// The host.
    pub host: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Where it stands.
    pub failure_domain: String,
    /// Address of the platform that it uses.
    pub platform: String,
    /// Version of the rules in force.
    pub rules_version: u64,
    /// Version of the host list in use.
    pub hosts_version: u64,
    /// Shards that it leads.
    pub shards_led: usize,
    /// Its requests that wait.
    pub waiting: usize,
    /// Its requests that run.
    pub running: usize,
    /// Requests that wait in the shards it leads.
    pub queued_here: usize,
    /// Requests that run on slots granted by the shards it leads.
    pub granted_here: usize,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Entry hosts, as this host sees them.
    pub hosts: Vec<HostState>,
    /// Backend servers, as the host list names them.
    pub backends: Vec<BackendState>,
    /// Shards that it leads.
    pub shards: Vec<ShardState>,
    /// Contents under which a backend server died.
    pub suspected_requests: usize,
    /// Those of them that are refused.
    pub quarantined_requests: usize,
}

/// An entry host, as another sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostState {
    /// Its name.
    pub host: String,
    /// `IP:port` for callers.
    pub address: String,
    /// `alive`, `leaving`, `suspect` or `dead`.
    pub state: String,
}

/// A backend server, as the host list names it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendState {
    /// Its name.
    pub backend: String,
    /// Its service.
    pub service: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// What a host knows of itself beside its counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostIdentity {
    /// Its name.
    pub host: String,
    /// This run of its process.
    pub incarnation: u64,
    /// Where it stands.
    pub failure_domain: String,
    /// Address of the platform that it uses.
    pub platform: String,
}

impl StatusBody {
    /// Joins what a host is with its counts and its view of the fleet.
    #[must_use]
    pub fn new(
        own: &HostIdentity,
        summary: &Summary,
        list: &HostList,
        members: &[(HostId, Member)],
        shards: Vec<ShardState>,
    ) -> Self {
        let hosts = list.hosts.iter().map(|host| HostState {
            host: host.id.to_string(),
            address: host.address.clone(),
            state: host_state(host, members).to_owned(),
        });
        let backends = list.backends.iter().map(|backend| BackendState {
            backend: backend.id.to_string(),
            service: backend.service.to_string(),
            state: presence_name(backend.presence).to_owned(),
        });
        Self {
            host: own.host.clone(),
            incarnation: own.incarnation,
            failure_domain: own.failure_domain.clone(),
            platform: own.platform.clone(),
            hosts: hosts.collect(),
            backends: backends.collect(),
            shards,
            suspected_requests: 0,
            quarantined_requests: 0,
            rules_version: summary.rules_version,
            hosts_version: summary.hosts_version,
            shards_led: summary.shards_led,
            waiting: summary.waiting,
            running: summary.running,
            queued_here: summary.queued_here,
            granted_here: summary.granted_here,
            draining: summary.draining,
        }
    }
}

/// What other hosts believe goes before the platform's list, which lags.
fn host_state(host: &HostRecord, members: &[(HostId, Member)]) -> &'static str {
    let member = members.iter().find(|(id, _)| *id == host.id);
    match (member, host.presence) {
        (Some((_, member)), Presence::Live) => member.status.as_str(),
        (None, Presence::Live) => MemberStatus::Alive.as_str(),
        (_, Presence::Leaving) => MemberStatus::Leaving.as_str(),
    }
}

fn presence_name(presence: Presence) -> &'static str {
    match presence {
        Presence::Live => "live",
        Presence::Leaving => "leaving",
    }
}
