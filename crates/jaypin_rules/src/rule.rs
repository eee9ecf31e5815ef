//! The kinds of rule, each with the place it came from.

use std::time::Duration;

use crate::CredentialDigest;

/// Where a rule stands in the file and who asked for it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Origin {
    /// Line in the file, from 1.
    pub line: u32,
    /// The requester named in the comment behind the rule.
    pub requester: String,
}

/// A tier of work.
#[derive(Debug, Clone, PartialEq)]
pub struct TierRule {
    /// Name that callers give in `x-jaypin-tier`.
    pub name: String,
    /// Order of service: 0 is served first and shed last.
    pub rank: u8,
    /// Longest acceptable time from arrival to the first token.
    pub first_token: Duration,
    /// Longest acceptable time between two tokens.
    pub gap: Duration,
    /// Longest acceptable time from arrival to the end of the answer.
    pub whole_response: Duration,
    /// Worth of one answered request, for goodput by tier.
    pub weight: f64,
    /// Running streams per shard that only this tier and higher ones may use.
    pub reserve: u32,
    /// Share of a shard's grants, in percent, that this tier gets even under load.
    pub minimum_percent: u32,
    /// Where the rule came from.
    pub origin: Origin,
}

/// What a service's backend servers speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceKind {
    /// Language model engines: batching, prefix caches, streams.
    Engine,
    /// Plain services: one call, one answer.
    Plain,
}

/// A service that callers reach through jaypin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRule {
    /// Name; for plain services also the path prefix `/v1/services/NAME/`.
    pub name: String,
    /// What its backend servers speak.
    pub kind: ServiceKind,
    /// Models that its engines serve; empty for plain services.
    pub models: Vec<String>,
    /// Tier of a request that names none.
    pub tier: String,
    /// Where the rule came from.
    pub origin: Origin,
}

/// Whether a call may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// Running it twice does no harm.
    Idempotent,
    /// It must run at most once; callers give an `Idempotency-Key`.
    Never,
}

/// One call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// `METHOD /path` below the service, for example `POST /gate`.
    pub route: String,
    /// The service it belongs to.
    pub service: String,
    /// Tier of the call; the service's tier when absent.
    pub tier: Option<String>,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// Where the rule came from.
    pub origin: Origin,
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountRule {
    /// Name of the account.
    pub name: String,
    /// Weight in the fair sharing within a tier.
    pub share: f64,
    /// Where the rule came from.
    pub origin: Origin,
}

/// A caller's credential and the account it belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRule {
    /// Digest of the credential.
    pub digest: CredentialDigest,
    /// The account it belongs to.
    pub account: String,
    /// Where the rule came from.
    pub origin: Origin,
}

/// Limits of a client account over the whole fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitRule {
    /// The account that is limited.
    pub account: String,
    /// Estimated tokens a second; no limit when absent.
    pub tokens_per_second: Option<f64>,
    /// Requests running at once; no limit when absent.
    pub concurrent: Option<u32>,
    /// Where the rule came from.
    pub origin: Origin,
}

/// Whether a backend server checks the fencing number of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FencingRule {
    /// The service whose backend servers are meant.
    pub service: String,
    /// Whether they refuse an order with an old number.
    pub checked: bool,
    /// Where the rule came from.
    pub origin: Origin,
}

/// When a request that crashes backend servers is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineRule {
    /// Backend servers lost under one fingerprint before it is refused.
    pub crash_limit: u32,
    /// How long it stays refused.
    pub duration: Duration,
    /// Where the rule came from.
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
