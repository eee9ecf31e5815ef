//! The tokens that an engine has taken up, as a clock for the age of what it caches.

/// Fraction of the KV cache that is counted on. The rest covers what hosts don't see: generated
/// tokens, and prompts that a peer sent and the engine read between two reports.
const USABLE_FRACTION: f64 = 0.8;

/// Counts the tokens that an engine has taken up since this host knows its run.
///
/// An engine evicts what was used least recently, and only to take up other tokens. So the tokens
/// taken up since the last use of a prefix say whether it is still cached.
#[derive(Debug, Clone, Copy, Default)]
pub struct CacheClock {
    tokens: f64,
    /// Reading up to which everything proved to be evicted.
    evicted_until: u64,
}

impl CacheClock {
    /// Records that the engine has taken up tokens.
    pub fn advance(&mut self, tokens: f64) {
        self.tokens += tokens;
    }

    /// Returns the number of tokens taken up.
    #[must_use]
    pub fn read(&self) -> u64 {
        whole(self.tokens)
    }

    /// Returns the reading at which the oldest token was used that is still cached, in a KV cache of
    /// `capacity` tokens of which running requests take `running`.
    #[must_use]
    pub fn oldest_cached(&self, capacity: u64, running: f64) -> u64 {
        let space = approximate(capacity) * USABLE_FRACTION - running;
        let oldest = if space > 0.0 {
            // Rounded up, so that a reading that has just fallen out of the cache counts as evicted.
            whole((self.tokens - space).ceil())
        } else {
            u64::MAX
        };
        oldest.max(self.evicted_until)
    }

    /// Records that a prefix that was last used at this reading proved to be evicted, and with it
    /// all that was not used since.
    pub fn record_evicted(&mut self, used_at: u64) {
        self.evicted_until = self.evicted_until.max(used_at.saturating_add(1));
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "such casts saturate at the bounds of the type"
)]
fn whole(tokens: f64) -> u64 {
    tokens as u64
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a cache size needs no more than 53 bits"
)]
fn approximate(tokens: u64) -> f64 {
    tokens as f64
}
