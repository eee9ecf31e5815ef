//! Minimum share of each rank, however many more urgent requests arrive.
//!
//! Urgent work alone may fill the fleet for half a minute. A strict order by rank would refuse
//! everything else, and callers whose work can wait for a while would wait forever.

use std::collections::HashMap;

use crate::{Rank, ServiceKey};

/// Fraction of the requests of a rank from which no slots are withheld for other ranks.
///
/// Callers retry once, so a twelfth of the attempts is a sixth of the requests. A greater
/// fraction is taken from the rank next above, whose requests are worth more.
const MINIMUM_SHARE: f64 = 0.08;
/// Requests by which a rank may be behind its minimum share: what was served in a quiet hour is
/// no reason to refuse in a busy one, and a long shortage gives no claim to precedence for as
/// long.
const DEFICIT_RANGE: (f64, f64) = (0.0, 3.0);

/// Number of requests by which each rank of each service is behind its minimum share at this
/// host.
#[derive(Debug, Default)]
pub struct MinimumShares {
    deficits: HashMap<(ServiceKey, Rank), f64>,
}

impl MinimumShares {
    /// Records a request that arrived.
    pub fn record_arrival(&mut self, service: ServiceKey, rank: Rank) {
        self.change(service, rank, MINIMUM_SHARE);
    }

    /// Records a request that was sent.
    pub fn record_sent(&mut self, service: ServiceKey, rank: Rank) {
        self.change(service, rank, -1.0);
    }

    /// Returns whether the rank has less than its minimum share, so that nothing is reserved
    /// against it.
    #[must_use]
    pub fn is_behind(&self, service: ServiceKey, rank: Rank) -> bool {
        self.deficits
            .get(&(service, rank))
            .is_some_and(|it| *it >= 1.0)
    }

    fn change(&mut self, service: ServiceKey, rank: Rank, by: f64) {
        let deficit = self.deficits.entry((service, rank)).or_default();
        *deficit = (*deficit + by).clamp(DEFICIT_RANGE.0, DEFICIT_RANGE.1);
    }
}
