//! Points in the history of the platform's store.

/// Number of times that the store has come back from an older copy. Each return begins a new
/// history, in which revisions are assigned again.
pub type StoreEra = u64;

/// A point in the store's history: a greater one is newer.
///
/// A revision alone orders nothing: after a return, a change has a revision that another change
/// had before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePoint {
    /// The era, which is compared before the revision.
    pub era: StoreEra,
    /// The revision within that era.
    pub revision: u64,
}

impl StorePoint {
    /// Creates the point of a revision in an era.
    #[must_use]
    pub fn new(era: StoreEra, revision: u64) -> Self {
        Self { era, revision }
    }
}
