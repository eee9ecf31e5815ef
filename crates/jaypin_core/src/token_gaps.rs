//! A model of the time between tokens (the gap) of one backend server, by the number of
//! streams that it runs.

use std::time::Instant;

/// Initial estimate of the time between tokens, in seconds.
const INITIAL_GAP_SECONDS: f64 = 0.02;
/// Initial estimate of the fraction by which each further stream lengthens the gap.
const INITIAL_GROWTH: f64 = 0.05;
/// Lower and upper bound of the learned growth.
const GROWTH_BOUNDS: (f64, f64) = (0.001, 1.0);
/// Weight of a long stream in the moving average of the gap.
const GAP_LEARNING_RATE: f64 = 0.4;
/// Number of gaps from which a stream has full weight.
const FULL_WEIGHT_GAPS: f64 = 40.0;
/// Step size of the correction of the growth.
const GROWTH_LEARNING_RATE: f64 = 0.1;
/// Upper bound of an observed gap, as a multiple of the expected one. A caller that reads
/// slowly lengthens the gaps of its own stream and must not make the backend server look
/// slow.
const MAX_GAP_RATIO: f64 = 4.0;
/// Finished streams from which the learned gap is used to raise the slow-start limit.
const MIN_OBSERVED_STREAMS: u32 = 4;
/// Fraction of a gap target up to which streams are planned.
const GAP_TARGET_FRACTION: f64 = 0.9;

/// Learned gap with `n` streams: `gap(n) = base * (1 + growth * (n - 1))`.
#[derive(Debug, Clone)]
pub struct TokenGapModel {
    /// Gap of a single stream, in seconds.
    base: f64,
    /// Fraction of `base` that each further stream adds.
    growth: f64,
    /// Integral of the running streams over time, up to `changed_at`.
    stream_seconds: f64,
    changed_at: Option<Instant>,
    running: u32,
    /// Number of finished streams.
    observed_streams: u32,
}

impl Default for TokenGapModel {
    fn default() -> Self {
        Self {
            base: INITIAL_GAP_SECONDS,
            growth: INITIAL_GROWTH,
            stream_seconds: 0.0,
            changed_at: None,
            running: 0,
            observed_streams: 0,
        }
    }
}

impl TokenGapModel {
    /// Returns the expected gap in seconds while `streams` are running.
    #[must_use]
    pub fn gap(&self, streams: u32) -> f64 {
        self.base * (1.0 + self.growth * f64::from(streams.saturating_sub(1)))
    }

    /// Returns the largest number of streams whose gap stays below `target` seconds, at
    /// least 1.
    #[must_use]
    pub fn max_streams(&self, target: f64) -> u32 {
        let streams = 1.0 + (target * GAP_TARGET_FRACTION / self.base - 1.0) / self.growth;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped to a small positive range"
        )]
        let streams = streams.clamp(1.0, 10_000.0) as u32;
        streams
    }

    /// Returns whether enough streams have finished for the learned gap to be reliable.
    #[must_use]
    pub fn has_enough_samples(&self) -> bool {
        self.observed_streams >= MIN_OBSERVED_STREAMS
    }

    /// Returns whether the gap exceeds `target` seconds even with a single stream.
    #[must_use]
    pub fn single_stream_exceeds(&self, target: f64) -> bool {
        self.base > target
    }

    /// Sets the number of running streams from `now` on.
    pub fn set_running(&mut self, running: u32, now: Instant) {
        self.stream_seconds = self.stream_seconds_at(now);
        self.running = running;
        self.changed_at = Some(now);
    }

    /// Returns the integral of the number of running streams over time up to `now`, in
    /// stream-seconds.
    #[must_use]
    pub fn stream_seconds_at(&self, now: Instant) -> f64 {
        let since = self
            .changed_at
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.stream_seconds + f64::from(self.running) * since
    }

    /// Updates the model from a finished stream that had `gaps` gaps in `seconds`, while
    /// `streams` were running on average.
    pub fn record_stream(&mut self, gaps: u32, seconds: f64, streams: f64) {
        self.observed_streams = self.observed_streams.saturating_add(1);
        if gaps == 0 || seconds <= 0.0 {
            return;
        }
        let others = (streams - 1.0).max(0.0);
        let slowdown = 1.0 + self.growth * others;
        let expected = self.base * slowdown;
        let observed = (seconds / f64::from(gaps)).min(expected * MAX_GAP_RATIO);
        let weight = (f64::from(gaps) / FULL_WEIGHT_GAPS).min(1.0);
        let error = observed / self.base - slowdown;
        let step = GROWTH_LEARNING_RATE * weight * error * others / (1.0 + others * others);
        self.growth = (self.growth + step).clamp(GROWTH_BOUNDS.0, GROWTH_BOUNDS.1);
        self.base += GAP_LEARNING_RATE * weight * (observed / slowdown - self.base);
    }
}
