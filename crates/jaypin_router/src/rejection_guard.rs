//! Protection of backend servers that crash when they have to reject too many requests for lack of
//! room.
//!
//! Hosts that see a free slot at the same time may all send a request there. Requests that have
//! waited are the dangerous ones: each freed slot sets many of them off. So each slot belongs to one
//! host, by rendezvous hashing, and requests that have waited only use the slots of their host.
//! Others may also use a backend server that is far from full. After a rejection, of which all
//! hosts hear, none sends there for a while.

use std::time::{Duration, Instant};

/// Number of requests that may reach a backend server and be rejected before all hosts have heard of
/// the first rejection.
const CONCURRENT_REJECTIONS: f64 = 3.0;
/// Shortest and longest pause after a rejection.
const PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(1_200));
/// Fraction of the slots up to which hosts use the slots of others.
const SHARED_FRACTION: f64 = 0.6;

/// What keeps requests from a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RejectionGuard {
    resume_at: Option<Instant>,
    own_slots: u32,
}

impl RejectionGuard {
    /// Creates the guard of a backend server that may reject `limit` requests per second, last
    /// rejected one at `rejected_at`, and of whose slots `own_slots` belong to this host.
    #[must_use]
    pub fn new(limit: u32, rejected_at: Option<Instant>, own_slots: u32) -> Self {
        let pause = CONCURRENT_REJECTIONS / f64::from(limit.max(1));
        let pause = Duration::from_secs_f64(pause).clamp(PAUSES.0, PAUSES.1);
        Self {
            resume_at: rejected_at.map(|at| at + pause),
            own_slots,
        }
    }

    /// Returns whether no request may be sent now.
    #[must_use]
    pub fn is_pausing(&self, now: Instant) -> bool {
        self.resume_at.is_some_and(|at| now < at)
    }

    /// Returns whether a request may be sent to a backend server with so many `slots`, on which
    /// `running` requests run, `own` of them from this host.
    #[must_use]
    pub fn has_room(&self, own: u32, running: u32, slots: u32, has_waited: bool) -> bool {
        let is_far_from_full = f64::from(running + 1) <= f64::from(slots) * SHARED_FRACTION;
        running < slots && (own < self.own_slots || (is_far_from_full && !has_waited))
    }
}
