//! Detection of slow responses on a route, relative to those of the stable version.

use std::collections::HashMap;
use std::time::Duration;

use crate::RouteKey;
use crate::prefill_rate::{CALL_OVERHEAD, PrefillRate};

/// Fraction of the stable version's responses that count as slow. The test compares this
/// fraction between both versions, so a somewhat inaccurate limit does no harm.
const SLOW_FRACTION: f64 = 0.15;
/// Step of the limit for one response, on a logarithmic scale.
const STEP: f64 = 0.2;
/// Factor on the time of the first response that gives the initial limit.
const INITIAL_FACTOR: f64 = 1.5;

/// Time by which a response may exceed the limit. Hosts have no connections to new backend
/// servers yet, and opening one across failure domains takes some milliseconds.
const CONNECT_ALLOWANCE: Duration = Duration::from_millis(8);

/// Limit of each route, adjusted with each response of the stable version.
#[derive(Debug, Default)]
pub struct SlowAnswerDetector {
    limits: HashMap<RouteKey, f64>,
}

impl SlowAnswerDetector {
    /// Returns whether a response is slow, by the time to its first event and the number of
    /// prompt tokens. One of the stable version (`is_baseline`) adjusts the limit.
    pub fn classify(
        &mut self,
        route: RouteKey,
        first_event_time: Duration,
        tokens: u32,
        is_baseline: bool,
    ) -> bool {
        let expected =
            PrefillRate::default().seconds_for(f64::from(tokens)) + CALL_OVERHEAD.as_secs_f64();
        let without_connecting = first_event_time.saturating_sub(CONNECT_ALLOWANCE);
        let relative_time = first_event_time.as_secs_f64() / expected;
        let initial_limit = relative_time.max(f64::MIN_POSITIVE) * INITIAL_FACTOR;
        let limit = self.limits.entry(route).or_insert(initial_limit);
        let is_slow = without_connecting.as_secs_f64() / expected > *limit;
        if is_baseline {
            let step = if relative_time > *limit {
                1.0 - SLOW_FRACTION
            } else {
                -SLOW_FRACTION
            };
            *limit *= (STEP * step).exp();
        }
        is_slow
    }
}
