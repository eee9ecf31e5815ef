//! Cells: groups of hosts that tell each other who is there and what they know.
//!
//! A host of a large fleet can't tell all others that it is there, what it knows of the store
//! and what accounts use. Its cell has a few dozen hosts, whatever the size of the fleet. Who
//! hears of the load of which backend server is another matter: see [`crate::BackendSubsets`].

/// Number of a cell.
pub type CellIndex = u32;

/// Hosts in a cell at the most, on the average: what each tells goes to all of them.
const MOST_HOSTS: usize = crate::view::SMALL_FLEET;

/// Cells of a fleet: a power of two, so that hosts which count the fleet differently for a
/// moment mostly agree.
#[must_use]
pub fn cell_count(hosts: usize) -> u32 {
    let mut count = 1;
    while hosts > MOST_HOSTS * count as usize {
        count *= 2;
    }
    count
}

/// The cell of a host.
#[must_use]
pub fn cell_of(host: &str, count: u32) -> CellIndex {
    let hash = xxhash_rust::xxh3::xxh3_64(host.as_bytes());
    u32::try_from(hash % u64::from(count.max(1))).unwrap_or_default()
}
