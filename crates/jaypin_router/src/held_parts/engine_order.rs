//! The order in which engines are preferred for a prompt where they are otherwise equal.

use std::cmp::Reverse;

use super::{ChainKey, PromptChain};
use crate::BackendKey;

/// Number of engines that are preferred for a shared prefix.
const PREFERRED: usize = 4;
/// Step of the rank from one preferred engine to the next; all others have a rank of 1.
const RANK_STEP: f64 = 0.25;

/// A rendezvous order of engines, equal on all hosts.
///
/// Hosts that do not hear each other, or have not sent a segment yet, so send it to the same few
/// engines. The preference decides only between engines whose scores differ by less than their
/// random spread otherwise would, which is less than one request in a batch.
#[derive(Debug, Clone, Copy)]
pub struct EngineOrder {
    shared: ChainKey,
    whole: ChainKey,
}

impl EngineOrder {
    /// Returns the order for a prompt, unless it states no segments.
    #[must_use]
    pub fn of(prompt: &PromptChain) -> Option<Self> {
        let (shared, whole) = prompt.shared_and_whole()?;
        Some(Self { shared, whole })
    }

    /// Sorts engines: the few preferred for the shared prefix come first. Among these, and among the
    /// others, the whole prompt decides, so that the prompts of one session stay together and
    /// different ones spread.
    pub fn sort<T>(&self, engines: &mut [T], key_of: impl Fn(&T) -> BackendKey) {
        engines.sort_by_cached_key(|it| Reverse(score(self.shared, key_of(it))));
        let (preferred, others) = engines.split_at_mut(PREFERRED.min(engines.len()));
        preferred.sort_by_cached_key(|it| Reverse(score(self.whole, key_of(it))));
        others.sort_by_cached_key(|it| Reverse(score(self.whole, key_of(it))));
    }

    /// Returns numbers from 0 to 1 for engines in this order, to be used as tie break.
    pub fn ranks() -> impl FnMut() -> f64 {
        let mut next = 0.0;
        move || {
            let rank: f64 = next;
            next = (rank + RANK_STEP).min(1.0);
            rank
        }
    }
}

fn score(key: ChainKey, engine: BackendKey) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&engine.to_le_bytes(), key)
}
