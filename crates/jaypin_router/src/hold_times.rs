//! Mean times for which requests hold their slots, by service and rank of the route.

use std::collections::HashMap;
use std::time::Duration;

use crate::ServiceKey;

/// Factor on the weight of earlier requests at each request: about the last twenty count.
const KEEP: f64 = 0.95;
/// Number of requests from which a mean is known. Responses of one rank differ a hundredfold in
/// length, so fewer say little.
const MIN_REQUESTS: u32 = 4;

/// Mean hold times of the requests that completed at this host.
#[derive(Debug, Default)]
pub struct HoldTimes {
    of_rank: HashMap<(ServiceKey, u8), DecayedMean>,
}

#[derive(Debug, Clone, Copy, Default)]
struct DecayedMean {
    requests: u32,
    weight: f64,
    seconds: f64,
}

impl HoldTimes {
    /// Records the hold time of a completed request, where `rank` is that of its route.
    pub fn record(&mut self, service: ServiceKey, rank: u8, held: Duration) {
        let mean = self.of_rank.entry((service, rank)).or_default();
        mean.requests = mean.requests.saturating_add(1);
        mean.weight = mean.weight * KEEP + 1.0;
        mean.seconds = mean.seconds * KEEP + held.as_secs_f64();
    }

    /// Returns the mean hold time of a rank of the route, once enough requests have completed.
    #[must_use]
    pub fn of_rank(&self, service: ServiceKey, rank: u8) -> Option<Duration> {
        let mean = self.of_rank.get(&(service, rank))?;
        let is_known = mean.requests >= MIN_REQUESTS;
        is_known.then(|| Duration::from_secs_f64(mean.seconds / mean.weight))
    }

    /// Returns how long a request holds its slot, relative to the requests that arrive at the
    /// given rates by rank of the route; at most 1.
    ///
    /// A rank whose hold time is unknown counts as equal to the request.
    #[must_use]
    pub fn ratio(
        &self,
        service: ServiceKey,
        own: Duration,
        arrivals: impl Iterator<Item = (u8, f64)>,
    ) -> f64 {
        let own = own.as_secs_f64();
        let (rate, seconds) = arrivals.fold((0.0, 0.0), |(rates, seconds), (rank, rate)| {
            let mean = self.of_rank(service, rank);
            let mean = mean.map_or(own, |it| it.as_secs_f64());
            (rates + rate, seconds + rate * mean)
        });
        if seconds > 0.0 {
            (own * rate / seconds).min(1.0)
        } else {
            1.0
        }
    }
}
