//! Entries of backend servers that disappear without a leave announcement.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use jaypin_core::BackendId;

use super::Router;
use crate::Backend;

/// Time after a failure of the store during which entries missing from a list count as expired.
const STORE_FAILURE_WINDOW: Duration = Duration::from_secs(3);
/// Time within which entries that disappear count as having disappeared together.
const SIMULTANEOUS_WINDOW: Duration = Duration::from_millis(500);
/// Part of a service's backend servers that does not leave together without an announcement, as
/// numerator and denominator. It is two fifths, since a third is in one failure domain.
const SUSPICIOUS_FRACTION: (usize, usize) = (2, 5);

/// Entries that disappeared, and when their backend servers are dropped.
#[derive(Debug, Default)]
pub struct MissingEntries {
    /// When each backend server with a missing entry is dropped.
    due: BTreeMap<BackendId, Instant>,
    /// Backend servers that were dropped recently, oldest first.
    dropped: VecDeque<Dropped>,
    store_failed_at: Option<Instant>,
}

/// A backend server that was dropped because its entry was removed.
#[derive(Debug)]
struct Dropped {
    at: Instant,
    /// Until when it may be used if its entry has only expired.
    grace_until: Instant,
    backend: Backend,
}

impl MissingEntries {
    /// Records that the store failed.
    pub fn record_store_failure(&mut self, now: Instant) {
        self.store_failed_at = Some(now);
    }

    /// Records that an entry exists again.
    pub fn remove(&mut self, id: &BackendId) {
        self.due.remove(id);
        self.dropped.retain(|it| it.backend.record.id != *id);
    }

    /// Returns when the next backend server is dropped.
    pub fn next_due(&self) -> Option<Instant> {
        self.due.values().min().copied()
    }

    fn has_store_failed_recently(&self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.store_failed_at
            .is_some_and(|at| age(at) < STORE_FAILURE_WINDOW)
    }
}

impl Router {
    /// Handles an entry that is missing from a list. Its backend server is dropped, or is kept
    /// for a while if the store failed recently.
    pub(super) fn handle_missing_entry(&mut self, id: BackendId, now: Instant) {
        let known = self.backends.get(&id);
        let was_ready = known.is_some_and(Backend::is_ready);
        let until = self.expiry_grace_until(now);
        if was_ready && until > now && self.missing_entries.has_store_failed_recently(now) {
            self.missing_entries.due.entry(id).or_insert(until);
        } else {
            self.remove_backend(&id, now);
        }
    }

    /// Handles an entry that was removed while the store was watched.
    pub(super) fn handle_removed_entry(&mut self, id: &BackendId, now: Instant) {
        let Some(backend) = self.remove_backend(id, now) else {
            return;
        };
        self.missing_entries.due.remove(id);
        if backend.is_ready() {
            let grace_until = self.expiry_grace_until(now);
            self.missing_entries.dropped.push_back(Dropped {
                at: now,
                grace_until,
                backend,
            });
            self.restore_expired(now);
        }
    }

    /// Restores backend servers if too many of a service disappeared together.
    ///
    /// Guards against an outage of the store that this host did not notice. When the store
    /// returns, the watch reports that all leases expired. A fleet that relied on this would
    /// have nowhere to send requests although every backend server is running.
    fn restore_expired(&mut self, now: Instant) {
        let dropped = &mut self.missing_entries.dropped;
        let is_old = |it: &Dropped| now.saturating_duration_since(it.at) >= SIMULTANEOUS_WINDOW;
        while dropped.front().is_some_and(is_old) {
            dropped.pop_front();
        }
        let Some(newest) = dropped.back() else {
            return;
        };
        let service = newest.backend.record.service.clone();
        let is_of_service = |it: &&Dropped| it.backend.record.service == service;
        let removed = dropped.iter().filter(is_of_service).count();
        let left = self.backends.values();
        let left = left.filter(|it| it.record.service == service).count();
        let is_plausible =
            removed * SUSPICIOUS_FRACTION.1 < (removed + left) * SUSPICIOUS_FRACTION.0;
        if removed < 2 || is_plausible {
            return;
        }
        let restored = std::mem::take(dropped);
        for it in restored.into_iter().filter(|it| now < it.grace_until) {
            let id = it.backend.record.id.clone();
            self.missing_entries.due.insert(id, it.grace_until);
            self.backends.insert(it.backend);
            self.stable_subsets.invalidate();
        }
    }

    /// Returns until when a backend server may be used whose entry is found missing now.
    fn expiry_grace_until(&self, now: Instant) -> Instant {
        let boot_time = self.last_boot_time.unwrap_or_default();
        let limit = self.cfg.bounds.leave_limit;
        now + self.freshness.expiry_grace(limit, boot_time)
    }

    pub(super) fn drop_missing_backends(&mut self, now: Instant) {
        let due = self.missing_entries.due.extract_if(.., |_, at| now >= *at);
        let due: Vec<_> = due.map(|(id, _)| id).collect();
        for id in due {
            self.remove_backend(&id, now);
        }
    }

    fn remove_backend(&mut self, id: &str, now: Instant) -> Option<Backend> {
        self.stable_subsets.invalidate();
        let removed = self.backends.remove(id)?;
        self.record_departed_version(&removed, now);
        Some(removed)
    }
}
