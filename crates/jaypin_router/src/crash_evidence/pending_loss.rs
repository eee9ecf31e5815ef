//! Calls that were lost while nothing is known of the end of their backend servers.

use std::time::{Duration, Instant};

use super::{BackendRun, Fingerprint};

/// Time for which a lost call is kept. A backend server that has restarted registers within it.
pub const LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of lost calls; further ones are ignored.
const MAX_LOSSES: usize = 1_024;

/// A call that ended without an answer.
#[derive(Debug, Clone, Copy)]
pub struct PendingLoss {
    /// The run to which it was sent.
    pub run: BackendRun,
    /// The content of its request.
    pub content: Fingerprint,
    /// When its end was noticed.
    pub at: Instant,
    is_unreachable: bool,
}

/// Lost calls that are no evidence yet.
#[derive(Debug, Default)]
pub struct PendingLosses {
    losses: Vec<PendingLoss>,
}

impl PendingLosses {
    /// Adds a lost call. `is_unreachable` states that a new connection failed afterwards.
    pub fn add(
        &mut self,
        run: BackendRun,
        content: Fingerprint,
        is_unreachable: bool,
        at: Instant,
    ) {
        if self.losses.len() < MAX_LOSSES {
            self.losses.push(PendingLoss {
                run,
                content,
                at,
                is_unreachable,
            });
        }
    }

    /// Returns whether no call is pending.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty()
    }

    /// Returns whether a backend server could not be reached after a call was lost there, no longer
    /// ago than `age`.
    pub fn has_unreachable_since(&self, now: Instant, age: Duration) -> bool {
        let mut recent = self.losses.iter().rev();
        recent.any(|it| it.is_unreachable && now.saturating_duration_since(it.at) < age)
    }

    /// Removes and returns the contents of the calls that were lost with a run.
    pub fn take(&mut self, run: BackendRun) -> Vec<Fingerprint> {
        let taken = self.losses.extract_if(.., |it| it.run == run);
        taken.map(|it| it.content).collect()
    }

    /// Removes and returns the calls for whose run, reachability and time the condition holds.
    pub fn take_where(
        &mut self,
        condition: impl Fn(BackendRun, bool, Instant) -> bool,
    ) -> Vec<PendingLoss> {
        let is_due = |it: &mut PendingLoss| condition(it.run, it.is_unreachable, it.at);
        self.losses.extract_if(.., is_due).collect()
    }

    /// Removes the calls that were lost long ago.
    pub fn expire(&mut self, now: Instant) {
        self.losses
            .retain(|it| now.saturating_duration_since(it.at) < LIFETIME);
    }
}
