//! The clock that goes on while the host is suspended.

use std::time::Duration;

use jaypin_router::BootTime;
use nix::time::{ClockId, clock_gettime};

/// Time since the host was started, with the time that it was suspended.
///
/// The runtime's clock stands still while a host is suspended, so it can't tell that what
/// was known before has grown old.
pub fn boot_time() -> BootTime {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(error) => {
            // Every supported kernel has this clock. Without it nothing is ever proved,
            // and the host refuses instead of accepting withdrawn credentials.
            log::error!(error:%; "no clock that counts suspended time");
            Duration::MAX
        }
    }
}
