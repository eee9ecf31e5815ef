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
    group: EventGroup,
}

/// Events that are reported to the reducer together.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventGroup {
    /// Number of events.
    pub events: u32,
    /// Time over which they arrived.
    pub time: Duration,
    /// The longest time before one of them. A pause of [`REPORT_TIME`] ends the group, so it holds one
    /// such pause at most.
    pub longest_pause: Duration,
}

impl EventRate {
    /// Records the arrival of an event. Returns the events since the last report once a report is
    /// due.
    pub fn record_event(&mut self) -> Option<EventGroup> {
        let now = Instant::now();
        let last = self.last.replace(now)?;
        let pause = now - last;
        let group = &mut self.group;
        group.events += 1;
        group.time += pause;
        group.longest_pause = group.longest_pause.max(pause);
        let is_due = group.events >= REPORT_EVENTS || group.time >= REPORT_TIME;
        is_due.then(|| std::mem::take(group))
    }

    /// Returns the events since the last report, if there are any. Without them, the reducer would
    /// know nothing of the length of short streams.
    pub fn take_rest(&mut self) -> Option<EventGroup> {
        (self.group.events > 0).then(|| std::mem::take(&mut self.group))
    }
}
