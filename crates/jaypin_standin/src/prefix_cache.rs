//! The prefix cache of an engine: a limited number of blocks with least-recently-used eviction. It
//! reports its changes as events, which can be delayed and lost.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Number of bytes of a prompt that count as one token.
pub const CHARS_PER_TOKEN: usize = 4;
/// Number of tokens in one block.
const BLOCK_TOKENS: usize = 64;
/// Number of bytes in one block.
const BLOCK_CHARS: usize = BLOCK_TOKENS * CHARS_PER_TOKEN;
/// Number of events that are kept; older ones are dropped.
const MAX_EVENTS: usize = 10_000;

/// Blocks cached by the engines of one service, with the number of engines that cache each block.
///
/// Clones share the same counts.
#[derive(Debug, Clone, Default)]
pub struct ServiceBlocks(Arc<Mutex<HashMap<u64, usize>>>);

impl ServiceBlocks {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, usize>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One change of a prefix cache, as an engine reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event; a gap in the numbers means that events were lost.
    pub sequence: u64,
    /// Hash of the prompt from its start to the end of the block, as 16 hexadecimal digits.
    pub block: String,
    /// Whether the block was stored (`true`) or evicted (`false`).
    pub stored: bool,
}

/// Response to `GET /cache-events?since=N`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Number of tokens in a block.
    pub block_tokens: usize,
    /// Events with sequence numbers of N or more; empty if there are none yet.
    pub events: Vec<CacheEvent>,
    /// Value of `since` for the next request.
    pub next: u64,
}

/// Numbers of prompt tokens by what the engine did with them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PromptUsage {
    /// Tokens that must be prefilled.
    pub prefilled: u64,
    /// Tokens found in this cache.
    pub cached: u64,
    /// Tokens that must be prefilled although another engine of the service has them cached.
    pub recomputed: u64,
}

/// A prefix cache with least-recently-used eviction, and the events about its changes.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    capacity: usize,
    /// Time of last use of each cached block, by key, in units of `clock`.
    used: HashMap<u64, u64>,
    /// Uses as pairs of key and time, oldest first; a block has one entry for each use.
    order: VecDeque<(u64, u64)>,
    /// Number of uses so far.
    clock: u64,
    service_blocks: ServiceBlocks,
    events: VecDeque<(Instant, CacheEvent)>,
    next_event: u64,
    lag: Duration,
    loss: Option<u64>,
}

impl PrefixCache {
    /// Creates an empty cache with a capacity in blocks.
    ///
    /// Events become visible after `lag`; every event whose number is a multiple of `loss` is lost.
    pub(crate) fn new(
        capacity: usize,
        service_blocks: ServiceBlocks,
        lag: Duration,
        loss: Option<u64>,
    ) -> Self {
        Self {
            capacity,
            service_blocks,
            lag,
            loss,
            ..Self::default()
        }
    }

    /// Inserts all blocks of a prompt and returns how many of its tokens were already cached.
    pub(crate) fn insert_prompt(&mut self, text: &str) -> PromptUsage {
        let tokens = text.len().div_ceil(CHARS_PER_TOKEN) as u64;
        let keys: Vec<u64> = (BLOCK_CHARS..=text.len())
            .step_by(BLOCK_CHARS)
            .map(|end| xxh3_64(&text.as_bytes()[..end]))
            .collect();
        let cached_blocks = keys
            .iter()
            .take_while(|key| self.used.contains_key(key))
            .count();
        let blocks_in_service = {
            let counts = self.service_blocks.lock();
            keys.iter()
                .take_while(|key| counts.contains_key(key))
                .count()
        };
        for key in keys {
            self.touch(key);
        }
        self.evict();
        let cached = (cached_blocks * BLOCK_TOKENS) as u64;
        PromptUsage {
            prefilled: tokens.saturating_sub(cached),
            cached,
            recomputed: (blocks_in_service.saturating_sub(cached_blocks) * BLOCK_TOKENS) as u64,
        }
    }

    /// Returns the events with numbers of `since` or more that are at least `lag` old.
    pub(crate) fn events(&self, since: u64) -> CacheEvents {
        let visible = self
            .events
            .iter()
            .take_while(|(at, _)| at.elapsed() >= self.lag)
            .map(|(_, event)| event);
        let events: Vec<CacheEvent> = visible
            .filter(|event| event.sequence >= since)
            .cloned()
            .collect();
        let next = events.last().map_or(since, |event| event.sequence + 1);
        CacheEvents {
            block_tokens: BLOCK_TOKENS,
            events,
            next,
        }
    }

    /// Removes all blocks without recording events, as a restart of the engine does.
    pub(crate) fn clear(&mut self) {
        let keys: Vec<u64> = self.used.drain().map(|(key, _)| key).collect();
        for key in keys {
            self.release(key);
        }
        self.order.clear();
    }

    fn touch(&mut self, key: u64) {
        self.clock += 1;
        if self.used.insert(key, self.clock).is_none() {
            *self.service_blocks.lock().entry(key).or_default() += 1;
            self.record_event(key, true);
        }
        self.order.push_back((key, self.clock));
    }

    /// Evicts the least recently used blocks until the cache is within its capacity.
    ///
    /// Entries of `order` whose block was used again later are outdated and are skipped.
    fn evict(&mut self) {
        while self.used.len() > self.capacity {
            let Some((key, at)) = self.order.pop_front() else {
                return;
            };
            if self.used.get(&key) == Some(&at) {
                self.used.remove(&key);
                self.release(key);
                self.record_event(key, false);
            }
        }
    }

    fn release(&self, key: u64) {
        let mut counts = self.service_blocks.lock();
        if let Some(count) = counts.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&key);
            }
        }
    }

    fn record_event(&mut self, key: u64, stored: bool) {
        self.next_event += 1;
        if self
            .loss
            .is_some_and(|interval| self.next_event.is_multiple_of(interval))
        {
            return;
        }
        let event = CacheEvent {
            sequence: self.next_event,
            block: format!("{key:016x}"),
            stored,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
