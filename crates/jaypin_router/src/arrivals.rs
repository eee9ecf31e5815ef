//! Arrivals of requests over the fleet, by service and rank.

use std::collections::{BTreeMap, HashMap};
use std::ops::RangeBounds;
use std::time::{Duration, Instant};

use crate::{DecayedRate, Rank, ServiceKey};

/// Time after which the weight of a request in the rates falls to 1/e.
///
/// Bursts begin within a second and last for two to five; a host receives its peers' totals every
/// 0.4 s.
const MEMORY: Duration = Duration::from_millis(1_500);

/// Number of requests of one rank that callers sent to a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ArrivalCount {
    /// The service.
    pub service: ServiceKey,
    /// The rank.
    pub rank: Rank,
    /// Number of requests, as a total of the host's run or as a difference between two totals.
    pub requests: u32,
}

/// Arrival rates of the fleet, in requests per second.
#[derive(Debug, Default)]
pub struct ArrivalRates {
    own: BTreeMap<(ServiceKey, Rank), u32>,
    rates: HashMap<ServiceKey, BTreeMap<Rank, DecayedRate>>,
}

impl ArrivalRates {
    /// Records a request of this host, whether it is served or refused.
    pub fn record(&mut self, service: ServiceKey, rank: Rank, now: Instant) {
        *self.own.entry((service, rank)).or_default() += 1;
        self.count(service, rank, 1, now);
    }

    /// Records the requests that arrived at a peer since its previous report.
    pub fn record_peer(&mut self, peer: &ArrivalCount, now: Instant) {
        self.count(peer.service, peer.rank, peer.requests, now);
    }

    /// Iterates over the requests that arrived at this host, as totals of its run.
    pub fn totals(&self) -> impl Iterator<Item = ArrivalCount> {
        self.own
            .iter()
            .map(|((service, rank), requests)| ArrivalCount {
                service: *service,
                rank: *rank,
                requests: *requests,
            })
    }

    /// Returns the arrival rate of ranks that are more urgent than `rank`, in requests per
    /// second.
    #[must_use]
    pub fn rate_above(&self, service: ServiceKey, rank: Rank, now: Instant) -> f64 {
        self.sum(service, ..rank, now)
    }

    /// Returns the arrival rate of ranks that are at least as urgent as `rank`, in requests per
    /// second.
    #[must_use]
    pub fn rate_at_or_above(&self, service: ServiceKey, rank: Rank, now: Instant) -> f64 {
        self.sum(service, ..=rank, now)
    }

    /// Iterates over the arrival rates of a service's ranks, in requests per second.
    pub fn by_rank(&self, service: ServiceKey, now: Instant) -> impl Iterator<Item = (Rank, f64)> {
        let of_service = self.rates.get(&service);
        let of_service = of_service.into_iter().flatten();
        of_service.map(move |(rank, rate)| (*rank, rate.at(now)))
    }

    fn sum(&self, service: ServiceKey, ranks: impl RangeBounds<Rank>, now: Instant) -> f64 {
        let of_ranks = self.by_rank(service, now);
        let of_ranks = of_ranks.filter(|(rank, _)| ranks.contains(rank));
        of_ranks.map(|(_, rate)| rate).sum()
    }

    fn count(&mut self, service: ServiceKey, rank: Rank, requests: u32, now: Instant) {
        let of_service = self.rates.entry(service).or_default();
        let rate = of_service
            .entry(rank)
            .or_insert_with(|| DecayedRate::new(MEMORY, now));
        rate.count(f64::from(requests), now);
    }
}
