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
pub const UNREADY_RETURN: Duration = Duration::from_millis(500);
/// Time to come back after a refusal by a host that leaves: another host can be asked at
/// once.
pub const LEAVING_RETURN: Duration = Duration::from_millis(50);
/// Longest stated time to come back with a content that kills backend servers.
pub const QUARANTINE_RETURN: Duration = Duration::from_secs(30);

/// Time to come back after a refusal for want of capacity.
pub fn for_want_of_capacity(route: &Route, rng: &mut impl Rng) -> Duration {
    let spread = rng.random_range(RETURN_SPREAD);
    route.aim.mul_f64(RETURN_PART * spread)
}
