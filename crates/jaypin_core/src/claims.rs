//! The claims that this host's requests ask for, hold, and have ended.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::request::{Claiming, Request};
use crate::{HostId, KeyOutcome, RequestId};

/// A claim on a key, as its holder knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldClaim {
    /// The key, as the caller gave it.
    pub key: Arc<str>,
    /// The host that owns the key.
    pub owner: HostId,
}

/// An outcome that the key's owner has not confirmed.
#[derive(Debug)]
pub struct UnsettledOutcome {
    /// The claim.
    pub claim: HeldClaim,
    /// What became of the call.
    pub outcome: KeyOutcome,
    /// When it was first looked after; none before.
    pub since: Option<Instant>,
    /// When it was last sent; none before it was looked after.
    pub sent_at: Option<Instant>,
}

/// The holder's side of all claims.
#[derive(Debug, Default)]
pub struct Claims {
    /// Requests that wait for a claim.
    pub claiming: BTreeMap<RequestId, Request<Claiming>>,
    /// Claims of requests that wait for a slot or run.
    pub held: BTreeMap<RequestId, HeldClaim>,
    /// Outcomes on their way.
    pub unsettled: BTreeMap<RequestId, UnsettledOutcome>,
}

impl Claims {
    /// Whether nothing is left to ask for, and to tell nothing but what was told for
    /// `patience` without a word back.
    #[must_use]
    pub fn is_idle(&self, now: Instant, patience: Duration) -> bool {
        let is_old = |since: Instant| now.duration_since(since) >= patience;
        let mut told = self.unsettled.values().map(|kept| kept.since);
        self.claiming.is_empty() && told.all(|since| since.is_some_and(is_old))
    }
}
