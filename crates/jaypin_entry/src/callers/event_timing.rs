//! When the events of a stream came.

use std::time::Duration;

use tokio::time::Instant;

/// Events of a stream, or time that they took, after which the decisions are told of them: an
/// engine that turns slow shows within two events.
const REPORT_EVENTS: u32 = 8;
const REPORT_TIME: Duration = Duration::from_millis(150);

/// When the first event of a request came, and the longest time between two.
#[derive(Debug, Default)]
pub struct EventTimes {
    /// The first event.
    pub first: Option<Instant>,
    /// The longest time between two, also where they come from two backend servers.
    pub longest_pause: Duration,
    last: Option<Instant>,
}

impl EventTimes {
    /// Notes an event.
    pub fn record_event(&mut self) {
        let now = Instant::now();
        self.first.get_or_insert(now);
        if let Some(last) = self.last.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
        }
    }
}

/// How fast one backend server makes the events of one call.
#[derive(Debug, Default)]
pub struct EventRate {
    last: Option<Instant>,
    events: u32,
    time: Duration,
}

impl EventRate {
    /// Notes an event; now and then gives what the decisions should hear.
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
