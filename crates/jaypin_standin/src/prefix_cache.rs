//! An engine's prefix cache in limited memory, with events that are late and have gaps.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Characters of a prompt that count as one token.
pub const CHARS_PER_TOKEN: usize = 4;
/// Tokens in one block.
const BLOCK_TOKENS: usize = 64;
/// Characters in one block.
const BLOCK_CHARS: usize = BLOCK_TOKENS * CHARS_PER_TOKEN;
/// Events kept for whoever asks.
const EVENTS_KEPT: usize = 10_000;

/// Blocks held by the engines of one service, shared by clones.
#[derive(Debug, Clone, Default)]
pub struct ServiceBlocks(Arc<Mutex<HashMap<u64, usize>>>);

impl ServiceBlocks {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, usize>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One change of a cache, as an engine tells it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; a number that is missing was lost.
    pub sequence: u64,
    /// Hash of the prompt from its start to the block's end, in hexadecimal.
    pub block: String,
    /// Whether the block was stored; else it was evicted.
    pub stored: bool,
}

/// Answer of `GET /cache-events?since=N`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Tokens in a block.
    pub block_tokens: usize,
    /// Events with numbers from N on.
    pub events: Vec<CacheEvent>,
    /// What to ask for next.
    pub next: u64,
}

/// What a prompt found in the cache, in tokens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Found {
    pub prefilled: u64,
    pub cached: u64,
    pub recomputed: u64,
}

/// Blocks in the order of their last use, and the events about them.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    capacity: usize,
    used: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    clock: u64,
    held: ServiceBlocks,
    events: VecDeque<(Instant, CacheEvent)>,
    next_event: u64,
    lag: Duration,
    loss: Option<u64>,
}

impl PrefixCache {
    /// An empty cache of so many blocks.
    pub(crate) fn new(
        capacity: usize,
        held: ServiceBlocks,
        lag: Duration,
        loss: Option<u64>,
    ) -> Self {
        Self {
            capacity,
            held,
            lag,
            loss,
            ..Self::default()
        }
    }

    /// Counts what of a prompt is there, and puts the rest there.
    pub(crate) fn take_up(&mut self, text: &str) -> Found {
        let tokens = text.len().div_ceil(CHARS_PER_TOKEN) as u64;
        let keys: Vec<u64> = (BLOCK_CHARS..=text.len())
            .step_by(BLOCK_CHARS)
            .map(|end| xxh3_64(&text.as_bytes()[..end]))
            .collect();
        let here = keys.iter().take_while(|key| self.used.contains_key(key));
        let here = here.count();
        let anywhere = {
            let held = self.held.lock();
            keys.iter().take_while(|key| held.contains_key(key)).count()
        };
        for key in keys {
            self.touch(key);
        }
        self.evict();
        let cached = (here * BLOCK_TOKENS) as u64;
        Found {
            prefilled: tokens.saturating_sub(cached),
            cached,
            recomputed: (anywhere.saturating_sub(here) * BLOCK_TOKENS) as u64,
        }
    }

    /// Events with numbers from `since` on that are old enough to be told.
    pub(crate) fn events(&self, since: u64) -> CacheEvents {
        let told = self
            .events
            .iter()
            .take_while(|(at, _)| at.elapsed() >= self.lag)
            .map(|(_, event)| event);
        let events: Vec<CacheEvent> = told
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

    /// Forgets everything, as a process that starts anew.
    pub(crate) fn clear(&mut self) {
        let keys: Vec<u64> = self.used.drain().map(|(key, _)| key).collect();
        for key in keys {
            self.let_go(key);
        }
        self.order.clear();
    }

    fn touch(&mut self, key: u64) {
        self.clock += 1;
        if self.used.insert(key, self.clock).is_none() {
            *self.held.lock().entry(key).or_default() += 1;
            self.tell(key, true);
        }
        self.order.push_back((key, self.clock));
    }

    /// Entries of the order whose block was used again later are stale and skipped.
    fn evict(&mut self) {
        while self.used.len() > self.capacity {
            let Some((key, at)) = self.order.pop_front() else {
                return;
            };
            if self.used.get(&key) == Some(&at) {
                self.used.remove(&key);
                self.let_go(key);
                self.tell(key, false);
            }
        }
    }

    fn let_go(&self, key: u64) {
        let mut held = self.held.lock();
        if let Some(count) = held.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                held.remove(&key);
            }
        }
    }

    fn tell(&mut self, key: u64, stored: bool) {
        self.next_event += 1;
        if self
            .loss
            .is_some_and(|one_in| self.next_event.is_multiple_of(one_in))
        {
            return;
        }
        let event = CacheEvent {
            sequence: self.next_event,
            block: format!("{key:016x}"),
            stored,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}
