//! How long a request may wait, and what is still in time.
//!
//! All limits are parts of the aim, the time within which an answer is worth most, so they
//! fit a route of 100 ms as one of a second.

use std::time::{Duration, Instant};

use crate::placement::Choice;
use crate::request::Admitted;
use crate::{Repeat, Route};

/// Part of the aim for which a request may wait for a place before it is refused: long
/// enough for a slot to come free, short enough for the caller to come back in time.
const HOLD_PART: f64 = 0.12;
/// Part of the aim that the estimated first event may take; the rest covers what the
/// estimate misses, 80 ms for nine requests in ten.
const ACCEPT_PART: f64 = 0.7;
/// Part of the aim for which a request of the most urgent rank may wait for a slot, and
/// for which one of another rank may.
///
/// A queue of one inside an engine keeps its slots full; a longer one only makes long
/// prompts late, whose own prefill takes most of their aim.
const SLOT_WAIT_PARTS: (f64, f64) = (0.15, 0.1);
/// Greatest size by which the accepted time is divided, for the most urgent rank and for
/// the others.
///
/// A request that holds its slot for long is sent only where it hardly waits, so that at
/// full load the time it would take goes to several short ones. The most urgent rank pays
/// less for its length, or it would be refused before deferrable short work.
const MOST_SIZES: (f64, f64) = (2.0, 6.0);
/// Size from which a request leaves the last free slots to others of its rank.
const LONG_SIZE: f64 = 2.0;
/// Factor on a prompt's own prefill that is accepted whatever the aim: a prompt too long
/// for its aim on every engine is served late and not refused for ever.
const OWN_PREFILL_FACTOR: f64 = 1.5;
/// Part of the aim up to which a first event is worth sending for although it is late,
/// where a slot is free.
const LATE_PART: f64 = 1.6;
/// Allowed pauses without an event after which a stream is given up: one is missed when a
/// long prompt is read beside it.
const SILENT_PAUSES: u32 = 3;
/// One such pause, where a route states none.
const USUAL_PAUSE: Duration = Duration::from_millis(500);

/// Time for which a request may wait for a place.
pub fn queue_time_limit(route: &Route) -> Duration {
    route.latency_target.mul_f64(HOLD_PART)
}

/// Time that the first event may take from now, where the prompt's own prefill takes so long.
pub fn first_event_limit(admitted: &Admitted, own_prefill: Duration, now: Instant) -> Duration {
    if admitted.is_started {
        // A stream that broke off goes on anywhere sooner than nowhere.
        return admitted.deadline.saturating_duration_since(now);
    }
    let spent = now.saturating_duration_since(admitted.arrived_at);
    let most_size = of_rank(admitted, MOST_SIZES);
    let part = ACCEPT_PART / admitted.size.clamp(1.0, most_size);
    let limit = admitted.route.latency_target.mul_f64(part);
    let own = own_prefill.mul_f64(OWN_PREFILL_FACTOR);
    limit.saturating_sub(spent).max(own)
}

/// Time that a request may wait for a slot; a stream that broke off takes any.
///
/// One that holds its slot for long waits for less: where slots are short, the time that it
/// would take goes to several others.
pub fn slot_wait_limit(admitted: &Admitted) -> Duration {
    if admitted.is_started {
        return Duration::MAX;
    }
    let part = of_rank(admitted, SLOT_WAIT_PARTS) / admitted.size.max(1.0).powi(2);
    admitted.route.latency_target.mul_f64(part)
}

/// Whether a request holds its slot for so long that others of its rank go first where slots
/// are short.
pub fn is_long(admitted: &Admitted) -> bool {
    admitted.size >= LONG_SIZE
}

/// Where nothing better is left: a late first event, or a backend server in trouble that
/// may be well again.
pub fn is_last_resort(admitted: &Admitted, choice: &Choice, now: Instant) -> bool {
    let spent = now.saturating_duration_since(admitted.arrived_at);
    let limit = admitted.route.latency_target.mul_f64(LATE_PART);
    choice.has_slot && choice.first_event <= limit.saturating_sub(spent)
}

/// Time without a first event after which a call that may be sent again is given up: its
/// backend server accepted it and hangs, or the connection went silent.
pub fn first_event_timeout(admitted: &Admitted, choice: &Choice) -> Option<Duration> {
    let is_left = admitted.possible_runs + 1 < admitted.route.attempts;
    let may_run_again = admitted.route.repeat.may_run_again() && is_left;
    may_run_again.then(|| choice.first_event * 3 + admitted.route.latency_target.mul_f64(1.5))
}

/// Pause after which a stream that may go on elsewhere is given up: its engine hangs, or the
/// connection went silent. Callers give up after eight of the pauses that they allow, so
/// there is time for another backend server.
pub fn longest_pause(route: &Route) -> Option<Duration> {
    let allowed = route.longest_pause.unwrap_or(USUAL_PAUSE);
    let may_move = route.repeat == Repeat::ResumableStream;
    may_move.then(|| allowed * SILENT_PAUSES)
}

/// The first for the most urgent rank, the second for the others.
fn of_rank(admitted: &Admitted, (urgent, other): (f64, f64)) -> f64 {
    if admitted.rank.is_most_urgent() {
        urgent
    } else {
        other
    }
}
