//! How far this host's watches of the store have come, for its other watches and for hosts that read
//! through it.

use std::cell::Cell;
use std::time::Duration;

use jaypin_router::{LAG_TOLERANCE, StorePoint};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Progress of the watches of one host.
#[derive(Debug, Default)]
pub struct WatchProgress {
    entries: Cell<Option<StorePoint>>,
    /// Whether the store may have entries that this host does not know.
    entries_lag: Cell<bool>,
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
        self.set_entries_lag(false);
    }

    /// Records whether this host may lack entries that the store has.
    pub fn set_entries_lag(&self, lags: bool) {
        self.entries_lag.set(lags);
        self.advance();
    }

    /// Records a point that the store had reached. Returns whether this host knows all entries up to
    /// it.
    pub fn compare_entries(&self, point: StorePoint) -> bool {
        let Some(known) = self.entries.get() else {
            return false;
        };
        self.set_entries_lag(known < point);
        known >= point
    }

    /// Waits until this host's entries have lagged behind the store for longer than a watch takes to
    /// return a change.
    pub async fn entries_overdue(&self) {
        loop {
            while !self.entries_lag.get() {
                self.advanced.notified().await;
            }
            sleep(LAG_TOLERANCE).await;
            if self.entries_lag.get() {
                return;
            }
        }
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
