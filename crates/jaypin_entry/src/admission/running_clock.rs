//! A clock that stands still while the host is stalled.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Time between two readings above which the host counts as stalled in between.
const MAX_GAP: Duration = Duration::from_millis(750);

/// Time in which the host ran. It has to be read more often than [`MAX_GAP`].
///
/// Guards against callers that are charged with the lateness of a host that was suspended: what they sent
/// meanwhile is unread, so that they would count as silent.
#[derive(Debug)]
pub struct RunningClock {
    read_at: Cell<Instant>,
    stalled: Cell<Duration>,
}

impl Default for RunningClock {
    fn default() -> Self {
        Self {
            read_at: Cell::new(Instant::now()),
            stalled: Cell::default(),
        }
    }
}

impl RunningClock {
    /// Returns the current time, less the time for which the host was stalled so far.
    pub fn now(&self) -> Instant {
        let now = Instant::now();
        let gap = now.saturating_duration_since(self.read_at.replace(now));
        if gap > MAX_GAP {
            self.stalled.set(self.stalled.get() + gap);
        }
        now.checked_sub(self.stalled.get()).unwrap_or(now)
    }
}
