//! Slots that are reserved for requests more urgent than the one at hand.
//!
//! For seconds at a time, more requests arrive than the fleet can serve. If the first one to
//! arrive takes the slot that becomes free, urgent requests are refused while deferrable ones
//! run. Urgent requests alone rarely exceed what becomes free, so a few slots are enough (trunk
//! reservation): a reserved slot is taken within milliseconds by the next urgent request, and
//! while no urgent ones arrive, nothing is reserved.

use std::time::Duration;

/// Time for which urgent arrivals are covered: a host learns of a slot that another took or
/// freed within some 10 ms, and rechecks within three placement turns of 10 ms.
const COVERED: Duration = Duration::from_millis(50);
/// Standard deviations of the random number of arrivals that are covered as well.
const SPREAD: f64 = 1.0;

/// Returns the number of slots to reserve, where `above_per_second` more urgent requests arrive
/// per second.
#[must_use]
pub fn reserved_slots(above_per_second: f64) -> f64 {
    let arrivals = above_per_second * COVERED.as_secs_f64();
    arrivals + SPREAD * arrivals.sqrt()
}
