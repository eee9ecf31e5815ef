//! Entries of backend servers as the store has them, and their recent changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use jaypin_core::BackendId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{BackendRecord, BackendStatus, StorePoint};

/// Number of reports that contain a change: two of three may be lost.
const REPORTS_PER_CHANGE: u32 = 3;
/// Greatest number of changes in one report, so that it fits into a datagram; the next reports
/// contain the others.
const MAX_CHANGES_PER_REPORT: usize = 24;

/// Number of removed entries whose points are kept; beyond it, the oldest are dropped.
const MAX_REMOVED: usize = 4_096;

/// A change of an entry, as hosts that watch the store send it to the others.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryChange {
    /// The entry has this record.
    Stated {
        /// The record.
        record: BackendRecord,
        /// Point in the store's history at which it had this record.
        point: StorePoint,
    },
    /// The entry was removed.
    Removed {
        /// Id of the backend server.
        id: BackendId,
        /// A point in the store's history at which it did not exist.
        point: StorePoint,
    },
}

/// From whom a host learned of a change of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntrySource {
    /// A response of the store to this host.
    Store,
    /// A peer's report.
    Report,
    /// All entries of a peer.
    Transfer,
}

/// Why a backend server gets no further requests, as its entry says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveState {
    /// The entry states that it leaves.
    Stated,
    /// The entry was removed.
    Removed,
}

impl EntryChange {
    /// Returns the id of the backend server.
    #[must_use]
    pub fn id(&self) -> &BackendId {
        match self {
            Self::Stated { record, .. } => &record.id,
            Self::Removed { id, .. } => id,
        }
    }

    /// Returns the point in the store's history at which the entry was like this.
    #[must_use]
    pub fn point(&self) -> StorePoint {
        match self {
            Self::Stated { point, .. } | Self::Removed { point, .. } => *point,
        }
    }
}

/// Entries by hash, so that two hosts can compare what they know by one number.
#[derive(Debug, Default)]
pub struct Entries {
    hashes: BTreeMap<BackendId, u64>,
    /// Newest known point of each entry, including removed ones.
    points: BTreeMap<BackendId, StorePoint>,
    /// The removed entries by their points, the oldest first.
    removed: BTreeSet<(StorePoint, BackendId)>,
    /// Newest point of a removed entry that was dropped.
    dropped: StorePoint,
    /// Newest point of all entries.
    newest: StorePoint,
    digest: u64,
    /// Changes to be sent, each with the number of reports that contained it.
    unsent: VecDeque<(EntryChange, u32)>,
}

impl Entries {
    /// Returns a number that is equal on hosts that know the same entries.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Iterates over the ids of all entries.
    pub fn ids(&self) -> impl Iterator<Item = &BackendId> {
        self.hashes.keys()
    }

    /// Returns whether something newer than `point` is known of an entry.
    #[must_use]
    pub fn has_newer(&self, id: &str, point: StorePoint) -> bool {
        self.points.get(id).is_some_and(|newest| *newest > point)
    }

    /// Iterates over all entries, with their points.
    pub fn stated(&self) -> impl Iterator<Item = (&BackendId, StorePoint)> {
        let points = self.points.iter();
        let stated = points.filter(|(id, _)| self.hashes.contains_key(*id));
        stated.map(|(id, point)| (id, *point))
    }

    /// Iterates over the removed entries, each with a point at which it did not exist.
    pub fn removed(&self) -> impl Iterator<Item = (&BackendId, StorePoint)> {
        self.removed.iter().map(|(point, id)| (id, *point))
    }

    /// Returns the newest point at which an entry changed.
    #[must_use]
    pub fn newest_point(&self) -> StorePoint {
        self.newest
    }

    /// Returns whether all changes after a point are known, also those of entries that were
    /// removed.
    #[must_use]
    pub fn knows_changes_since(&self, point: StorePoint) -> bool {
        point.era == self.newest.era && point >= self.dropped
    }

    /// Applies a change; returns whether it changed anything.
    ///
    /// A state that is older than the known one is ignored. Another watcher or a late datagram
    /// may deliver it after a newer one, and a backend server that is leaving would count as
    /// ready again.
    pub fn apply(&mut self, change: &EntryChange) -> bool {
        let id = change.id();
        let newest = self.points.get(id).copied();
        if newest.is_some_and(|newest| change.point() <= newest) {
            return false;
        }
        let point = change.point();
        self.points.insert(id.clone(), point);
        self.newest = self.newest.max(point);
        if let Some(newest) = newest {
            self.removed.remove(&(newest, id.clone()));
        }
        if matches!(change, EntryChange::Removed { .. }) {
            self.removed.insert((point, id.clone()));
            self.drop_oldest_removed();
        }
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

    fn drop_oldest_removed(&mut self) {
        if self.removed.len() > MAX_REMOVED
            && let Some((point, id)) = self.removed.pop_first()
        {
            self.points.remove(&id);
            self.dropped = self.dropped.max(point);
        }
    }

    /// Queues a change for the next reports, in place of an earlier one of the same entry.
    pub fn queue(&mut self, change: EntryChange) {
        self.unsent.retain(|(known, _)| known.id() != change.id());
        self.unsent.push_front((change, 0));
    }

    /// Returns the changes for the next report: each is sent once before any is sent again.
    pub fn next_changes(&mut self) -> Vec<EntryChange> {
        let count = self.unsent.len().min(MAX_CHANGES_PER_REPORT);
        let sent: Vec<_> = self.unsent.drain(..count).collect();
        let changes = sent.iter().map(|(change, _)| change.clone()).collect();
        let again = sent.into_iter().map(|(change, times)| (change, times + 1));
        self.unsent
            .extend(again.filter(|(_, times)| *times < REPORTS_PER_CHANGE));
        changes
    }

    /// Returns whether a change has not been sent yet.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        self.unsent.front().is_some_and(|(_, times)| *times == 0)
    }
}

fn hash(record: &BackendRecord) -> u64 {
    let is_ready = u64::from(record.status == BackendStatus::Ready);
    let id = xxh3_64_with_seed(record.id.as_bytes(), record.started);
    let address = xxh3_64_with_seed(record.address.as_bytes(), id);
    let version = xxh3_64_with_seed(record.version.as_bytes(), address);
    xxh3_64_with_seed(&record.slots.to_le_bytes(), version ^ is_ready)
}
