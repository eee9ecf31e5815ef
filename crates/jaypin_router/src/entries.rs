//! The entries of backend servers as the store has them, and what changed lately.

use std::collections::{BTreeMap, VecDeque};

use jaypin_core::BackendId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{BackendRecord, BackendStatus, StorePoint};

/// Reports that tell a change: two of three may be lost.
const TIMES_TOLD: u32 = 3;
/// Changes in one report, so that it fits a datagram; more are told by the next ones.
const MOST_TOLD: usize = 24;

/// Entries whose points are remembered; of those that are gone the oldest are forgotten.
const MOST_POINTS: usize = 4_096;

/// A change of an entry, as hosts that watch the store tell it to the others.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryChange {
    /// It states this.
    Stated {
        /// The statement.
        record: BackendRecord,
        /// When that was so, in the store's history.
        point: StorePoint,
    },
    /// It is gone.
    Removed {
        /// The backend server.
        id: BackendId,
        /// A point in the store's history at which it was gone.
        point: StorePoint,
    },
}

impl EntryChange {
    fn id(&self) -> &BackendId {
        match self {
            Self::Stated { record, .. } => &record.id,
            Self::Removed { id, .. } => id,
        }
    }

    fn point(&self) -> StorePoint {
        match self {
            Self::Stated { point, .. } | Self::Removed { point, .. } => *point,
        }
    }
}

/// Entries by hash, so that two hosts can compare what they know by one number.
#[derive(Debug, Default)]
pub struct Entries {
    hashes: BTreeMap<BackendId, u64>,
    /// Newest point heard of each entry, also of those that are gone.
    points: BTreeMap<BackendId, StorePoint>,
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

    /// Whether something newer than a point was heard of an entry.
    #[must_use]
    pub fn has_newer(&self, id: &str, point: StorePoint) -> bool {
        self.points.get(id).is_some_and(|newest| *newest > point)
    }

    /// All entries, with their points.
    pub fn stated(&self) -> impl Iterator<Item = (&BackendId, StorePoint)> {
        let points = self.points.iter();
        let stated = points.filter(|(id, _)| self.hashes.contains_key(*id));
        stated.map(|(id, point)| (id, *point))
    }

    /// Those that are gone, with a point at which they were.
    pub fn removed(&self) -> impl Iterator<Item = (&BackendId, StorePoint)> {
        let points = self.points.iter();
        let gone = points.filter(|(id, _)| !self.hashes.contains_key(*id));
        gone.map(|(id, point)| (id, *point))
    }

    /// Takes a change; says whether it is one.
    ///
    /// Guards against an older state that is told after a newer one, by another watcher or
    /// a late datagram: a backend server that leaves would be taken for ready again.
    pub fn apply(&mut self, change: &EntryChange) -> bool {
        let id = change.id();
        let newest = self.points.get(id).copied();
        if newest.is_some_and(|newest| change.point() <= newest) {
            return false;
        }
        self.points.insert(id.clone(), change.point());
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
        if self.points.len() <= MOST_POINTS {
            return;
        }
        let gone = self.points.iter();
        let gone = gone.filter(|(id, _)| !self.hashes.contains_key(*id));
        let oldest = gone.min_by_key(|(_, point)| **point);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.points.remove(&id);
        }
    }

    /// Keeps a change to be told.
    pub fn queue(&mut self, change: EntryChange) {
        self.news.retain(|(known, _)| known.id() != change.id());
        self.news.push_front((change, 0));
    }

    /// Takes what the next report tells: each change once before any is told again.
    pub fn next_changes(&mut self) -> Vec<EntryChange> {
        let count = self.news.len().min(MOST_TOLD);
        let told: Vec<_> = self.news.drain(..count).collect();
        let news = told.iter().map(|(change, _)| change.clone()).collect();
        let again = told.into_iter().map(|(change, times)| (change, times + 1));
        self.news
            .extend(again.filter(|(_, times)| *times < TIMES_TOLD));
        news
    }

    /// Whether a change waits to be told for the first time.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        self.news.front().is_some_and(|(_, times)| *times == 0)
    }
}

fn hash(record: &BackendRecord) -> u64 {
    let is_ready = u64::from(record.status == BackendStatus::Ready);
    let id = xxh3_64_with_seed(record.id.as_bytes(), record.started);
    let address = xxh3_64_with_seed(record.address.as_bytes(), id);
    let version = xxh3_64_with_seed(record.version.as_bytes(), address);
    xxh3_64_with_seed(&record.slots.to_le_bytes(), version ^ is_ready)
}
