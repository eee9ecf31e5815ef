//! What this host knows of the store's era.
//!
//! The pattern: a store that is away for a moment and comes back from a copy some seconds old.
//! Points in its history are compared by era first, so nothing that is known from before goes
//! before what the store says now; what the copy may lack for a while is kept meanwhile.

use std::time::Instant;

use super::Router;
use crate::StoreEra;

/// The store's era.
#[derive(Debug, Default)]
pub struct KnownEra {
    /// By the store's own answers.
    stated: Option<StoreEra>,
    /// By peers.
    heard: Option<StoreEra>,
}

impl Router {
    /// The store's era by its own answers to this host: one that states a lower era is of a
    /// former history.
    #[must_use]
    pub fn stated_era(&self) -> Option<StoreEra> {
        self.era.stated
    }

    /// The newest era that this host knows of, also from peers.
    #[must_use]
    pub fn store_era(&self) -> Option<StoreEra> {
        self.era.stated.max(self.era.heard)
    }

    pub(super) fn store_stated_era(&mut self, era: StoreEra, now: Instant) {
        let before = self.store_era();
        self.era.stated = self.era.stated.max(Some(era));
        self.compare_eras(before, now);
    }

    pub(super) fn heard_of_era(&mut self, era: Option<StoreEra>, now: Instant) {
        let before = self.store_era();
        self.era.heard = self.era.heard.max(era);
        self.compare_eras(before, now);
    }

    /// Entries that the copy lacks are written again by their backend servers, so that one
    /// that is missing for a moment counts as lapsed.
    fn compare_eras(&mut self, before: Option<StoreEra>, now: Instant) {
        if before.is_some() && before != self.store_era() {
            self.vanished.disturbed(now);
            self.telling.whole_is_due();
        }
    }
}
