//! How hosts share the rate limit that a backend server states for all of them together.
//!
//! The limit may be a few requests per second for a hundred hosts. An equal part for each would
//! be one request a minute, and a hundred of them may come at once. So only a few hosts send, as
//! many as get at least one request per second each. Which ones follows from their names, and
//! each spaces its requests evenly, so the sum keeps to the limit without a message per request.

use std::time::{Duration, Instant};

/// Smallest rate that is used, in requests per second: a backend server that gets no requests
/// can't state that it accepts more again.
const MIN_RATE: f64 = 0.1;

/// Spaces one host's requests to one backend server.
#[derive(Debug)]
pub struct Throttle {
    /// Pause between two requests; without one, this host sends none.
    pause: Option<Duration>,
    /// Start of the pause: the last request, or the time at which this host was given a part of
    /// the rate.
    since: Instant,
}

impl Throttle {
    /// Creates a throttle with no part of the rate.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            pause: None,
            since: now,
        }
    }

    /// Sets the pause. A host that had no part of the rate before begins with a whole pause, so
    /// that it and the host that it follows don't both send.
    pub fn set_pause(&mut self, pause: Option<Duration>, now: Instant) {
        if self.pause.is_none() {
            self.since = now;
        }
        self.pause = pause;
    }

    /// Returns whether a request may be sent.
    #[must_use]
    pub fn allows(&self, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.since);
        self.pause.is_some_and(|pause| waited >= pause)
    }

    /// Records a request that is sent.
    pub fn sent(&mut self, now: Instant) {
        self.since = now;
    }
}

/// Returns the pause between two requests of the host at a position in the order of hosts;
/// nothing if it has no part of the rate.
#[must_use]
pub fn pause_at(position: usize, hosts: usize, rate: f64) -> Option<Duration> {
    let rate = rate.max(MIN_RATE);
    let most = u32::try_from(hosts).unwrap_or(u32::MAX).max(1);
    let senders = rate.floor().clamp(1.0, f64::from(most));
    let position = f64::from(u32::try_from(position).unwrap_or(u32::MAX));
    (position < senders).then(|| Duration::from_secs_f64(senders / rate))
}
