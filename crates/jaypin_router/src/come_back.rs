//! When a caller whose request was refused should come back.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::Route;

/// Mean time to come back after a refusal for want of capacity, as a part of the aim: the
/// caller's second try can still be in time.
const RETURN_PART: f64 = 0.4;
/// Spread of that time, as factors, so that refused callers don't return together.
const RETURN_SPREAD: std::ops::Range<f64> = 0.6..1.4;
/// Time to come back to a host that has no proved configuration.
pub const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time to come back after a refusal by a host that leaves: another host can be asked at
/// once.
pub const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest stated time to come back with a content that kills backend servers.
pub const MAX_QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Time to come back after a refusal for want of capacity.
pub fn capacity_retry_after(route: &Route, rng: &mut impl Rng) -> Duration {
    let spread = rng.random_range(RETURN_SPREAD);
    route.latency_target.mul_f64(RETURN_PART * spread)
}
