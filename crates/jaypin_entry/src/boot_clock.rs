//! The clock that keeps running while the host is suspended.

use std::time::Duration;

use jaypin_router::BootTime;
use nix::time::{ClockId, clock_gettime};

/// Returns the time since the host was booted, including the time for which it was suspended.
///
/// The runtime's clock stops while a host is suspended, so it can't show that data has become
/// outdated in that time.
pub fn boot_time() -> BootTime {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(error) => {
            // Every supported kernel has this clock. Without it no configuration counts as the
            // newest, and the host refuses requests instead of accepting withdrawn credentials.
            log::error!(error:%; "reading CLOCK_BOOTTIME failed; the configuration counts as outdated");
            Duration::MAX
        }
    }
}
