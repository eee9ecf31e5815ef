//! The kinds of rule, each with its line and requester.

use std::time::Duration;

use crate::CredentialDigest;

/// Line and requester of a rule.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Origin {
    /// Line in the file, from 1.
    pub line: u32,
    /// Requester named in the comment after the rule.
    pub requester: String,
}

/// A priority class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct TierRule {
    /// Name that callers send in `x-jaypin-tier`.
    pub name: String,
    /// Priority: 0 is served first and shed last.
    pub rank: u8,
    /// Longest acceptable time from arrival to the first token.
    pub first_token: Duration,
    /// Longest acceptable time between two tokens.
    pub gap: Duration,
    /// Longest acceptable time from arrival to the end of the answer.
    pub whole_response: Duration,
    /// Weight of an answered request in the weighted goodput.
    pub weight: f64,
    /// Concurrent streams per shard that are reserved for this tier and higher ones.
    pub reserve: u32,
    /// Minimum share of a shard's slot grants, in percent, that this tier gets under overload.
    pub minimum_percent: u32,
    /// Line and requester of the rule.
    pub origin: Origin,
}

/// Kind of the backend servers of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceKind {
    /// Language model engines, which batch requests, cache prefixes and stream tokens.
    Engine,
    /// Plain HTTP services, which send one response per request.
    Plain,
}

/// A service that callers reach through jaypin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRule {
    /// Name; a plain service is called under the path prefix `/v1/services/NAME/`.
    pub name: String,
    /// Kind of its backend servers.
    pub kind: ServiceKind,
    /// Models that the service serves; empty for plain services.
    pub models: Vec<String>,
    /// Tier of requests that do not specify one.
    pub tier: String,
    /// Line and requester of the rule.
    pub origin: Origin,
}

/// Whether a call may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// The call may be repeated without changing the result.
    Idempotent,
    /// The call must run at most once; callers send an `Idempotency-Key`.
    Never,
}

/// A route of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// `METHOD /path` below the service, for example `POST /gate`.
    pub route: String,
    /// Name of the service.
    pub service: String,
    /// Tier of the calls; the service's tier when absent.
    pub tier: Option<String>,
    /// Whether a call may run more than once.
    pub repeat: Repeat,
    /// Line and requester of the rule.
    pub origin: Origin,
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountRule {
    /// Name of the account.
    pub name: String,
    /// Weight of the account in the fair sharing of slots within a tier.
    pub share: f64,
    /// Line and requester of the rule.
    pub origin: Origin,
}

/// The credential of a caller of a client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRule {
    /// Digest of the credential.
    pub digest: CredentialDigest,
    /// Name of the account.
    pub account: String,
    /// Line and requester of the rule.
    pub origin: Origin,
}

/// Limits of a client account over the whole fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitRule {
    /// Name of the account.
    pub account: String,
    /// Most estimated tokens per second; no limit when absent.
    pub tokens_per_second: Option<f64>,
    /// Most concurrent requests; no limit when absent.
    pub concurrent: Option<u32>,
    /// Line and requester of the rule.
    pub origin: Origin,
}

/// Whether the backend servers of a service check the fencing numbers of requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FencingRule {
    /// Name of the service.
    pub service: String,
    /// Whether the backend servers refuse a request with an outdated fencing number.
    pub checked: bool,
    /// Line and requester of the rule.
    pub origin: Origin,
}

/// When requests whose content crashes backend servers are refused. The default applies when
/// the file has no such rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineRule {
    /// Number of backend servers that must crash while running requests with the same fingerprint
    /// before such requests are refused.
    pub crash_limit: u32,
    /// How long requests with the fingerprint are refused.
    pub duration: Duration,
    /// Line and requester of the rule.
    pub origin: Origin,
}

impl Default for QuarantineRule {
    fn default() -> Self {
        Self {
            crash_limit: 2,
            duration: Duration::from_mins(10),
            origin: Origin::default(),
        }
    }
}
