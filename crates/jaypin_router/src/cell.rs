//! Cells: groups of hosts that report to each other that they are live and what they know.
//!
//! A host of a large fleet can't report to all others that it is live, what it knows of the store
//! and what accounts use. Its cell has a few dozen hosts, whatever the size of the fleet. Which
//! hosts receive the load of which backend server is independent of cells: see
//! [`crate::BackendSubsets`].

/// Number of a cell.
pub type CellIndex = u32;

/// Greatest number of hosts in a cell, on average: the reports of each go to all of them.
const MAX_HOSTS: usize = crate::backend_subset::SMALL_FLEET;

/// Number of cells whose watchers read the store. The watchers of further cells read from these, so
/// that calls to the store don't grow with the fleet.
pub const LEAD_CELLS: u32 = 4;

/// Returns the number of cells of a fleet. It is a power of two, so that hosts which count the
/// fleet differently for a moment mostly agree.
#[must_use]
pub fn cell_count(hosts: usize) -> u32 {
    let mut count = 1;
    while hosts > MAX_HOSTS * count as usize {
        count *= 2;
    }
    count
}

/// Returns the cell of a host.
#[must_use]
pub fn cell_of(host: &str, count: u32) -> CellIndex {
    let hash = xxhash_rust::xxh3::xxh3_64(host.as_bytes());
    u32::try_from(hash % u64::from(count.max(1))).unwrap_or_default()
}
