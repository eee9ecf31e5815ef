//! Probability that an answer is late or cut off on an engine, because of a pause or its timeout.

use std::time::{Duration, Instant};

use crate::Backend;
use crate::answer_length::AnswerLengths;
use crate::pause_risk::{ServicePauses, pause_risk};
use crate::service_speed::ServiceSpeed;

/// Probability of an answer that does not end before its timeout above which the request is refused
/// where no other engine is left. Such a call holds its slot for the whole timeout, in which a slot
/// serves ten mean requests or more.
const MAX_CUT_RISK: f64 = 0.9;

/// Risks of an answer on an engine, as probabilities.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AnswerRisk {
    /// That it pauses for longer than its route allows.
    pub pause: f64,
    /// That it does not end before its timeout.
    pub cut: f64,
    /// Whether it would hold a slot for nothing, as it can hardly end before its timeout.
    pub is_futile: bool,
}

impl AnswerRisk {
    /// Returns the probability that it is late or cut off.
    #[must_use]
    pub fn total(&self) -> f64 {
        1.0 - (1.0 - self.pause) * (1.0 - self.cut)
    }
}

/// What is known of the length of an answer and of the service that gives it.
#[derive(Debug, Clone, Copy)]
pub struct AnswerDemand {
    /// Number of events that the caller expects.
    pub expected_events: f64,
    /// Number of events that the caller allows.
    pub max_events: f64,
    /// Whether the request may be refused for its length. A stream whose caller has a part of it would
    /// be lost, and without a hint of the caller the length is an upper bound.
    pub may_be_refused: bool,
    /// Number of its events that were received from earlier backend servers.
    pub received_events: f64,
    /// Lengths of such answers, relative to what callers expect.
    pub lengths: AnswerLengths,
    /// The longest allowed pause, if there is one, and the pauses of the service's engines.
    pub pauses: Option<(Duration, ServicePauses)>,
    /// Speed of the service's engines; absent until one is known.
    pub speed: Option<ServiceSpeed>,
}

impl AnswerDemand {
    /// Returns the seconds between two events on a backend server; absent if nothing is known of the
    /// service.
    fn seconds_per_event(&self, backend: &Backend) -> Option<f64> {
        self.speed.map(|it| it.seconds_per_event(backend))
    }

    /// Returns the seconds that the rest of the answer is expected to take on a backend server; absent
    /// if nothing is known of the service.
    #[must_use]
    pub fn seconds_on(&self, backend: &Backend) -> Option<f64> {
        let remaining_events = (self.expected_events - self.received_events).max(0.0);
        Some(remaining_events * self.seconds_per_event(backend)?)
    }

    /// Returns the risks on a backend server, where the events have `seconds_left` from the first
    /// on.
    #[must_use]
    pub fn risk(&self, backend: &Backend, seconds_left: f64, now: Instant) -> AnswerRisk {
        let seconds_per_event = self.seconds_per_event(backend);
        let pause = self.pauses.map_or(0.0, |(longest_pause, of_service)| {
            let share = of_service.share(backend.pauses(longest_pause), seconds_per_event, now);
            let mean_events = self.expected_events * self.lengths.mean();
            let events = mean_events.min(self.max_events) - self.received_events;
            pause_risk(share, events)
        });
        let cut = seconds_per_event.map_or(0.0, |it| self.cut_risk(seconds_left.max(0.0) / it));
        let may_be_futile = self.may_be_refused && backend.has_recent_event_rate(now);
        AnswerRisk {
            pause,
            cut,
            is_futile: may_be_futile && cut > MAX_CUT_RISK,
        }
    }

    /// Returns the probability that the answer has more events than fit into the remaining time.
    fn cut_risk(&self, fitting_events: f64) -> f64 {
        let last = self.received_events + fitting_events;
        if last >= self.max_events {
            return 0.0;
        }
        let expected = self.expected_events.max(1.0);
        self.lengths
            .exceeds(last / expected, self.received_events / expected)
    }
}
