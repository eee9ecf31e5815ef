//! The era of the store, as known to this host.
//!
//! A store may fail for a moment and return from a copy that is some seconds old. Points in its
//! history are compared by era first, so no earlier state takes precedence over what the store
//! states now. Entries that the copy may lack for a while are kept in the meantime.

use std::time::Instant;

use super::Router;
use crate::StoreEra;

/// Newest known era of the store.
#[derive(Debug, Default)]
pub struct KnownEra {
    /// Era that the store stated in responses to this host.
    stated: Option<StoreEra>,
    /// Era that peers reported.
    reported: Option<StoreEra>,
}

impl Router {
    /// Returns the newest era that the store stated in responses to this host. A response with a
    /// lower era belongs to a former history.
    #[must_use]
    pub fn stated_era(&self) -> Option<StoreEra> {
        self.era.stated
    }

    /// Returns the newest era that this host knows, including those reported by peers.
    #[must_use]
    pub fn store_era(&self) -> Option<StoreEra> {
        self.era.stated.max(self.era.reported)
    }

    pub(super) fn record_stated_era(&mut self, era: StoreEra, now: Instant) {
        let before = self.store_era();
        self.era.stated = self.era.stated.max(Some(era));
        self.handle_era_change(before, now);
    }

    pub(super) fn record_reported_era(&mut self, era: Option<StoreEra>, now: Instant) {
        let before = self.store_era();
        self.era.reported = self.era.reported.max(era);
        self.handle_era_change(before, now);
    }

    /// Handles a change of the era. Backend servers write the entries that the copy lacks again,
    /// so an entry that is missing for a moment counts as expired.
    fn handle_era_change(&mut self, before: Option<StoreEra>, now: Instant) {
        if before.is_some() && before != self.store_era() {
            self.missing_entries.record_store_failure(now);
            self.freshness
                .record_restore(self.last_boot_time.unwrap_or_default());
            self.report_state.report_whole_at_once();
        }
    }
}
