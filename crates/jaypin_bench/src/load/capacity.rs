//! Configurations of engines with three speeds, and their combined capacity.

use std::time::Duration;

use jaypin_standin::{EngineConfig, ServiceBlocks};

use super::Mix;

/// Longest time between tokens that the capacity calculation accepts.
const GAP_LIMIT: Duration = Duration::from_millis(66);
/// Gap in milliseconds and prefill rate in tokens per second, fastest first.
const SPEEDS: [(u64, f64); 3] = [(25, 6_000.0), (35, 4_000.0), (50, 2_500.0)];
/// Concurrent streams that an engine admits.
const SLOTS: usize = 16;
/// Concurrent streams that an engine runs without slowing down.
const KNEE: usize = 6;
/// Fraction by which each stream beyond the knee lengthens the gap.
const GAP_GROWTH: f64 = 0.1;
/// Blocks in an engine's prefix cache; too few for the prefixes of all accounts, so that
/// blocks are evicted.
const CACHE_BLOCKS: usize = 256;

/// Returns `count` engine configurations that cycle through three speeds and share one
/// record of the cached blocks.
#[must_use]
pub fn unlike_engines(count: usize, report_lag: Duration) -> Vec<EngineConfig> {
    let held_blocks = ServiceBlocks::default();
    (0..count)
        .map(|index| {
            let (gap, prefill_rate) = SPEEDS[index % SPEEDS.len()];
            EngineConfig {
                slots: SLOTS,
                knee: KNEE,
                gap: Duration::from_millis(gap),
                gap_growth: GAP_GROWTH,
                prefill_rate,
                cache_blocks: CACHE_BLOCKS,
                report_lag,
                service_blocks: held_blocks.clone(),
                ..EngineConfig::default()
            }
        })
        .collect()
}

/// Returns the text requests per second that the engines can answer within the gap limit
/// when no prompt is cached.
#[must_use]
pub fn capacity(engines: &[EngineConfig], mix: &Mix) -> f64 {
    let (prompt, answer) = mix.mean_tokens();
    let each = engines.iter().map(|engine| {
        let decode = max_decode_rate(engine) / answer;
        let prefill = engine.prefill_rate / prompt;
        decode.min(prefill)
    });
    each.sum()
}

/// Returns the greatest token rate of an engine, per second, with every gap within the limit.
fn max_decode_rate(engine: &EngineConfig) -> f64 {
    let mut best = 0.0_f64;
    let mut rate = 0.0;
    for running in 1..=engine.slots {
        let gap = engine.gap_with(running);
        if gap <= GAP_LIMIT {
            rate += 1.0;
            best = best.max(rate / gap.as_secs_f64());
        }
    }
    best
}
