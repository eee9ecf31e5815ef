//! Calls that were lost while nothing is known of the end of their backend servers.

use std::time::{Duration, Instant};

use super::{BackendRun, Fingerprint};

/// Time for which a lost call is kept. A backend server that has restarted registers within it.
pub const LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of suspects of lost calls; further ones are ignored.
const MAX_LOSSES: usize = 1_024;
/// Maximum number of these whose answers may be complete.
const MAX_POSSIBLE_CUTS: usize = 256;

/// A content or part of a call that ended without an answer.
#[derive(Debug, Clone, Copy)]
pub struct PendingLoss {
    /// The run to which it was sent.
    pub run: BackendRun,
    /// The content of its request, or a part of its prompt.
    pub suspect: Fingerprint,
    /// When its end was noticed.
    pub at: Instant,
    /// Whether a new connection failed afterwards.
    pub is_unreachable: bool,
    /// Whether an answer arrived that may be complete.
    pub may_be_complete: bool,
}

impl PendingLoss {
    /// Creates the loss of a call to a run that can be reached.
    pub fn new(run: BackendRun, suspect: Fingerprint, at: Instant) -> Self {
        Self {
            run,
            suspect,
            at,
            is_unreachable: false,
            may_be_complete: false,
        }
    }
}

/// Lost calls that are no evidence yet.
#[derive(Debug, Default)]
pub struct PendingLosses {
    losses: Vec<PendingLoss>,
}

impl PendingLosses {
    /// Adds a lost call.
    pub fn add(&mut self, loss: PendingLoss) {
        if loss.may_be_complete {
            self.make_room_for_cut();
        }
        if self.losses.len() < MAX_LOSSES {
            self.losses.push(loss);
        }
    }

    /// Removes the oldest answer that may be complete if there are many. Where all answers end with
    /// their connection, they would leave no room for lost calls.
    fn make_room_for_cut(&mut self) {
        let cuts = self.losses.iter().filter(|it| it.may_be_complete);
        if cuts.count() >= MAX_POSSIBLE_CUTS
            && let Some(oldest) = self.losses.iter().position(|it| it.may_be_complete)
        {
            self.losses.remove(oldest);
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

    /// Removes and returns the suspects of the calls that were lost with a run.
    pub fn take(&mut self, run: BackendRun) -> Vec<Fingerprint> {
        let is_lost = |it: &mut PendingLoss| it.run == run && !it.may_be_complete;
        let taken = self.losses.extract_if(.., is_lost);
        taken.map(|it| it.suspect).collect()
    }

    /// Removes and returns the calls that fulfil the condition.
    pub fn take_where(&mut self, condition: impl Fn(&PendingLoss) -> bool) -> Vec<PendingLoss> {
        self.losses.extract_if(.., |it| condition(it)).collect()
    }

    /// Removes the calls that were lost long ago.
    pub fn expire(&mut self, now: Instant) {
        self.losses
            .retain(|it| now.saturating_duration_since(it.at) < LIFETIME);
    }
}
