//! The table of requests that this host accepted, by state.

use std::collections::BTreeMap;

use crate::request::{Dispatched, Request, Waiting};
use crate::{InFlight, RequestId, Shard};

/// The requests that this host accepted and that have no outcome yet.
#[derive(Debug, Default)]
pub struct OwnedRequests {
    /// Requests that wait for a grant.
    pub waiting: BTreeMap<RequestId, Request<Waiting>>,
    /// Requests that were dispatched to a backend server.
    pub dispatched: BTreeMap<RequestId, Request<Dispatched>>,
}

impl OwnedRequests {
    /// Returns whether no request waits or runs.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.dispatched.is_empty()
    }

    /// Returns the requests of this host that run on grants of a shard, for the shard's new
    /// scheduler.
    #[must_use]
    pub fn in_flight(&self, shard: &Shard) -> Vec<InFlight> {
        self.dispatched
            .values()
            .filter_map(|request| in_flight_entry(request, shard))
            .collect()
    }
}

fn in_flight_entry(request: &Request<Dispatched>, shard: &Shard) -> Option<InFlight> {
    let slot = &request.state.slot;
    let (of, _, number) = slot.grant.as_ref()?;
    (of == shard).then(|| InFlight {
        id: request.info.id.clone(),
        number: *number,
        backend: slot.backend.clone(),
        account: request.info.account.clone(),
        tier: request.info.tier,
        prompt_tokens: request.info.prompt_tokens,
        max_tokens: request.info.max_tokens,
    })
}
