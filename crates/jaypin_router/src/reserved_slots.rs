//! Slots that are reserved for requests more urgent than the one at hand.
//!
//! For seconds at a time, more requests arrive than the fleet can serve. If the first one to
//! arrive takes the slot that becomes free, urgent requests are refused while deferrable ones
//! run. Urgent requests alone rarely exceed what becomes free, so a few slots are enough (trunk
//! reservation): a reserved slot is taken within milliseconds by the next urgent request, and
//! while no urgent ones arrive, nothing is reserved.
//!
//! A request that holds its slot for a short time takes little away from those that hold theirs for
//! long, so fewer slots are reserved against it. Where slots become free within what an urgent
//! request may wait for one, they serve the urgent arrivals in place of reserved slots.

use std::fmt;
use std::time::Duration;

/// Time for which urgent arrivals are covered: a host learns of a slot that another took or
/// freed within some 10 ms, and rechecks within three placement turns of 10 ms.
const COVERED: Duration = Duration::from_millis(50);
/// Standard deviations of the random number of arrivals that are covered as well.
const SPREAD: f64 = 1.0;
/// Number of slots that a backend server must free within the accepted wait so that none of them
/// counts, and so that all of them count.
///
/// Hold times vary, so with a mean of one slot no slot becomes free in a third of the waits; with
/// two, in an eighth, and urgent requests may use other backend servers then.
const FREED_IN_WAIT: (f64, f64) = (1.0, 2.0);

/// Slots that are reserved against one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotReserve {
    /// Slots that the more urgent arrivals of the covered time need.
    pub needed: f64,
    /// Slots that become free for them without a reserve.
    pub freed: f64,
    /// Hold time of the request relative to that of the more urgent arrivals, at most 1.
    pub hold_ratio: f64,
}

impl SlotReserve {
    /// Returns the number of reserved slots.
    #[must_use]
    pub fn slots(&self) -> f64 {
        (self.needed - self.freed).max(0.0) * self.hold_ratio
    }

    /// Returns whether fewer slots are reserved than the more urgent arrivals need.
    #[must_use]
    pub fn is_reduced(&self) -> bool {
        self.slots() < self.needed
    }
}

impl fmt::Display for SlotReserve {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let slots = self.slots();
        write!(f, "{slots:.1} kept for more urgent requests")?;
        if !self.is_reduced() {
            return Ok(());
        }
        let Self {
            needed,
            freed,
            hold_ratio,
        } = self;
        write!(
            f,
            ": they need {needed:.1}, {freed:.1} become free in time, hold time ratio {hold_ratio:.2}"
        )
    }
}

/// Returns the number of slots to reserve, where `above_per_second` more urgent requests arrive
/// per second.
#[must_use]
pub fn reserved_slots(above_per_second: f64) -> f64 {
    let arrivals = above_per_second * COVERED.as_secs_f64();
    arrivals + SPREAD * arrivals.sqrt()
}

/// Returns the number of slots that a backend server frees in the covered time, as far as more
/// urgent requests may count on them: `per_second` become free there, and these requests may wait
/// for `wait`.
#[must_use]
pub fn slots_freed_in_time(per_second: f64, wait: Duration) -> f64 {
    let (none, all) = FREED_IN_WAIT;
    let in_wait = per_second * wait.as_secs_f64();
    let weight = ((in_wait - none) / (all - none)).clamp(0.0, 1.0);
    weight * per_second * COVERED.as_secs_f64()
}
