//! How far this host's watches of the store have come, for hosts that read through it.

use std::cell::Cell;
use std::time::Duration;

use jaypin_router::StorePoint;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Progress of the watches of one host.
#[derive(Debug, Default)]
pub struct WatchProgress {
    entries: Cell<Option<StorePoint>>,
    advanced: Notify,
}

impl WatchProgress {
    /// Returns the point up to which this host knows all entries; `None` while it does not watch
    /// them.
    pub fn entries_point(&self) -> Option<StorePoint> {
        self.entries.get()
    }

    /// Records the point up to which this host knows all entries.
    pub fn set_entries_point(&self, point: Option<StorePoint>) {
        self.entries.set(point);
        self.advance();
    }

    /// Records that the store returned or confirmed something.
    pub fn advance(&self) {
        self.advanced.notify_waiters();
    }

    /// Waits until a condition on the state of this host holds, for at most `limit`.
    pub async fn wait_until(&self, limit: Duration, holds: impl Fn() -> bool) {
        let wait = async {
            while !holds() {
                self.advanced.notified().await;
            }
        };
        // If the condition does not hold in time, the response has nothing new.
        let _ = timeout(limit, wait).await;
    }
}
