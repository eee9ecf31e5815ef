//! Prompt segments that engines are assumed to cache.
//!
//! A host assumes that an engine caches the prefix of a prompt that the engine began to answer. An
//! assumption ends when the engine must have taken up more tokens since than fit into its KV cache,
//! when it is old, or when the engine restarts. A wrong one costs a prefill, never an answer.

mod cache_clock;
mod engine_order;
mod held_reports;
mod prompt_chain;

pub use cache_clock::CacheClock;
pub use engine_order::EngineOrder;
pub use held_reports::{HeldReport, HeldReports};
pub use prompt_chain::{ChainKey, PromptChain, PromptSegment};

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Key of one run of an engine, with one version of its software.
pub type EngineRun = u32;

/// Shortest prefill that is worth an assumption. Less is lost in the variation of the time to the
/// first event.
pub const MIN_SAVED_TIME: Duration = Duration::from_millis(5);
/// Time after which an assumption ends that no request has confirmed.
///
/// At the load for which the requirements are written, an engine takes up its whole KV cache in half
/// of this time. It bounds errors that accumulate where hosts see little of an engine's load.
const MAX_AGE: Duration = Duration::from_mins(1);
/// Largest memory that all assumptions of a host may take, in bytes: 4% of the smallest hosts'
/// memory.
pub const MAX_BYTES: usize = 4 * 1024 * 1024;
/// Largest number of engines remembered for one segment. A segment that needs more is so hot that
/// nearly every engine caches it.
const MAX_HOLDERS: usize = 32;
/// Bytes of a segment's entry in the hash table: key and list header with a control byte, at the
/// least load factor of the table, and the allocator's overhead of the list.
const SEGMENT_BYTES: usize = (size_of::<(ChainKey, Vec<Holder>)>() + 1) * 16 / 7 + 16;

/// An engine that is assumed to cache a prefix.
#[derive(Debug, Clone, Copy)]
struct Holder {
    engine: EngineRun,
    /// Tokens of the whole prefix.
    tokens: u32,
    /// Reading of the engine's [`CacheClock`] when the prefix was last used.
    used_at: u64,
    at: Instant,
}

/// A prefix that an engine is assumed to cache.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeldPrefix {
    /// Its number of tokens.
    pub tokens: u32,
    /// Reading of the engine's [`CacheClock`] when it was last used.
    pub used_at: u64,
}

/// The assumptions about the segments of one prompt, on all engines.
#[derive(Debug, Default)]
pub struct HeldPrompt {
    /// Sorted by engine.
    prefixes: Vec<(EngineRun, HeldPrefix)>,
}

impl HeldPrompt {
    /// Returns the longest prefix that an engine caches whose oldest cached token was used at
    /// `oldest` on its clock.
    #[must_use]
    pub fn longest(&self, engine: EngineRun, oldest: u64) -> HeldPrefix {
        let first = self.prefixes.partition_point(|it| it.0 < engine);
        let of_engine = self.prefixes[first..].iter();
        let of_engine = of_engine.take_while(|it| it.0 == engine);
        let cached = of_engine.map(|it| it.1).filter(|it| it.used_at >= oldest);
        cached.max_by_key(|it| it.tokens).unwrap_or_default()
    }

    /// Returns whether no engine is assumed to cache anything of the prompt.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }
}

/// What a host assumes of the KV caches of all engines, in bounded memory.
///
/// Segments are kept in two generations. A segment that is used moves to the recent one; when that
/// is full, the other one is dropped. Segments are so forgotten in about the order of their last use,
/// without an order that costs memory.
#[derive(Debug, Default)]
pub struct HeldParts {
    recent: Generation,
    previous: Generation,
}

#[derive(Debug, Default)]
struct Generation {
    segments: HashMap<ChainKey, Vec<Holder>>,
    bytes: usize,
}

impl HeldParts {
    /// Records that an engine, whose clock reads `used_at`, caches the whole prompt. Prefixes are
    /// recorded at steps of at least `min_tokens`.
    pub fn record(
        &mut self,
        prompt: &PromptChain,
        engine: EngineRun,
        used_at: u64,
        min_tokens: u32,
        now: Instant,
    ) {
        for link in prompt.steps(min_tokens) {
            let prefix = HeldPrefix {
                tokens: link.end(),
                used_at,
            };
            self.record_prefix(link.key, engine, prefix, now);
        }
    }

    /// Records that an engine caches the prefix with this key.
    pub fn record_prefix(
        &mut self,
        key: ChainKey,
        engine: EngineRun,
        prefix: HeldPrefix,
        now: Instant,
    ) {
        if self.recent.bytes >= MAX_BYTES / 2 {
            self.previous = std::mem::take(&mut self.recent);
        }
        let mut holders = self.recent.take(key);
        if holders.is_empty() {
            holders = self.previous.take(key);
        }
        holders.retain(|it| it.engine != engine && now.saturating_duration_since(it.at) < MAX_AGE);
        if holders.len() >= MAX_HOLDERS {
            let oldest = holders.iter().enumerate().min_by_key(|(_, it)| it.at);
            if let Some((index, _)) = oldest {
                holders.swap_remove(index);
            }
        }
        if holders.capacity() == 0 {
            holders.reserve_exact(1);
        }
        holders.push(Holder {
            engine,
            tokens: prefix.tokens,
            used_at: prefix.used_at,
            at: now,
        });
        self.recent.insert(key, holders);
    }

    /// Returns what is assumed about the segments of a prompt.
    #[must_use]
    pub fn find(&self, prompt: &PromptChain, now: Instant) -> HeldPrompt {
        let mut prefixes = Vec::new();
        for link in prompt.links() {
            let holders = self.holders(link.key).iter();
            let fresh = holders.filter(|it| now.saturating_duration_since(it.at) < MAX_AGE);
            prefixes.extend(fresh.map(|it| {
                let prefix = HeldPrefix {
                    tokens: it.tokens.min(link.end()),
                    used_at: it.used_at,
                };
                (it.engine, prefix)
            }));
        }
        prefixes.sort_unstable_by_key(|it| it.0);
        HeldPrompt { prefixes }
    }

    /// Returns the memory that the assumptions take, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.recent.bytes + self.previous.bytes
    }

    /// Returns the number of segments about which something is assumed.
    #[must_use]
    pub fn segments(&self) -> usize {
        self.recent.segments.len() + self.previous.segments.len()
    }

    fn holders(&self, key: ChainKey) -> &[Holder] {
        let holders = self.recent.segments.get(&key);
        let holders = holders.or_else(|| self.previous.segments.get(&key));
        holders.map_or(&[], Vec::as_slice)
    }
}

impl Generation {
    fn take(&mut self, key: ChainKey) -> Vec<Holder> {
        let holders = self.segments.remove(&key);
        let holders = holders.unwrap_or_default();
        if holders.capacity() > 0 {
            self.bytes -= bytes_of(&holders);
        }
        holders
    }

    fn insert(&mut self, key: ChainKey, holders: Vec<Holder>) {
        self.bytes += bytes_of(&holders);
        self.segments.insert(key, holders);
    }
}

fn bytes_of(holders: &Vec<Holder>) -> usize {
    SEGMENT_BYTES + holders.capacity() * size_of::<Holder>()
}
