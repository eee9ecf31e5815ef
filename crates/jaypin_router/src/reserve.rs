//! Slots that are kept free for requests more urgent than the one at hand.
//!
//! The pattern: the fleet is asked for more than it has, for seconds. Whoever comes first
//! takes the slot that comes free, so urgent requests are refused while deferrable ones
//! run. Urgent requests alone rarely exceed what comes free, so a few slots are enough
//! (trunk reservation): one that is kept is taken within milliseconds by the next urgent
//! request, and while none is asked for nothing is kept.

use std::time::Duration;

/// Time for which urgent arrivals are provided for: a host hears of a slot that another
/// took or freed within some 10 ms, and looks again within three turns of 10 ms.
const COVERED: Duration = Duration::from_millis(50);
/// Standard deviations of a random number of arrivals besides.
const SPREAD: f64 = 1.0;

/// Slots to be kept free, where so many more urgent requests a second are asked for.
#[must_use]
pub fn reserved_slots(above_per_second: f64) -> f64 {
    let arrivals = above_per_second * COVERED.as_secs_f64();
    arrivals + SPREAD * arrivals.sqrt()
}
