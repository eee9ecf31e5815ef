//! Which answers of a route are slow, against what is usual of the version in force.

use std::collections::HashMap;
use std::time::Duration;

use crate::RouteKey;
use crate::prefill_rate::{CALL_OVERHEAD, PrefillRate};

/// Part of the usual answers that are taken for slow. The test compares how many of both
/// versions are, so a limit that is somewhat off does no harm.
const SLOW_PART: f64 = 0.15;
/// Step of the limit for one answer, on a logarithmic scale.
const STEP: f64 = 0.2;
/// Factor on the first answer that makes the first limit.
const FIRST_FACTOR: f64 = 1.5;

/// Time by which an answer may exceed the limit: hosts have no connections to new backend
/// servers yet, and opening one across failure domains takes some milliseconds.
const CONNECTING: Duration = Duration::from_millis(8);

/// The limit of each route, followed from answer to answer.
#[derive(Debug, Default)]
pub struct SlowAnswerDetector {
    limits: HashMap<RouteKey, f64>,
}

impl SlowAnswerDetector {
    /// Whether an answer is slow that took so long to its first event, with so many prompt
    /// tokens; a `usual` one moves the limit.
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
