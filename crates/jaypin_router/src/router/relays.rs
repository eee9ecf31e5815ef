//! Hosts that watch the store through the watchers of other cells, so that calls to the store don't
//! grow with the fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use jaypin_core::score;

use super::Router;
use super::watching::{WATCH_RANK_KEY, WATCHERS};
use crate::{LEAD_CELLS, cell_of};

/// Number of further hosts that are asked for what the watchers of a cell read: they watch in place
/// of one that is gone.
const SPARE_WATCHERS: usize = 1;

impl Router {
    /// Returns whether this host reads and watches the store for others.
    #[must_use]
    pub fn is_store_watcher(&self, now: Instant) -> bool {
        !self.is_relay() && self.is_watcher(now) && !self.freshness.last_call_failed
    }

    /// Returns whether this host watches the store through the watchers of another cell.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        self.cell >= LEAD_CELLS
    }

    /// Returns the addresses of the hosts that probably watch the store: the first by rank in each
    /// cell that reads it.
    #[must_use]
    pub fn probable_watchers(&self) -> Vec<SocketAddr> {
        let mut by_cell: BTreeMap<u32, Vec<(u64, SocketAddr)>> = BTreeMap::new();
        for (host, address) in self.report_state.registered_hosts() {
            let cell = cell_of(host, self.cells);
            if cell < LEAD_CELLS {
                let ranked = by_cell.entry(cell).or_default();
                ranked.push((score(WATCH_RANK_KEY, host), address));
            }
        }
        let first = by_cell.into_values().flat_map(|mut ranked| {
            ranked.sort_unstable_by(|a, b| b.cmp(a));
            ranked.truncate(WATCHERS + SPARE_WATCHERS);
            ranked
        });
        first.map(|(_, address)| address).collect()
    }
}
