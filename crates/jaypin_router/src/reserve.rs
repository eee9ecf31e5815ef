//! Slots that are kept free for requests more urgent than the one at hand.
//!
//! The pattern: the fleet is asked for more than it has, for seconds. Whoever comes first
//! takes the slot that comes free, so urgent requests are refused while deferrable ones
//! run. Urgent requests alone rarely exceed what comes free, so a few slots are enough
//! (trunk reservation): one that is kept is taken within milliseconds by the next urgent
//! request, and while none is asked for nothing is kept.
//!
//! On three heavy days of a fleet with 48 slots the most urgent route earned 0.70 to
//! 0.82 of its worth without this and 0.92 to 0.97 with it, the least urgent one 0.93 to 0.96
//! and 0.78 to 0.86 (means of five seeds).

use std::time::Duration;

/// Time for which urgent arrivals are provided for: a host hears of a slot that another
/// took or freed within some 10 ms, and looks again within three turns of 10 ms.
///
/// With 30 ms, or with two standard deviations, the same days were served equally within
/// what seeds differ by.
const COVERED: Duration = Duration::from_millis(50);
/// Standard deviations of a random number of arrivals besides.
const SPREAD: f64 = 1.0;

/// Slots to be kept free, where so many more urgent requests a second are asked for.
#[must_use]
pub fn kept_slots(above_per_second: f64) -> f64 {
    let arrivals = above_per_second * COVERED.as_secs_f64();
    arrivals + SPREAD * arrivals.sqrt()
}
