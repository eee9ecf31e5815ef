//! The last backend servers that answered this host.

use std::time::{Duration, Instant};

use super::BackendRun;

/// Time after a lost call in which an answer of another backend server shows that this host was
/// not cut off from all of them.
const CONTACT_TIME: Duration = Duration::from_millis(700);

/// The last two runs that answered, with the times of their last answers.
#[derive(Debug, Default)]
pub struct AnsweredRuns {
    last: Option<(BackendRun, Instant)>,
    before: Option<(BackendRun, Instant)>,
}

impl AnsweredRuns {
    /// Records an answer.
    pub fn record(&mut self, run: BackendRun, now: Instant) {
        if self.last.is_some_and(|it| it.0 != run) {
            self.before = self.last;
        }
        self.last = Some((run, now));
    }

    /// Returns whether another run than this one answered shortly after `at`.
    pub fn has_other_after(&self, run: BackendRun, at: Instant) -> bool {
        let answers = [self.last, self.before];
        let mut others = answers.into_iter().flatten().filter(|it| it.0 != run);
        others.any(|(_, answered)| answered > at && answered <= at + CONTACT_TIME)
    }
}
