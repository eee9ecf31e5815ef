//! Times of a host's planned stop.

use std::time::Duration;

/// Part of the grace period in which a draining host accepts requests, as a divisor.
const ACCEPT_DIVISOR: u32 = 3;
/// Part of the grace period in which it keeps idle connections, as a divisor.
const IDLE_DIVISOR: u32 = 2;
/// Part of the grace period between the exit of the process and its end.
const EXIT_MARGIN: f64 = 0.04;
/// Part of the grace period to write the answers to requests that are ended.
const ANSWER_MARGIN: f64 = 0.02;
/// Longest time for which a draining host accepts requests. Callers learn within a few seconds that it
/// is draining.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(2_500);
/// Longest time for which it keeps idle connections: callers that do not know yet that the host drains
/// get a response instead of a refused connection.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);
/// Shortest time between the exit of the process and the end of its grace period.
const MIN_EXIT_MARGIN: Duration = Duration::from_millis(100);
/// Shortest time to write the answers to requests that are ended.
const MIN_ANSWER_MARGIN: Duration = Duration::from_millis(50);

/// Times of a planned stop, counted from its signal. All lie within the grace period, however short it
/// is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainTimes {
    /// When the host ceases to accept requests. Those that it accepted have most of the grace period to
    /// end.
    pub refuse: Duration,
    /// When it closes its listener and its idle connections.
    pub close_idle: Duration,
    /// When it ends the requests that still run, and answers them.
    pub end_requests: Duration,
    /// When it exits, although connections are open.
    pub exit: Duration,
}

impl DrainTimes {
    /// Returns the times of a host that has this time between the signal and its end.
    #[must_use]
    pub fn new(grace: Duration) -> Self {
        let exit = grace.saturating_sub(MIN_EXIT_MARGIN.max(grace.mul_f64(EXIT_MARGIN)));
        let answer_margin = MIN_ANSWER_MARGIN.max(grace.mul_f64(ANSWER_MARGIN));
        Self {
            refuse: MAX_ACCEPT_TIME.min(grace / ACCEPT_DIVISOR),
            close_idle: MAX_IDLE_TIME.min(grace / IDLE_DIVISOR),
            end_requests: exit.saturating_sub(answer_margin),
            exit,
        }
    }
}
