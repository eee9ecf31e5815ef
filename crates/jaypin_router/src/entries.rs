//! The entries of backend servers as the store has them, and what changed lately.

use std::collections::{BTreeMap, VecDeque};

use jaypin_core::BackendId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{BackendRecord, BackendStatus};

/// Reports that tell a change: two of three may be lost.
const TIMES_TOLD: u32 = 3;
/// Changes in one report, so that it fits a datagram; more are told by the next ones.
const MOST_TOLD: usize = 24;

/// Entries whose revisions are remembered; of those that are gone the oldest are forgotten.
const MOST_REVISIONS: usize = 4_096;

/// A change of an entry, as hosts that watch the store tell it to the others.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryChange {
    /// It states this.
    Stated {
        /// The statement.
        record: BackendRecord,
        /// The store's revision of it.
        revision: u64,
    },
    /// It is gone.
    Removed {
        /// The backend server.
        id: BackendId,
        /// A revision of the store at which it was gone.
        revision: u64,
    },
}

impl EntryChange {
    fn id(&self) -> &BackendId {
        match self {
            Self::Stated { record, .. } => &record.id,
            Self::Removed { id, .. } => id,
        }
    }

    fn revision(&self) -> u64 {
        match self {
            Self::Stated { revision, .. } | Self::Removed { revision, .. } => *revision,
        }
    }
}

/// Entries by hash, so that two hosts can compare what they know by one number.
#[derive(Debug, Default)]
pub struct Entries {
    hashes: BTreeMap<BackendId, u64>,
    /// Newest revision heard of each entry, also of those that are gone.
    revisions: BTreeMap<BackendId, u64>,
    digest: u64,
    news: VecDeque<(EntryChange, u32)>,
}

impl Entries {
    /// A number that is the same on hosts which know the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Ids of all entries.
    pub fn ids(&self) -> impl Iterator<Item = &BackendId> {
        self.hashes.keys()
    }

    /// Whether something newer than a revision was heard of an entry.
    #[must_use]
    pub fn is_newer(&self, id: &str, revision: u64) -> bool {
        self.revisions
            .get(id)
            .is_some_and(|newest| *newest > revision)
    }

    /// All entries, with their revisions.
    pub fn stated(&self) -> impl Iterator<Item = (&BackendId, u64)> {
        let revisions = self.revisions.iter();
        let stated = revisions.filter(|(id, _)| self.hashes.contains_key(*id));
        stated.map(|(id, revision)| (id, *revision))
    }

    /// Those that are gone, with a revision at which they were.
    pub fn removed(&self) -> impl Iterator<Item = (&BackendId, u64)> {
        let revisions = self.revisions.iter();
        let gone = revisions.filter(|(id, _)| !self.hashes.contains_key(*id));
        gone.map(|(id, revision)| (id, *revision))
    }

    /// Takes a change; says whether it is one.
    ///
    /// Guards against an older state that is told after a newer one, by another watcher or
    /// a late datagram: a backend server that leaves would be taken for ready again.
    pub fn take(&mut self, change: &EntryChange) -> bool {
        let id = change.id();
        let newest = self.revisions.get(id).copied();
        if newest.is_some_and(|newest| change.revision() <= newest) {
            return false;
        }
        self.revisions.insert(id.clone(), change.revision());
        self.forget_oldest();
        let new = match change {
            EntryChange::Stated { record, .. } => Some(hash(record)),
            EntryChange::Removed { .. } => None,
        };
        let old = match new {
            Some(new) => self.hashes.insert(id.clone(), new),
            None => self.hashes.remove(id),
        };
        if old == new {
            return false;
        }
        self.digest ^= old.unwrap_or_default() ^ new.unwrap_or_default();
        true
    }

    fn forget_oldest(&mut self) {
        if self.revisions.len() <= MOST_REVISIONS {
            return;
        }
        let gone = self.revisions.iter();
        let gone = gone.filter(|(id, _)| !self.hashes.contains_key(*id));
        let oldest = gone.min_by_key(|(_, revision)| **revision);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.revisions.remove(&id);
        }
    }

    /// Keeps a change to be told.
    pub fn tell(&mut self, change: EntryChange) {
        self.news.retain(|(known, _)| known.id() != change.id());
        self.news.push_back((change, 0));
    }

    /// Takes what the next report tells.
    pub fn next_news(&mut self) -> Vec<EntryChange> {
        let told = self.news.iter_mut().take(MOST_TOLD);
        let news = told.map(|(change, times)| {
            *times += 1;
            change.clone()
        });
        let news = news.collect();
        self.news.retain(|(_, times)| *times < TIMES_TOLD);
        news
    }
}

fn hash(record: &BackendRecord) -> u64 {
    let is_ready = u64::from(record.status == BackendStatus::Ready);
    let id = xxh3_64_with_seed(record.id.as_bytes(), record.started);
    let address = xxh3_64_with_seed(record.address.as_bytes(), id);
    let version = xxh3_64_with_seed(record.version.as_bytes(), address);
    xxh3_64_with_seed(&record.slots.to_le_bytes(), version ^ is_ready)
}
