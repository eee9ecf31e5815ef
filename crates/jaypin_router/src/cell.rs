//! Cells: groups of hosts that tell each other everything and share out backend servers.
//!
//! A host of a large fleet can't tell all others what it has running. Its cell has a few
//! dozen hosts, whatever the size of the fleet, and for each service a part of the backend
//! servers that no other cell uses, so what the cell knows of their load is all there is.

use std::collections::BTreeMap;

use jaypin_core::{BackendId, score};

/// Number of a cell.
pub type CellIndex = u32;

/// Hosts in a cell at the most, on the average.
///
/// With fewer, chance gives one cell much faster backend servers than another: with eight
/// a cell the capacity of cells differs by a fifth, with fifteen by an eighth. With more,
/// reports cost more than the better view gives.
const MOST_HOSTS: usize = 40;
/// Backend servers of a service for each cell, at least; services with fewer are used by
/// all cells.
const LEAST_BACKENDS: usize = 4;

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

/// Which cell uses which backend server of a service, by the number of hosts in each cell.
///
/// Rendezvous with bounds: each cell gets its part to within one, and when a backend
/// server comes or goes, few others change their cell. Gives nothing where all cells use
/// all of them.
#[must_use]
pub fn share_out<'a>(
    backends: impl Iterator<Item = &'a BackendId>,
    hosts: &BTreeMap<CellIndex, usize>,
) -> Option<BTreeMap<BackendId, CellIndex>> {
    let mut ranked: Vec<_> = backends.collect();
    if hosts.len() < 2 || ranked.len() < LEAST_BACKENDS * hosts.len() {
        return None;
    }
    ranked.sort_by_cached_key(|id| xxhash_rust::xxh3::xxh3_64(id.as_bytes()));
    let all: usize = hosts.values().sum();
    let mut room: BTreeMap<CellIndex, usize> = hosts
        .iter()
        .map(|(cell, hosts)| (*cell, (ranked.len() * hosts).div_ceil(all.max(1))))
        .collect();
    let mut shared = BTreeMap::new();
    for id in ranked {
        let with_room = room.iter_mut().filter(|(_, room)| **room > 0);
        let best = with_room.max_by_key(|(cell, _)| score(id, &cell.to_string()));
        if let Some((cell, room)) = best {
            *room -= 1;
            shared.insert(id.clone(), *cell);
        }
    }
    Some(shared)
}
