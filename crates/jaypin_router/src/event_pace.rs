//! How fast a backend server makes the events of a stream, learned from running streams.
//!
//! The pattern: answers differ a hundredfold in length and engines fivefold in speed. The
//! longest answers end in time on fast engines only; on a slow one they hold a slot until
//! their caller gives up, and nobody has anything of it.

/// Events after which an observation counts for 1/e: two or three usual answers.
const MEMORY_EVENTS: f64 = 80.0;
/// Factor from which events are so much slower than known that the engine has changed: what
/// was seen before then counts no more than they do.
///
/// Guards against engines that turn slow for some seconds. Judged by the mean of the last
/// hundred events, they would get long answers for as long.
const SLOWED: f64 = 2.0;
/// Events from which on a pace says something.
const LEAST_EVENTS: f64 = 4.0;

/// Decayed sums of events and of the time that they took.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EventRate {
    events: f64,
    seconds: f64,
}

impl EventRate {
    /// Learns that so many events came in so long.
    pub fn record(&mut self, events: f64, seconds: f64) {
        let expected = self.seconds_for(events);
        let has_slowed = expected.is_some_and(|it| seconds >= it * SLOWED);
        let keep = if has_slowed {
            (events / self.events).min(1.0)
        } else {
            (-events / MEMORY_EVENTS).exp()
        };
        self.events = self.events * keep + events;
        self.seconds = self.seconds * keep + seconds;
    }

    /// Seconds that so many events take, once enough were seen.
    #[must_use]
    pub fn seconds_for(&self, events: f64) -> Option<f64> {
        let is_known = self.events >= LEAST_EVENTS;
        is_known.then(|| events * self.seconds / self.events)
    }
}
