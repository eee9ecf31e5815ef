//! The order in which engines are preferred for a prompt where they are otherwise equal.

use std::cmp::Reverse;

use super::{ChainKey, PromptChain};
use crate::BackendKey;

/// Number of engines that are preferred for a shared prefix.
const PREFERRED: usize = 4;
/// Step of the rank from one preferred engine to the next. The others have random ranks between that
/// after the last preferred one and 1, so that their requests spread.
const RANK_STEP: f64 = 0.2;

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

    /// Moves the few engines that are preferred for the shared prefix to the front. Among these the
    /// whole prompt decides, so that the prompts of one session stay together and different ones
    /// spread.
    pub fn sort<T>(&self, engines: &mut [T], key_of: impl Fn(&T) -> BackendKey) {
        if engines.len() > PREFERRED {
            let by_shared = |it: &T| Reverse(score(self.shared, key_of(it)));
            engines.select_nth_unstable_by_key(PREFERRED - 1, by_shared);
        }
        let count = PREFERRED.min(engines.len());
        let preferred = &mut engines[..count];
        preferred.sort_by_cached_key(|it| Reverse(score(self.whole, key_of(it))));
    }

    /// Returns numbers from 0 to 1 to be used as tie break for engines in this order; without an
    /// order, the random ones.
    pub fn tie_breaks(
        order: Option<&Self>,
        mut random: impl FnMut() -> f64,
    ) -> impl FnMut() -> f64 {
        let preferred = order.map_or(0, |_| PREFERRED);
        let lowest = order.map_or(0.0, |_| 1.0 - RANK_STEP);
        let mut ranks = (0_u32..)
            .take(preferred)
            .map(|it| RANK_STEP * f64::from(it));
        move || {
            let rank = ranks.next();
            rank.unwrap_or_else(|| lowest + (1.0 - lowest) * random())
        }
    }
}

fn score(key: ChainKey, engine: BackendKey) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&engine.to_le_bytes(), key)
}
