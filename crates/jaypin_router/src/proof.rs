//! When what a peer proved was true, on this host's clock.

use std::time::Duration;

use crate::BootTime;

/// Reports from which a peer's clock is taken as known: the first may all have waited.
const LEAST_REPORTS: u32 = 6;

/// The difference between a peer's clock and this host's, learned from its reports.
///
/// Guards against a proof that was under way for long: a report that waited in a queue, or
/// in front of a suspended process, shows by taking longer than the quickest one did. Both
/// clocks count suspended time and are never set, so their difference stays.
#[derive(Debug, Default, Clone, Copy)]
pub struct PeerClock {
    /// Least difference seen, in microseconds: that of the quickest report.
    least: Option<i128>,
    reports: u32,
}

impl PeerClock {
    /// Takes a report that was sent at `sent` by the peer's clock and came at `now`.
    pub fn record(&mut self, sent: BootTime, now: BootTime) {
        let difference = micros(now) - micros(sent);
        self.least = Some(self.least.map_or(difference, |least| least.min(difference)));
        self.reports = self.reports.saturating_add(1);
    }

    /// The time by this host's clock at which the peer's was `at`, as early as it may
    /// have been; nothing while the clock is not known.
    #[must_use]
    pub fn to_local_time(&self, at: BootTime) -> Option<BootTime> {
        let least = self.least.filter(|_| self.reports >= LEAST_REPORTS)?;
        // The quickest report took some milliseconds too, so the true time was earlier.
        let time = micros(at) + least - micros(QUICKEST);
        Some(Duration::from_micros(u64::try_from(time).ok()?))
    }
}

/// Longest time that the quickest of several reports takes: between regions, 12 ms one way.
const QUICKEST: Duration = Duration::from_millis(60);

fn micros(time: Duration) -> i128 {
    i128::try_from(time.as_micros()).unwrap_or(i128::MAX / 4)
}
