//! Engines of three speeds, and what they can do together.

use std::time::Duration;

use jaypin_standin::{EngineConfig, ServiceBlocks};

use super::Mix;

/// Longest time between tokens at which a running stream counts as served.
const GAP_LIMIT: Duration = Duration::from_millis(66);
/// Gap in milliseconds and prefill rate in tokens a second, fastest first.
const SPEEDS: [(u64, f64); 3] = [(25, 6_000.0), (35, 4_000.0), (50, 2_500.0)];
/// Streams an engine admits at once.
const SLOTS: usize = 16;
/// Streams an engine runs without slowing down.
const KNEE: usize = 6;
/// Share by which each stream beyond the knee lengthens the gap.
const GAP_GROWTH: f64 = 0.1;
/// Blocks in an engine's prefix cache: fewer than all accounts' prefixes need.
const CACHE_BLOCKS: usize = 256;

/// So many engines of three speeds, which share a count of the blocks they hold.
#[must_use]
pub fn unlike_engines(count: usize, report_lag: Duration) -> Vec<EngineConfig> {
    let held = ServiceBlocks::default();
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
                service_blocks: held.clone(),
                ..EngineConfig::default()
            }
        })
        .collect()
}

/// Text requests a second that the engines can answer within the gap limit, nothing cached.
#[must_use]
pub fn capacity(engines: &[EngineConfig], mix: &Mix) -> f64 {
    let (prompt, answer) = mix.mean_tokens();
    let each = engines.iter().map(|engine| {
        let decode = decode_rate(engine) / answer;
        let prefill = engine.prefill_rate / prompt;
        decode.min(prefill)
    });
    each.sum()
}

/// Most tokens a second that an engine makes with every gap within the limit.
fn decode_rate(engine: &EngineConfig) -> f64 {
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
