//! The last backend servers that this host reached.

use std::time::{Duration, Instant};

use super::BackendRun;

/// Time after a lost call in which reaching another backend server shows that this host was
/// not cut off from all of them.
pub const CONTACT_TIME: Duration = Duration::from_millis(700);

/// The last two runs that this host reached, and when.
#[derive(Debug, Default)]
pub struct AnsweredRuns {
    last: Option<(BackendRun, Instant)>,
    before: Option<(BackendRun, Instant)>,
}

impl AnsweredRuns {
    /// Records that a run was reached.
    pub fn record(&mut self, run: BackendRun, now: Instant) {
        if self.last.is_some_and(|it| it.0 != run) {
            self.before = self.last;
        }
        self.last = Some((run, now));
    }

    /// Returns whether another run than this one was reached shortly after `at`.
    pub fn has_other_after(&self, run: BackendRun, at: Instant) -> bool {
        let reached = [self.last, self.before];
        let mut others = reached.into_iter().flatten().filter(|it| it.0 != run);
        others.any(|(_, reached)| reached > at && reached <= at + CONTACT_TIME)
    }
}
