//! What is asked of each service, by rank, over the fleet.

use std::collections::{BTreeMap, HashMap};
use std::ops::RangeBounds;
use std::time::{Duration, Instant};

use crate::{DecayedRate, Rank, ServiceKey};

/// Time after which a request counts for 1/e in the rates.
///
/// Bursts begin within a second and last for two to five; a host hears its peers' totals
/// every 0.4 s.
const MEMORY: Duration = Duration::from_millis(1_500);

/// Requests of one rank that callers asked of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ArrivalCount {
    /// The service.
    pub service: ServiceKey,
    /// The rank.
    pub rank: Rank,
    /// How many, as a total of the host's run or as a difference between two of them.
    pub requests: u32,
}

/// How many requests a second the fleet is asked for.
#[derive(Debug, Default)]
pub struct ArrivalRates {
    own: BTreeMap<(ServiceKey, Rank), u32>,
    rates: HashMap<ServiceKey, BTreeMap<Rank, DecayedRate>>,
}

impl ArrivalRates {
    /// Counts a request of this host, whether it is served or refused.
    pub fn record(&mut self, service: ServiceKey, rank: Rank, now: Instant) {
        *self.own.entry((service, rank)).or_default() += 1;
        self.count(service, rank, 1, now);
    }

    /// Counts what a peer was asked for since its report before.
    pub fn record_peer(&mut self, asked: &ArrivalCount, now: Instant) {
        self.count(asked.service, asked.rank, asked.requests, now);
    }

    /// What this host was asked for in its run.
    pub fn totals(&self) -> impl Iterator<Item = ArrivalCount> {
        self.own
            .iter()
            .map(|((service, rank), requests)| ArrivalCount {
                service: *service,
                rank: *rank,
                requests: *requests,
            })
    }

    /// Requests a second of ranks that are more urgent than one.
    #[must_use]
    pub fn rate_above(&self, service: ServiceKey, rank: Rank, now: Instant) -> f64 {
        self.sum(service, ..rank, now)
    }

    /// Requests a second of ranks that are at least as urgent as one.
    #[must_use]
    pub fn rate_at_or_above(&self, service: ServiceKey, rank: Rank, now: Instant) -> f64 {
        self.sum(service, ..=rank, now)
    }

    fn sum(&self, service: ServiceKey, ranks: impl RangeBounds<Rank>, now: Instant) -> f64 {
        let Some(of_service) = self.rates.get(&service) else {
            return 0.0;
        };
        let of_ranks = of_service.range(ranks);
        of_ranks.map(|(_, rate)| rate.at(now)).sum()
    }

    fn count(&mut self, service: ServiceKey, rank: Rank, requests: u32, now: Instant) {
        let of_service = self.rates.entry(service).or_default();
        let rate = of_service
            .entry(rank)
            .or_insert_with(|| DecayedRate::new(MEMORY, now));
        rate.count(f64::from(requests), now);
    }
}
