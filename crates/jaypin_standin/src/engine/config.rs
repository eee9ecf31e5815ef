//! What an engine is like.

use std::time::Duration;

use crate::prefix_cache::ServiceBlocks;

/// What an engine is like.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Address to listen on.
    pub address: String,
    /// Requests that run at once; more wait inside.
    pub slots: usize,
    /// Prefill speed in tokens a second.
    pub prefill_rate: f64,
    /// Time between tokens of a single stream.
    pub gap: Duration,
    /// Streams that run without lengthening the gap.
    pub knee: usize,
    /// Share by which each stream beyond the knee lengthens the gap.
    pub gap_growth: f64,
    /// Blocks in the prefix cache.
    pub cache_blocks: usize,
    /// How late a cache event is told.
    pub cache_event_lag: Duration,
    /// One cache event in this many is never told; none: all are.
    pub cache_event_loss: Option<u64>,
    /// Blocks that any engine of the service holds, for counting what is computed again.
    pub service_blocks: ServiceBlocks,
    /// How old a load report is.
    pub report_lag: Duration,
    /// How long the engine is gone after a poisonous request; none: it doesn't crash.
    pub crash_downtime: Option<Duration>,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_owned(),
            slots: 16,
            prefill_rate: 8_000.0,
            gap: Duration::from_millis(20),
            knee: 1,
            gap_growth: 0.05,
            cache_blocks: 4_096,
            cache_event_lag: Duration::from_millis(500),
            cache_event_loss: Some(10),
            service_blocks: ServiceBlocks::default(),
            report_lag: Duration::from_secs(1),
            crash_downtime: None,
            checks_fencing: false,
        }
    }
}

impl EngineConfig {
    /// Time between tokens of each of so many streams.
    #[must_use]
    pub fn gap_with(&self, running: usize) -> Duration {
        let beyond = u32::try_from(running.saturating_sub(self.knee)).unwrap_or(u32::MAX);
        self.gap.mul_f64(1.0 + self.gap_growth * f64::from(beyond))
    }
}
