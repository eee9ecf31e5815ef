//! Timing of the events of a stream.

use std::time::Duration;

use tokio::time::Instant;

/// Number of events after which an event rate is reported to the reducer.
const REPORT_EVENTS: u32 = 8;
/// Time after which an event rate is reported with fewer events: an engine that becomes slow
/// shows within two events.
const REPORT_TIME: Duration = Duration::from_millis(150);

/// Arrival of the first event of a request, and the longest time between two events.
#[derive(Debug, Default)]
pub struct EventTimes {
    /// Arrival of the first event; `None` before it.
    pub first: Option<Instant>,
    /// The longest time between two events, also across a change of backend servers.
    pub longest_pause: Duration,
    last: Option<Instant>,
}

impl EventTimes {
    /// Records the arrival of an event.
    pub fn record_event(&mut self) {
        let now = Instant::now();
        self.first.get_or_insert(now);
        if let Some(last) = self.last.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
        }
    }
}

/// Measures the rate at which one backend server sends the events of one call.
#[derive(Debug, Default)]
pub struct EventRate {
    last: Option<Instant>,
    events: u32,
    time: Duration,
}

impl EventRate {
    /// Records the arrival of an event. Returns the number of events since the last report and
    /// the time between them once a report is due.
    pub fn record_event(&mut self) -> Option<(u32, Duration)> {
        let now = Instant::now();
        let last = self.last.replace(now)?;
        self.events += 1;
        self.time += now - last;
        let is_due = self.events >= REPORT_EVENTS || self.time >= REPORT_TIME;
        is_due.then(|| {
            (
                std::mem::take(&mut self.events),
                std::mem::take(&mut self.time),
            )
        })
    }
}
