//! Configuration of an engine.

use std::time::Duration;

use crate::prefix_cache::ServiceBlocks;

/// Capacity, speed and simulated faults of an engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Address to listen on, as `IP:PORT`; port 0 picks a free port.
    pub address: String,
    /// Number of requests that run at the same time; the engine queues further ones.
    pub slots: usize,
    /// Prefill rate in tokens per second.
    pub prefill_rate: f64,
    /// Time between two tokens of a stream while at most `knee` streams run.
    pub gap: Duration,
    /// Number of concurrent streams up to which the gap between tokens doesn't grow.
    pub knee: usize,
    /// Fraction of `gap` that each stream beyond `knee` adds to the gap between tokens.
    pub gap_growth: f64,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Delay after which a cache event appears in `GET /cache-events`.
    pub cache_event_lag: Duration,
    /// Interval of lost cache events: every n-th event is never reported. `None` means that all
    /// events are reported.
    pub cache_event_loss: Option<u64>,
    /// Blocks cached by any engine of the service; used to count tokens that are recomputed
    /// although another engine has them cached.
    pub service_blocks: ServiceBlocks,
    /// Minimum age of the load that `GET /load` reports, once a load that old is recorded.
    pub report_lag: Duration,
    /// Time for which the engine is down after a request whose text contains `POISON` crashed it.
    /// `None` means that such a request doesn't crash the engine.
    pub crash_downtime: Option<Duration>,
    /// Whether the engine rejects a request whose fencing number has an outdated incarnation.
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
    /// Returns the time between two tokens of a stream while `running` streams run.
    #[must_use]
    pub fn gap_with(&self, running: usize) -> Duration {
        let beyond = u32::try_from(running.saturating_sub(self.knee)).unwrap_or(u32::MAX);
        self.gap.mul_f64(1.0 + self.gap_growth * f64::from(beyond))
    }
}
