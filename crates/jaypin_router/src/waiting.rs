//! Requests that wait for a place.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::request::{Request, Waiting};
use crate::{Rank, RequestNumber};

/// Waiting requests, the most urgent first, then in order of arrival.
#[derive(Debug, Default)]
pub struct WaitingList {
    requests: BTreeMap<Place, Request<Waiting>>,
}

type Place = (Rank, Instant, RequestNumber);

impl WaitingList {
    /// Adds a request.
    pub fn push(&mut self, request: Request<Waiting>) {
        self.requests.insert(place(&request), request);
    }

    /// Takes a request out.
    pub fn remove(&mut self, number: RequestNumber) -> Option<Request<Waiting>> {
        let mut places = self.requests.keys();
        let place = *places.find(|place| place.2 == number)?;
        self.requests.remove(&place)
    }

    /// Takes all out, in order.
    pub fn take_all(&mut self) -> Vec<Request<Waiting>> {
        std::mem::take(&mut self.requests).into_values().collect()
    }

    /// When the first of them is over.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.requests.values().map(|it| it.state.until).min()
    }

    /// Rank of the most urgent one.
    #[must_use]
    pub fn first_rank(&self) -> Option<Rank> {
        self.requests.keys().next().map(|place| place.0)
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

fn place(request: &Request<Waiting>) -> Place {
    let admitted = &request.admitted;
    (admitted.rank, admitted.arrived_at, admitted.number)
}
