//! The time of a request to the store, from which a proof derives.

use jaypin_router::{BootTime, WATCH_LAG};
use tokio::time::Instant;

use crate::boot_clock::boot_time;

/// When a request to the store was sent, on both clocks.
#[derive(Debug, Clone, Copy)]
pub struct RequestTime {
    boot_time: BootTime,
    instant: Instant,
}

impl RequestTime {
    /// Returns the current time.
    pub fn now() -> Self {
        Self {
            boot_time: boot_time(),
            instant: Instant::now(),
        }
    }

    /// Returns the time at which the response that has just arrived was certainly the newest state.
    ///
    /// That is the time of the request, or [`WATCH_LAG`] before the response if that is later. If
    /// the host was suspended meanwhile, it is the time of the request: the response may have
    /// arrived before the suspension, which the steady clock does not count.
    pub fn proved_at(self) -> BootTime {
        let waited = self.instant.elapsed();
        let now = boot_time();
        let was_suspended = now.saturating_sub(self.boot_time) > waited + WATCH_LAG;
        if was_suspended {
            return self.boot_time;
        }
        self.boot_time.max(now.saturating_sub(WATCH_LAG))
    }
}
