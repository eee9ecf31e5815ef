//! Rate at which a backend server produces the events of a stream, measured on running streams.
//!
//! Answers differ a hundredfold in length and engines fivefold in speed. The longest answers end
//! in time on fast engines only; on a slow one they hold a slot until their caller gives up, and
//! the work is wasted.

/// Number of events after which the weight of an observation falls to 1/e: two or three typical
/// answers.
const MEMORY_EVENTS: f64 = 80.0;
/// Factor on the expected time from which on the engine counts as slowed down: earlier
/// observations then weigh no more than the new ones.
///
/// Engines may turn slow for some seconds. Judged by the mean of the last hundred events, they
/// would get long answers for as long.
const SLOWDOWN_FACTOR: f64 = 2.0;
/// Number of events from which on the rate is meaningful.
const MIN_EVENTS: f64 = 4.0;

/// Decayed sums of events and of the seconds that they took.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EventRate {
    events: f64,
    seconds: f64,
}

impl EventRate {
    /// Records that `events` events took `seconds`.
    pub fn record(&mut self, events: f64, seconds: f64) {
        let expected = self.seconds_for(events);
        let has_slowed = expected.is_some_and(|it| seconds >= it * SLOWDOWN_FACTOR);
        let keep = if has_slowed {
            (events / self.events).min(1.0)
        } else {
            (-events / MEMORY_EVENTS).exp()
        };
        self.events = self.events * keep + events;
        self.seconds = self.seconds * keep + seconds;
    }

    /// Returns the seconds that `events` events take, once enough were observed.
    #[must_use]
    pub fn seconds_for(&self, events: f64) -> Option<f64> {
        let is_known = self.events >= MIN_EVENTS;
        is_known.then(|| events * self.seconds / self.events)
    }
}
