//! Points in the history of the platform's store.

/// Count of the store's returns from an older copy. Each begins a new history, in which
/// revisions are given out again.
pub type StoreEra = u64;

/// A point in the store's history: a greater one is newer.
///
/// A revision alone orders nothing: after a return, a change has a revision that another
/// change had before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePoint {
    /// The history. Compared before the revision.
    pub era: StoreEra,
    /// The revision within that history.
    pub revision: u64,
}

impl StorePoint {
    /// A revision of an era.
    #[must_use]
    pub fn new(era: StoreEra, revision: u64) -> Self {
        Self { era, revision }
    }
}
