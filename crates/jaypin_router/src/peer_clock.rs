//! Conversion of a peer's times to this host's clock.

use std::time::Duration;

use crate::BootTime;

/// Number of reports from which a peer's clock counts as known: the first ones may all have been
/// delayed.
const MIN_REPORTS: u32 = 6;

/// The difference between a peer's clock and this host's, estimated from its reports.
///
/// A proof, that is a time at which the configuration was known to be the newest, must not seem
/// newer than it is because it was in transit for long. A report that waited in a queue, or in
/// front of a suspended process, is recognized by taking longer than the quickest one did. Both
/// clocks count suspended time and are never set, so their difference is constant.
#[derive(Debug, Default, Clone, Copy)]
pub struct PeerClock {
    /// Least difference seen, in microseconds: that of the quickest report.
    least_difference: Option<i128>,
    reports: u32,
}

impl PeerClock {
    /// Records a report that was sent at `sent` by the peer's clock and arrived at `now`.
    pub fn record(&mut self, sent: BootTime, now: BootTime) {
        let difference = micros(now) - micros(sent);
        let least = self.least_difference;
        self.least_difference = Some(least.map_or(difference, |least| least.min(difference)));
        self.reports = self.reports.saturating_add(1);
    }

    /// Returns the time by this host's clock at which the peer's clock showed `at`, as early as
    /// it may have been; nothing while the clock is not known.
    #[must_use]
    pub fn to_local_time(&self, at: BootTime) -> Option<BootTime> {
        let is_known = self.reports >= MIN_REPORTS;
        let least = self.least_difference.filter(|_| is_known)?;
        // The quickest report took some milliseconds too, so the true time was earlier.
        let time = micros(at) + least - micros(MAX_QUICKEST_DELAY);
        Some(Duration::from_micros(u64::try_from(time).ok()?))
    }
}

/// Longest time that the quickest of several reports may take; one way between regions takes
/// 12 ms.
const MAX_QUICKEST_DELAY: Duration = Duration::from_millis(60);

fn micros(time: Duration) -> i128 {
    i128::try_from(time.as_micros()).unwrap_or(i128::MAX / 4)
}
