//! Mean speed of a service's engines, from which that of a new one is estimated.

use crate::{Backend, PrefillRate};

/// Greatest factor by which an engine's time per event is estimated to differ from the mean: engines
/// of a service differ fourfold, and a first prefill that had to wait looks slower than it was.
const MAX_RATIO: f64 = 4.0;

/// Mean times of the engines of a service whose event rate is known.
#[derive(Debug, Clone, Copy)]
pub struct ServiceSpeed {
    seconds_per_event: f64,
    /// Mean prefill time of a token; absent if none of these engines was seen reading a prompt.
    seconds_per_token: Option<f64>,
}

impl ServiceSpeed {
    /// Returns the mean of these backend servers; none if no event rate is known.
    pub fn of<'a>(backends: impl Iterator<Item = &'a Backend>) -> Option<Self> {
        let (mut events, mut tokens) = (Mean::default(), Mean::default());
        for backend in backends {
            if let Some(seconds) = backend.event_rate.seconds_for(1.0) {
                events.add(seconds);
                if let Some(seconds) = seconds_per_token(&backend.prefill_rate) {
                    tokens.add(seconds);
                }
            }
        }
        Some(Self {
            seconds_per_event: events.get()?,
            seconds_per_token: tokens.get(),
        })
    }

    /// Returns the seconds that a backend server takes per event: as observed, else as its prefill
    /// rate compares with the mean, else the mean.
    #[must_use]
    pub fn seconds_per_event(&self, backend: &Backend) -> f64 {
        let observed = backend.event_rate.seconds_for(1.0);
        observed.unwrap_or_else(|| {
            let own = seconds_per_token(&backend.prefill_rate);
            let ratio = own.zip(self.seconds_per_token).map_or(1.0, |(own, mean)| {
                (own / mean).clamp(1.0 / MAX_RATIO, MAX_RATIO)
            });
            self.seconds_per_event * ratio
        })
    }
}

fn seconds_per_token(rate: &PrefillRate) -> Option<f64> {
    rate.is_observed().then(|| rate.seconds_for(1.0))
}

#[derive(Debug, Default)]
struct Mean {
    sum: f64,
    count: f64,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1.0;
    }

    fn get(&self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}
