//! The segments of a prompt, with keys that stand for whole prefixes.

use crate::AccountKey;

/// Key of a prefix: a hash of the client account and of all segments up to its end.
pub type ChainKey = u64;

/// A segment of a prompt, as its caller states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSegment {
    /// Hash of its id.
    pub id: u64,
    /// Its number of tokens.
    pub tokens: u32,
}

/// A segment in its place: the same segment after others has another key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChainLink {
    /// Key of the prefix that ends with the segment. The number of tokens of the segment itself is
    /// no part of it, so that a session keeps its key while it grows.
    pub key: ChainKey,
    tokens_before: u32,
    tokens: u32,
}

impl ChainLink {
    /// Returns the number of tokens of the prefix.
    #[must_use]
    pub fn end(&self) -> u32 {
        self.tokens_before.saturating_add(self.tokens)
    }
}

/// The segments of one prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptChain {
    links: Vec<ChainLink>,
}

impl PromptChain {
    /// Creates the chain of an account's prompt.
    ///
    /// The keys are salted with the account: the same segments of two accounts have nothing in
    /// common, so no account learns from placement what another one sent.
    #[must_use]
    pub fn new(account: AccountKey, segments: &[PromptSegment]) -> Self {
        let mut salt = account;
        let mut tokens_before = 0_u32;
        let links = segments.iter().map(|segment| {
            let link = ChainLink {
                key: mix(segment.id, salt),
                tokens_before,
                tokens: segment.tokens,
            };
            salt = mix(segment.tokens.into(), link.key);
            tokens_before = link.end();
            link
        });
        Self {
            links: links.collect(),
        }
    }

    /// Returns whether the prompt has no segments.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Iterates over the segments in order.
    pub fn links(&self) -> impl Iterator<Item = &ChainLink> {
        self.links.iter()
    }

    /// Returns the segments at which prefixes are recorded: each is at least `min_tokens` longer
    /// than the one before.
    pub fn steps(&self, min_tokens: u32) -> impl Iterator<Item = &ChainLink> {
        let mut recorded = 0;
        self.links.iter().filter(move |link| {
            let is_long = link.end() >= min_tokens.saturating_add(recorded);
            if is_long {
                recorded = link.end();
            }
            is_long
        })
    }

    /// Returns the keys of the prefix that other prompts may share, without the last segment, and
    /// of the whole prompt.
    #[must_use]
    pub fn shared_and_whole(&self) -> Option<(ChainKey, ChainKey)> {
        let (whole, shared) = self.links.split_last()?;
        Some((shared.last().unwrap_or(whole).key, whole.key))
    }
}

fn mix(value: u64, salt: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&value.to_le_bytes(), salt)
}
