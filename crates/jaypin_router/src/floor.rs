//! What is served of each rank, however much is asked that is more urgent.
//!
//! The pattern: urgent work alone fills the fleet for half a minute. Strict order then
//! refuses everything else, and callers whose work can wait for a while wait for ever.

use std::collections::HashMap;

use crate::{Rank, ServiceKey};

/// Part of the requests of a rank for which nothing is kept for others.
///
/// Callers come back once, so a twelfth of the tries is a sixth of the requests. A greater
/// part is taken from the rank next above, whose requests are worth more.
const FLOOR_PART: f64 = 0.08;
/// Requests by which a rank may be behind its floor: what was served in a quiet hour is no
/// reason to refuse in a busy one, and a long shortage gives no right to push in for as long.
const RANGE: (f64, f64) = (0.0, 3.0);

/// By how many requests each rank of each service is behind its floor at this host.
#[derive(Debug, Default)]
pub struct MinimumShares {
    behind: HashMap<(ServiceKey, Rank), f64>,
}

impl MinimumShares {
    /// Counts a request that was asked for.
    pub fn record_arrival(&mut self, service: ServiceKey, rank: Rank) {
        self.change(service, rank, FLOOR_PART);
    }

    /// Counts one that was sent.
    pub fn record_sent(&mut self, service: ServiceKey, rank: Rank) {
        self.change(service, rank, -1.0);
    }

    /// Whether the rank has less than its floor, so that nothing is kept from it.
    #[must_use]
    pub fn is_behind(&self, service: ServiceKey, rank: Rank) -> bool {
        self.behind
            .get(&(service, rank))
            .is_some_and(|it| *it >= 1.0)
    }

    fn change(&mut self, service: ServiceKey, rank: Rank, by: f64) {
        let behind = self.behind.entry((service, rank)).or_default();
        *behind = (*behind + by).clamp(RANGE.0, RANGE.1);
    }
}
