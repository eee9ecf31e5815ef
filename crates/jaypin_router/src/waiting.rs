//! Requests that wait for a backend server.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::request::{Request, Waiting};
use crate::{Rank, RequestNumber};

/// Waiting requests, the most urgent first, and in order of arrival within a rank.
#[derive(Debug, Default)]
pub struct WaitingList {
    requests: BTreeMap<QueueKey, Request<Waiting>>,
}

type QueueKey = (Rank, Instant, RequestNumber);

impl WaitingList {
    /// Adds a request.
    pub fn push(&mut self, request: Request<Waiting>) {
        self.requests.insert(queue_key(&request), request);
    }

    /// Removes and returns a request.
    pub fn remove(&mut self, number: RequestNumber) -> Option<Request<Waiting>> {
        let mut keys = self.requests.keys();
        let key = *keys.find(|key| key.2 == number)?;
        self.requests.remove(&key)
    }

    /// Removes and returns all requests, in order.
    pub fn take_all(&mut self) -> Vec<Request<Waiting>> {
        std::mem::take(&mut self.requests).into_values().collect()
    }

    /// Returns the earliest time at which waiting ends for one of them.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.requests.values().map(|it| it.state.until).min()
    }

    /// Returns the rank of the most urgent one.
    #[must_use]
    pub fn first_rank(&self) -> Option<Rank> {
        self.requests.keys().next().map(|key| key.0)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

fn queue_key(request: &Request<Waiting>) -> QueueKey {
    let admitted = &request.admitted;
    (admitted.rank, admitted.arrived_at, admitted.number)
}
