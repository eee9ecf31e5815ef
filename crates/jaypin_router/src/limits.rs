//! Limits on how long a request may wait, and on what is still in time.
//!
//! All limits are fractions of the latency target, the time within which an answer is worth most,
//! so they fit a route of 100 ms as well as one of a second.

use std::time::{Duration, Instant};

use crate::placement::Choice;
use crate::request::Admitted;
use crate::{Repeat, Route};

/// Fraction of the latency target for which a request may wait for a backend server before it is
/// refused: long enough for a slot to become free, short enough for the caller to retry in time.
const QUEUE_TIME_FRACTION: f64 = 0.12;
/// Fraction of the latency target that the estimated time to the first event may take. The rest
/// covers the error of the estimate, 80 ms for nine requests in ten.
const FIRST_EVENT_FRACTION: f64 = 0.7;
/// Fractions of the latency target for which a request may wait for a slot: for the most urgent
/// rank, and for the others.
///
/// A queue of one request inside an engine keeps its slots full. A longer one only makes long
/// prompts late, whose own prefill takes most of their latency target.
const SLOT_WAIT_FRACTIONS: (f64, f64) = (0.15, 0.1);
/// Greatest sizes by which the accepted time is divided: for the most urgent rank, and for the
/// others.
///
/// A request that holds its slot for long is sent only where it hardly waits, so that at full
/// load the time it would take goes to several short ones. The most urgent rank is divided by
/// less, or it would be refused before short work that can be deferred.
const MAX_SIZES: (f64, f64) = (2.0, 6.0);
/// Size from which a request leaves the last free slots to others of its rank.
const LONG_SIZE: f64 = 2.0;
/// Factor on a prompt's own prefill time that is accepted whatever the latency target: a prompt
/// too long for its target on every engine is served late instead of being refused forever.
const OWN_PREFILL_FACTOR: f64 = 1.5;
/// Fraction of the latency target up to which a request is worth sending although its first event
/// is late, if a slot is free.
const LATE_FRACTION: f64 = 1.6;
/// Number of allowed pauses without an event after which a stream is silent: one event is missed
/// when the engine reads a long prompt beside it.
const SILENT_PAUSES: u32 = 3;
/// Number of allowed pauses for which a stream that has begun waits for a backend server. Together
/// with [`SILENT_PAUSES`], callers still wait for it then.
const WAITING_PAUSES: u32 = 2;
/// The allowed pause, where a route states none.
pub const DEFAULT_PAUSE: Duration = Duration::from_millis(500);
/// Time for which a sound engine may fall silent. It is shorter than any caller's patience.
const SOUND_SILENCE: Duration = Duration::from_millis(1_800);
/// Shortest time between two checks of a silent call.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the time for which a request may wait for a backend server.
pub fn queue_time_limit(route: &Route) -> Duration {
    route.latency_target.mul_f64(QUEUE_TIME_FRACTION)
}

/// Returns the time that the first event may take from now; the request's own prefill takes
/// `own_prefill`.
pub fn first_event_limit(admitted: &Admitted, own_prefill: Duration, now: Instant) -> Duration {
    if admitted.may_be_late() {
        return admitted.deadline.saturating_duration_since(now);
    }
    let spent = now.saturating_duration_since(admitted.arrived_at);
    let max_size = of_rank(admitted, MAX_SIZES);
    let fraction = FIRST_EVENT_FRACTION / admitted.size.clamp(1.0, max_size);
    let limit = admitted.route.latency_target.mul_f64(fraction);
    let own = own_prefill.mul_f64(OWN_PREFILL_FACTOR);
    limit.saturating_sub(spent).max(own)
}

/// Returns the time for which a request may wait for a slot; a stream that broke off accepts any
/// wait.
///
/// A request that holds its slot for long may wait for less: where slots are scarce, the time
/// that it would take goes to several others.
pub fn slot_wait_limit(admitted: &Admitted) -> Duration {
    if admitted.stream_version.is_some() {
        return Duration::MAX;
    }
    let fraction = of_rank(admitted, SLOT_WAIT_FRACTIONS) / admitted.size.max(1.0).powi(2);
    admitted.route.latency_target.mul_f64(fraction)
}

/// Returns the wait for a slot that every rank accepts on a route with this latency target.
pub fn accepted_slot_wait(latency_target: Duration) -> Duration {
    let (urgent, other) = SLOT_WAIT_FRACTIONS;
    latency_target.mul_f64(urgent.min(other))
}

/// Returns whether a request holds its slot for so long that others of its rank are preferred
/// where slots are scarce.
pub fn is_long(admitted: &Admitted) -> bool {
    admitted.size >= LONG_SIZE
}

/// Returns whether a request may be sent although nothing better is left: to get a late first
/// event, or to an unhealthy backend server that may have recovered. One that would be lost may be
/// sent however late it is. Otherwise an answer that can hardly end before its timeout is not sent: it
/// would hold a slot for nothing.
pub fn is_last_resort(admitted: &Admitted, choice: &Choice, now: Instant) -> bool {
    let spent = now.saturating_duration_since(admitted.arrived_at);
    let limit = admitted.route.latency_target.mul_f64(LATE_FRACTION);
    let is_worth_sending = choice.first_event <= limit.saturating_sub(spent);
    let is_useful = is_worth_sending && !choice.is_futile();
    choice.has_slot && (is_useful || admitted.may_be_late())
}

/// Returns the time without a first event after which a call is silent, if its request may be sent
/// again: the backend server accepted the call and hangs, or the connection is dead.
pub fn first_event_timeout(admitted: &Admitted, choice: &Choice) -> Option<Duration> {
    let may_run_again = admitted.may_run_after(1);
    may_run_again.then(|| choice.first_event * 3 + admitted.route.latency_target.mul_f64(1.5))
}

/// Returns the pause after which a stream is silent, if another backend server may continue it: its
/// engine pauses or hangs, or the connection is dead. Callers give up after eight of the pauses
/// that they allow, so there is time for another backend server.
pub fn stall_timeout(admitted: &Admitted) -> Option<Duration> {
    let route = &admitted.route;
    let may_move = route.repeat == Repeat::ResumableStream && admitted.may_run_after(1);
    may_move.then(|| allowed_pause(route) * SILENT_PAUSES)
}

/// Returns the pause up to which a stream stays at an engine that accepts connections.
pub fn longest_sound_silence(route: &Route) -> Duration {
    SOUND_SILENCE.max(allowed_pause(route) * SILENT_PAUSES)
}

/// Returns the time between two checks of a silent call.
pub fn silence_check_interval(route: &Route) -> Duration {
    allowed_pause(route).max(MIN_CHECK_INTERVAL)
}

/// Returns the time for which a stream that has begun may wait for a backend server.
pub fn longest_wait_in_stream(route: &Route) -> Duration {
    allowed_pause(route) * WAITING_PAUSES
}

fn allowed_pause(route: &Route) -> Duration {
    route.longest_pause.unwrap_or(DEFAULT_PAUSE)
}

/// Returns the time after its begin in which a stream may be resumed. Callers take it up within the
/// route's timeout; as much again covers callers that wait longer, and the clocks of hosts.
pub fn resumption_window(route: &Route) -> Duration {
    route.timeout * 2
}

/// Returns the first value for the most urgent rank, and the second for the others.
fn of_rank(admitted: &Admitted, (urgent, other): (f64, f64)) -> f64 {
    if admitted.rank.is_most_urgent() {
        urgent
    } else {
        other
    }
}
