//! Entries of backend servers that disappear without a leave announcement.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use jaypin_core::BackendId;

use super::Router;
use crate::Backend;

/// Time for which a backend server is still used after its entry may have expired.
///
/// The leases of backend servers expire while the store is unavailable, and their entries
/// reappear within two seconds of its return. A backend server that leaves without an
/// announcement keeps serving for two seconds, so nothing is lost by using it for slightly less.
const GRACE: Duration = Duration::from_millis(1_700);
/// Time after a failure of the store during which entries missing from a list count as expired.
const DISTURBED: Duration = Duration::from_secs(3);
/// Time within which entries that disappear count as having disappeared together.
const TOGETHER: Duration = Duration::from_millis(500);
/// Part of a service's backend servers that does not leave together without an announcement, as
/// numerator and denominator. It is two fifths, since a third is in one failure domain.
const TOO_MANY: (usize, usize) = (2, 5);

/// Entries that disappeared, and when their backend servers are dropped.
#[derive(Debug, Default)]
pub struct Vanished {
    /// When each backend server with a missing entry is dropped.
    due: BTreeMap<BackendId, Instant>,
    /// Backend servers that were dropped recently, oldest first, and when.
    dropped: VecDeque<(Instant, Backend)>,
    disturbed_at: Option<Instant>,
}

impl Vanished {
    /// Records that the store failed.
    pub fn disturbed(&mut self, now: Instant) {
        self.disturbed_at = Some(now);
    }

    /// Records that an entry exists again.
    pub fn is_back(&mut self, id: &BackendId) {
        self.due.remove(id);
        self.dropped.retain(|(_, backend)| backend.record.id != *id);
    }

    /// Returns when the next backend server is dropped.
    pub fn next_due(&self) -> Option<Instant> {
        self.due.values().min().copied()
    }

    fn is_disturbed(&self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.disturbed_at.is_some_and(|at| age(at) < DISTURBED)
    }
}

impl Router {
    /// Handles an entry that is missing from a list. Its backend server is dropped, or is kept
    /// for a while if the store failed recently.
    pub(super) fn backend_missing(&mut self, id: BackendId, now: Instant) {
        let known = self.backends.get(&id);
        let was_ready = known.is_some_and(Backend::is_ready);
        if was_ready && self.vanished.is_disturbed(now) {
            self.vanished.due.entry(id).or_insert(now + GRACE);
        } else {
            self.remove_backend(&id);
        }
    }

    /// Handles an entry that was removed while the store was watched.
    pub(super) fn backend_removed(&mut self, id: &BackendId, now: Instant) {
        let Some(backend) = self.remove_backend(id) else {
            return;
        };
        self.vanished.due.remove(id);
        if backend.is_ready() {
            self.vanished.dropped.push_back((now, backend));
            self.take_back_lapsed(now);
        }
    }

    /// Restores backend servers if too many of a service disappeared together.
    ///
    /// Guards against an outage of the store that this host did not notice. When the store
    /// returns, the watch reports that all leases expired. A fleet that relied on this would
    /// have nowhere to send requests although every backend server is running.
    fn take_back_lapsed(&mut self, now: Instant) {
        let dropped = &mut self.vanished.dropped;
        let is_old = |it: &(Instant, Backend)| now.saturating_duration_since(it.0) >= TOGETHER;
        while dropped.front().is_some_and(is_old) {
            dropped.pop_front();
        }
        let Some((_, newest)) = dropped.back() else {
            return;
        };
        let service = newest.record.service.clone();
        let is_of_service = |it: &&(Instant, Backend)| it.1.record.service == service;
        let gone = dropped.iter().filter(is_of_service).count();
        let left = self.backends.values();
        let left = left.filter(|it| it.record.service == service).count();
        let is_usual = gone * TOO_MANY.1 < (gone + left) * TOO_MANY.0;
        if gone < 2 || is_usual {
            return;
        }
        for (at, backend) in std::mem::take(dropped) {
            let id = backend.record.id.clone();
            self.vanished.due.insert(id.clone(), at + GRACE);
            self.backends.insert(backend);
            self.views.invalidate();
        }
    }

    pub(super) fn drop_vanished(&mut self, now: Instant) {
        let due = self.vanished.due.extract_if(.., |_, at| now >= *at);
        let due: Vec<_> = due.map(|(id, _)| id).collect();
        for id in due {
            self.remove_backend(&id);
        }
    }

    fn remove_backend(&mut self, id: &str) -> Option<Backend> {
        self.views.invalidate();
        self.backends.remove(id)
    }
}
