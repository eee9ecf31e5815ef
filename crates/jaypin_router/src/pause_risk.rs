//! Probability that a stream pauses for longer than its route allows, by engine.
//!
//! Engines pause while they read the prompts of other requests, the slow ones for longer. Packet
//! loss pauses the streams of all engines alike. One host sees a few events per second of an
//! engine, and a pause in some hundred of them; so what it knows of one engine rests on what it
//! has seen on engines of similar speed.

use std::time::{Duration, Instant};

/// Time after which the weight of an observation falls to 1/e. Without new observations the
/// estimate returns to the mean of the service within it, so that an engine that was avoided is
/// tried again.
const MEMORY: Duration = Duration::from_mins(1);
/// Share of pauses that is assumed of a service before any observation: with it, one answer of 30
/// events in 30 has a pause, as on sound engines behind links with 0.0015 of packets lost.
const INITIAL_SHARE: f64 = 0.001;
/// Weight of that assumption, in events.
const INITIAL_EVENTS: f64 = 1_000.0;
/// Weight of the service's mean against observations at one speed, in events: about 15 s of what
/// one host sees of the slow third of the engines, and 2 s of the others.
const SPEED_PRIOR_EVENTS: f64 = 500.0;
/// Weight of the mean at an engine's speed against observations of the engine, in events. One pause
/// then costs a mean answer of 35 events about as much as one more running request does.
const ENGINE_PRIOR_EVENTS: f64 = 1_000.0;
/// Number of speeds at which pauses are counted. Neighbours differ by a factor of 2; the first stands
/// for 1 ms per event, the last for a second.
const SPEEDS: usize = 11;

/// Decayed numbers of events and of the pauses before them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PauseTally {
    events: f64,
    pauses: f64,
    at: Option<Instant>,
}

impl PauseTally {
    /// Records events, and how many of them came after a pause.
    pub fn record(&mut self, events: f64, pauses: f64, now: Instant) {
        let decayed = self.decayed(now);
        self.events = decayed.events + events;
        self.pauses = decayed.pauses + pauses;
        self.at = Some(now);
    }

    fn decayed(&self, now: Instant) -> Self {
        let age = self.at.map(|at| now.saturating_duration_since(at));
        let keep = (-age.unwrap_or_default().as_secs_f64() / MEMORY.as_secs_f64()).exp();
        Self {
            events: self.events * keep,
            pauses: self.pauses * keep,
            at: self.at,
        }
    }

    /// Returns the share of pauses, where `prior` weighs as much as `prior_events` events.
    fn share(&self, prior: f64, prior_events: f64) -> f64 {
        (self.pauses + prior * prior_events) / (self.events + prior_events)
    }
}

/// Pauses of all engines of a service, by the speed of the engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServicePauses {
    total: PauseTally,
    by_speed: [PauseTally; SPEEDS],
}

impl ServicePauses {
    /// Records events of an engine that takes `seconds_per_event`, if that is known.
    pub fn record(
        &mut self,
        seconds_per_event: Option<f64>,
        events: f64,
        pauses: f64,
        now: Instant,
    ) {
        self.total.record(events, pauses, now);
        let speeds = seconds_per_event.map(nearest_speeds);
        for (index, weight) in speeds.into_iter().flatten() {
            self.by_speed[index].record(events * weight, pauses * weight, now);
        }
    }

    /// Returns the share of events of an engine that come after a pause. `tally` holds what was
    /// observed of the engine, which takes `seconds_per_event`.
    #[must_use]
    pub fn share(&self, tally: PauseTally, seconds_per_event: Option<f64>, now: Instant) -> f64 {
        let mean = self.total.decayed(now).share(INITIAL_SHARE, INITIAL_EVENTS);
        let at_speed = seconds_per_event.map_or(mean, |seconds| {
            let tally = self.at_speed(seconds, now);
            tally.share(mean, SPEED_PRIOR_EVENTS)
        });
        tally.decayed(now).share(at_speed, ENGINE_PRIOR_EVENTS)
    }

    /// Returns what was observed of engines at a speed. Events that were all recorded at this speed
    /// count as their number.
    fn at_speed(&self, seconds_per_event: f64, now: Instant) -> PauseTally {
        let speeds = nearest_speeds(seconds_per_event);
        let norm: f64 = speeds.iter().map(|(_, weight)| weight * weight).sum();
        let mut sum = PauseTally::default();
        for (index, weight) in speeds {
            let tally = self.by_speed[index].decayed(now);
            sum.events += tally.events * weight / norm;
            sum.pauses += tally.pauses * weight / norm;
        }
        sum
    }
}

/// Returns the probability that at least one of `events` events comes after a pause.
#[must_use]
pub fn pause_risk(share: f64, events: f64) -> f64 {
    1.0 - (1.0 - share.clamp(0.0, 1.0)).powf(events.max(0.0))
}

/// Returns the two speeds between which an engine lies, with weights that change gradually, so that
/// engines of nearly the same speed have nearly the same risk.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the position is between 0 and a small number"
)]
fn nearest_speeds(seconds_per_event: f64) -> [(usize, f64); 2] {
    let last = SPEEDS - 2;
    let position = (seconds_per_event.max(0.001) * 1_000.0).log2();
    let lower = (position as usize).min(last);
    let upper_weight = (position - lower as f64).min(1.0);
    [(lower, 1.0 - upper_weight), (lower + 1, upper_weight)]
}
