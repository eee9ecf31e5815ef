//! Entries of backend servers that vanish without having been announced.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use jaypin_core::BackendId;

use super::Router;
use crate::Backend;

/// Time for which an entry that may have lapsed is still used.
///
/// Leases of backend servers run out while the store is away, and their entries are back
/// within two seconds of its return. A backend server that left without a word goes on
/// serving for two seconds, so nothing is lost by using it for a little less.
const GRACE: Duration = Duration::from_millis(1_700);
/// Time after a disturbance of the store for which entries missing from a listing count as
/// lapsed.
const DISTURBED: Duration = Duration::from_secs(3);
/// Time within which entries that vanish count as vanished together.
const TOGETHER: Duration = Duration::from_millis(500);
/// Part of a service's backend servers that does not leave together without a word, two
/// fifths: a third stands in one failure domain.
const TOO_MANY: (usize, usize) = (2, 5);

/// Entries that vanished, and when their backend servers are to be dropped.
#[derive(Debug, Default)]
pub struct Vanished {
    due: BTreeMap<BackendId, Instant>,
    dropped: VecDeque<(Instant, Backend)>,
    disturbed_at: Option<Instant>,
}

impl Vanished {
    /// The store did not answer as it should.
    pub fn disturbed(&mut self, now: Instant) {
        self.disturbed_at = Some(now);
    }

    /// An entry is back.
    pub fn is_back(&mut self, id: &BackendId) {
        self.due.remove(id);
        self.dropped.retain(|(_, backend)| backend.record.id != *id);
    }

    /// When the next backend server is to be dropped.
    pub fn next_due(&self) -> Option<Instant> {
        self.due.values().min().copied()
    }

    fn is_disturbed(&self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.disturbed_at.is_some_and(|at| age(at) < DISTURBED)
    }
}

impl Router {
    /// An entry is missing from a listing.
    pub(super) fn backend_missing(&mut self, id: BackendId, now: Instant) {
        let known = self.backends.get(&id);
        let was_ready = known.is_some_and(Backend::is_ready);
        if was_ready && self.vanished.is_disturbed(now) {
            self.vanished.due.entry(id).or_insert(now + GRACE);
        } else {
            self.remove_backend(&id);
        }
    }

    /// An entry was removed while the store was watched.
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

    /// Takes backend servers back of which too many vanished in one moment.
    ///
    /// Guards against a store that was away without this host's notice: its watch simply
    /// tells, once it is back, that all leases ran out. A fleet that believed it would have
    /// nowhere to send requests although every backend server is well.
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
