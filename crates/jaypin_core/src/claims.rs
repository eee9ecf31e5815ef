//! Claims on idempotency keys of this host's requests: requested, held, and ended.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::request::{Claiming, Request};
use crate::{HostId, KeyOutcome, RequestId};

/// A claim on an idempotency key, as its holder stores it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldClaim {
    /// The key, as the caller sent it.
    pub key: Arc<str>,
    /// The host that owns the key.
    pub owner: HostId,
}

/// The outcome of a claimed call that the key's owner has not confirmed yet.
#[derive(Debug)]
pub struct UnsettledOutcome {
    /// The claim.
    pub claim: HeldClaim,
    /// The outcome of the call.
    pub outcome: KeyOutcome,
    /// Time of the first tick that saw this outcome; none before that tick.
    pub since: Option<Instant>,
    /// Time from which the next resend is counted: the first tick that saw this outcome,
    /// then each resend; none before that tick.
    pub sent_at: Option<Instant>,
}

/// The claims of all requests of this host.
#[derive(Debug, Default)]
pub struct Claims {
    /// Requests that wait for a claim.
    pub claiming: BTreeMap<RequestId, Request<Claiming>>,
    /// Granted claims of requests that wait for a slot or run.
    pub held: BTreeMap<RequestId, HeldClaim>,
    /// Outcomes that the keys' owners have not confirmed yet.
    pub unsettled: BTreeMap<RequestId, UnsettledOutcome>,
}

impl Claims {
    /// Returns whether no request waits for a claim, and every unconfirmed outcome has
    /// been waiting for its confirmation for at least `timeout`.
    #[must_use]
    pub fn is_idle(&self, now: Instant, timeout: Duration) -> bool {
        let is_old = |since: Instant| now.duration_since(since) >= timeout;
        let mut unconfirmed = self.unsettled.values().map(|kept| kept.since);
        self.claiming.is_empty() && unconfirmed.all(|since| since.is_some_and(is_old))
    }
}
