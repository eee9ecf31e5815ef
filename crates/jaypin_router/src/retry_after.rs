//! Times after which callers should retry refused requests.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::Route;

/// Mean time to retry after a refusal for lack of capacity, as a fraction of the latency target:
/// the caller's second attempt can still be in time.
const RETRY_FRACTION: f64 = 0.4;
/// Spread of that time, as factors, so that refused callers don't all retry together.
const RETRY_SPREAD: std::ops::Range<f64> = 0.6..1.4;
/// Time to retry at a host that has no configuration that is known to be the newest.
pub const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time to retry after a refusal by a host that is leaving: another host can be called at once.
pub const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time to retry at another host that may know more than this one.
pub const OTHER_HOST_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest time to retry that is stated for content that crashes backend servers.
pub const MAX_QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Returns the time to retry after a refusal for lack of capacity.
pub fn capacity_retry_after(route: &Route, rng: &mut impl Rng) -> Duration {
    let spread = rng.random_range(RETRY_SPREAD);
    route.latency_target.mul_f64(RETRY_FRACTION * spread)
}
