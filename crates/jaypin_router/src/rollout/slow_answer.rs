//! Detection of slow responses on a route, relative to those of the stable version.

use std::collections::HashMap;
use std::time::Duration;

use crate::RouteKey;
use crate::pace::{CALL_OVERHEAD, PrefillRate};

/// Fraction of the stable version's responses that count as slow. The test compares this
/// fraction between both versions, so a somewhat inaccurate limit does no harm.
const SLOW_PART: f64 = 0.15;
/// Step of the limit for one response, on a logarithmic scale.
const STEP: f64 = 0.2;
/// Factor on the time of the first response that gives the initial limit.
const FIRST_FACTOR: f64 = 1.5;

/// Time by which a response may exceed the limit. Hosts have no connections to new backend
/// servers yet, and opening one across failure domains takes some milliseconds.
const CONNECTING: Duration = Duration::from_millis(8);

/// Limit of each route, adjusted with each response of the stable version.
#[derive(Debug, Default)]
pub struct SlowAnswerDetector {
    limits: HashMap<RouteKey, f64>,
}

impl SlowAnswerDetector {
    /// Returns whether a response is slow, by the time to its first event and the number of
    /// prompt tokens. One of the stable version (`usual`) adjusts the limit.
    pub fn judge(&mut self, route: RouteKey, first: Duration, tokens: u32, usual: bool) -> bool {
        let expected =
            PrefillRate::default().seconds_for(f64::from(tokens)) + CALL_OVERHEAD.as_secs_f64();
        let connected = first.saturating_sub(CONNECTING);
        let relative = first.as_secs_f64() / expected;
        let first_limit = relative.max(f64::MIN_POSITIVE) * FIRST_FACTOR;
        let limit = self.limits.entry(route).or_insert(first_limit);
        let is_slow = connected.as_secs_f64() / expected > *limit;
        if usual {
            let step = if relative > *limit {
                1.0 - SLOW_PART
            } else {
                -SLOW_PART
            };
            *limit *= (STEP * step).exp();
        }
        is_slow
    }
}
