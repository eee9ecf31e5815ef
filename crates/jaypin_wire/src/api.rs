//! JSON bodies of responses to callers and operators.

use jaypin_core::{HostId, HostList, HostRecord, Member, MemberStatus, Presence, Refusal, Summary};
use serde::{Deserialize, Serialize};

use crate::ShardState;

/// Response body of `GET /v1/entry`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryBody {
    /// Addresses of entry hosts, in the order in which callers should try them.
    pub addresses: Vec<EntryAddress>,
    /// How long callers may cache the response, in seconds.
    pub valid_for_s: u64,
    /// Name of the host that responded.
    pub host: String,
    /// Incarnation of that host, as a decimal number.
    pub incarnation: String,
    /// Prefix for idempotency keys; the caller appends a unique part.
    pub key_prefix: String,
}

/// The address of an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Name of the entry host.
    pub host: String,
    /// `IP:port` for callers.
    pub address: String,
}

/// Response body of a refused request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Reason of the refusal, in kebab case.
    pub reason: String,
    /// Whether the request ran: `not-run`, `ran` or `unknown`.
    pub outcome: String,
    /// Time after which the caller should retry, in milliseconds; none when a retry does not
    /// help.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Line of the rule that caused the refusal, when one did.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rule_line: Option<u32>,
    /// ID of the request, for `jaypin explain`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// Human-readable explanation in one sentence.
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

/// Response body of a host's status page.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusBody {
    /// Name of the host.
    pub host: String,
    /// Incarnation of the host's process.
    pub incarnation: u64,
    /// Failure domain (zone) of the host.
    pub failure_domain: String,
    /// Address of the platform that the host uses.
    pub platform: String,
    /// Version of the rules that the host uses.
    pub rules_version: u64,
    /// Version of the host list that the host uses.
    pub hosts_version: u64,
    /// Number of shards that the host leads.
    pub shards_led: usize,
    /// Number of waiting requests that the host owns.
    pub waiting: usize,
    /// Number of running requests that the host owns.
    pub running: usize,
    /// Number of requests that wait in the shards that the host leads.
    pub queued_here: usize,
    /// Number of requests that run on slots granted by the shards that the host leads.
    pub granted_here: usize,
    /// Whether the host is shutting down.
    pub draining: bool,
    /// Entry hosts, with the states that this host knows.
    pub hosts: Vec<HostState>,
    /// Backend servers in the host list.
    pub backends: Vec<BackendState>,
    /// State of the shards that the host leads.
    pub shards: Vec<ShardState>,
    /// Number of request contents during whose execution a backend server crashed.
    pub suspected_requests: usize,
    /// Number of those contents that are refused.
    pub quarantined_requests: usize,
}

/// An entry host with the state that another host knows of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostState {
    /// Name of the entry host.
    pub host: String,
    /// Address, `IP:port`, for callers.
    pub address: String,
    /// `alive`, `leaving`, `suspect` or `dead`.
    pub state: String,
}

/// A backend server in the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendState {
    /// Name of the backend server.
    pub backend: String,
    /// Service of the backend server.
    pub service: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// Identity of a host, for its status page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostIdentity {
    /// Name of the host.
    pub host: String,
    /// Incarnation of the host's process.
    pub incarnation: u64,
    /// Failure domain (zone) of the host.
    pub failure_domain: String,
    /// Address of the platform that the host uses.
    pub platform: String,
}

impl StatusBody {
    /// Builds the status of a host. The two counts of suspected and quarantined requests are 0
    /// until the caller sets them.
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

/// Returns the state of an entry host. The membership table takes precedence over the
/// platform's host list, which lags; but a host that the list marks as leaving is leaving.
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
