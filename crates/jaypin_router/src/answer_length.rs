//! Distribution of the length of answers, relative to the length that callers expect.
//!
//! The expectation is right at the median only. How far off it is decides which engines complete an
//! answer before its timeout.

use std::collections::HashMap;

use jaypin_core::ServiceId;

/// Number of ranges of the ratio of the actual to the expected length. Each is a factor of the square
/// root of 2 wide.
const RANGES: usize = 24;
/// Ranges per factor of 2.
const RANGES_PER_OCTAVE: f64 = 2.0;
/// Range that begins at a ratio of 1; half of the ranges lie below.
const MEDIAN_RANGE: f64 = 12.0;
/// Weights of the ranges at the distance of a number of octaves from the median, before any
/// observation: a deviation of a factor of 2, as callers that estimate from the prompt alone have.
const INITIAL_DEVIATION_OCTAVES: f64 = 1.0;
/// Weight of that assumption, in streams: ten seconds of what one of 70 hosts sees of a common
/// route.
const INITIAL_STREAMS: f64 = 20.0;
/// Number of streams after which the weight of an observation falls to 1/e: enough that one in
/// twenty is seen ten times.
const MEMORY_STREAMS: f64 = 200.0;

/// Decayed histogram of the ratio of actual to expected lengths.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnswerLengths {
    weights: [f64; RANGES],
}

impl Default for AnswerLengths {
    fn default() -> Self {
        let mut weights = [0.0; RANGES];
        for (index, weight) in weights.iter_mut().enumerate() {
            let octaves = (as_f64(index) + 0.5 - MEDIAN_RANGE) / RANGES_PER_OCTAVE;
            let deviations = octaves / INITIAL_DEVIATION_OCTAVES;
            *weight = (-deviations * deviations / 2.0).exp();
        }
        let sum: f64 = weights.iter().sum();
        Self {
            weights: weights.map(|it| it * INITIAL_STREAMS / sum),
        }
    }
}

impl AnswerLengths {
    /// Records a stream that ended after `ratio` of its expected length.
    pub fn record_complete(&mut self, ratio: f64) {
        self.decay();
        self.weights[range_of(ratio)] += 1.0;
    }

    /// Records a stream that was cut off after `ratio` of its expected length, and would have been
    /// longer. It counts for all longer ranges, as they were observed.
    pub fn record_cut(&mut self, ratio: f64) {
        self.decay();
        let first = range_of(ratio) + 1;
        let sum: f64 = self.weights[first..].iter().sum();
        if sum <= f64::EPSILON {
            self.weights[RANGES - 1] += 1.0;
            return;
        }
        for weight in &mut self.weights[first..] {
            *weight += *weight / sum;
        }
    }

    /// Returns the probability that a stream is longer than `ratio` of its expected length, if it
    /// is longer than `reached` of it.
    #[must_use]
    pub fn exceeds(&self, ratio: f64, reached: f64) -> f64 {
        if ratio <= reached {
            return 1.0;
        }
        let remaining = self.weight_above(reached);
        if remaining <= f64::EPSILON {
            return 0.0;
        }
        self.weight_above(ratio) / remaining
    }

    /// Returns the mean ratio.
    #[must_use]
    pub fn mean(&self) -> f64 {
        let sum: f64 = self.weights.iter().sum();
        let ratios = self.weights.iter().enumerate();
        let weighted: f64 = ratios.map(|(index, it)| it * middle_of(index)).sum();
        weighted / sum.max(f64::EPSILON)
    }

    /// Returns the weight of the greater ratios. Within a range, ratios are spread evenly on the
    /// logarithmic scale.
    fn weight_above(&self, ratio: f64) -> f64 {
        let position = position_of(ratio);
        let above = self.weights.iter().enumerate().map(|(index, weight)| {
            let part = (as_f64(index) + 1.0 - position).clamp(0.0, 1.0);
            weight * part
        });
        above.sum()
    }

    fn decay(&mut self) {
        let keep = (-1.0 / MEMORY_STREAMS).exp();
        self.weights = self.weights.map(|it| it * keep);
    }
}

/// Lengths of answers by service and rank of the route.
#[derive(Debug, Default)]
pub struct AnswerLengthTable {
    lengths: HashMap<(ServiceId, u8), AnswerLengths>,
}

impl AnswerLengthTable {
    /// Returns the lengths of a service's answers on routes of a rank.
    #[must_use]
    pub fn get(&self, service: &ServiceId, route_rank: u8) -> AnswerLengths {
        let lengths = self.lengths.get(&(service.clone(), route_rank));
        lengths.copied().unwrap_or_default()
    }

    /// Returns the same, to be changed.
    pub fn get_mut(&mut self, service: &ServiceId, route_rank: u8) -> &mut AnswerLengths {
        let key = (service.clone(), route_rank);
        self.lengths.entry(key).or_default()
    }
}

fn position_of(ratio: f64) -> f64 {
    ratio.max(f64::MIN_POSITIVE).log2() * RANGES_PER_OCTAVE + MEDIAN_RANGE
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "such casts saturate at the bounds of the type"
)]
fn range_of(ratio: f64) -> usize {
    (position_of(ratio) as usize).min(RANGES - 1)
}

fn middle_of(range: usize) -> f64 {
    ((as_f64(range) + 0.5 - MEDIAN_RANGE) / RANGES_PER_OCTAVE).exp2()
}

#[expect(clippy::cast_precision_loss, reason = "the number of ranges is small")]
fn as_f64(range: usize) -> f64 {
    range as f64
}
