//! Time between tokens of one backend server, by the number of streams it runs.

use std::time::Instant;

/// Time between tokens that is assumed before anything was seen, in seconds.
const INITIAL_GAP_SECONDS: f64 = 0.02;
/// Share by which a further stream is assumed to lengthen the gap.
const INITIAL_GROWTH: f64 = 0.05;
/// Bounds of the learned share.
const GROWTH_BOUNDS: (f64, f64) = (0.001, 1.0);
/// Weight of a long stream in the running average of the gap.
const GAP_LEARNING_RATE: f64 = 0.4;
/// Tokens from which a stream has full weight.
const FULL_WEIGHT_GAPS: f64 = 40.0;
/// Step of the correction of the growth.
const GROWTH_LEARNING_RATE: f64 = 0.1;
/// A single stream counts as at most this many times the expected gap: a caller that
/// reads slowly stretches its own stream and must not condemn the backend server.
const MAX_GAP_RATIO: f64 = 4.0;
/// Finished streams after which the learned pace is believed.
const MIN_OBSERVED_STREAMS: u32 = 4;
/// Part of a gap target that is planned for.
const GAP_TARGET_FRACTION: f64 = 0.9;

/// Learned pace: `gap(n) = base * (1 + growth * (n - 1))` for n streams.
#[derive(Debug, Clone)]
pub struct TokenGapModel {
    base: f64,
    growth: f64,
    stream_seconds: f64,
    changed_at: Option<Instant>,
    running: u32,
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
    /// Expected gap in seconds with `streams` running.
    #[must_use]
    pub fn gap(&self, streams: u32) -> f64 {
        self.base * (1.0 + self.growth * f64::from(streams.saturating_sub(1)))
    }

    /// Most streams whose gap stays below a target, at least one.
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

    /// Whether enough streams have ended for the learned pace to be believed.
    #[must_use]
    pub fn has_enough_samples(&self) -> bool {
        self.observed_streams >= MIN_OBSERVED_STREAMS
    }

    /// Whether even a single stream is slower than a target.
    #[must_use]
    pub fn single_stream_exceeds(&self, target: f64) -> bool {
        self.base > target
    }

    /// Counts a new number of running streams from now on.
    pub fn set_running(&mut self, running: u32, now: Instant) {
        self.stream_seconds = self.stream_seconds_at(now);
        self.running = running;
        self.changed_at = Some(now);
    }

    /// Streams times seconds up to now.
    #[must_use]
    pub fn stream_seconds_at(&self, now: Instant) -> f64 {
        let since = self
            .changed_at
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.stream_seconds + f64::from(self.running) * since
    }

    /// Learns from a stream of `tokens` gaps in `seconds` beside `streams` on average.
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
