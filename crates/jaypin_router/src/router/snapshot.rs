//! Snapshots of the configuration and of all entries, which hosts transfer to each other.
//!
//! Hundreds of hosts need each version, and a store that limits its calls rejects some of them.
//! The hosts that watch the store already have the data.

use std::net::{IpAddr, SocketAddr};
use std::time::Instant;

use super::Router;
use crate::{EntryChange, EntrySource, Peer, StorePoint};

/// Digest of a host that knows no entries: there is nothing to transfer from it.
const NO_ENTRIES: u64 = 0;

impl Router {
    /// Returns the addresses of ready peers that have the newest version of the configuration
    /// that a listed host reported; of hosts in other cells if no peer has it.
    #[must_use]
    pub fn configuration_holders(&self, now: Instant) -> Vec<SocketAddr> {
        let newest = self.newest_listed_version();
        let peers = self.holders(now, |peer| peer.is_ready && peer.version >= newest);
        if !peers.is_empty() {
            return peers;
        }
        let others = self.fleet.other_cell_holders(newest, now);
        others
            .filter(|address| self.report_state.is_registered(address))
            .collect()
    }

    /// Returns the addresses of peers that watch the store, or know the same entries as one that does.
    #[must_use]
    pub fn entry_holders(&self, now: Instant) -> Vec<SocketAddr> {
        let watched = self.watched_digest().filter(|digest| *digest != NO_ENTRIES);
        self.holders(now, |peer| {
            watched.is_some() && (peer.is_watching || watched == Some(peer.digest))
        })
    }

    /// Returns the addresses of live peers that the store lists. Other senders of reports are
    /// left out, so that a report from an unknown sender can't make a host load a configuration
    /// from there.
    fn holders(&self, now: Instant, has_data: impl Fn(&Peer) -> bool) -> Vec<SocketAddr> {
        let live = self.fleet.live_peers(now).map(|(_, peer)| peer);
        let holders = live.filter(|peer| has_data(peer));
        let addresses = holders.map(|peer| peer.address);
        addresses
            .filter(|address| self.report_state.is_registered(address))
            .collect()
    }

    /// Returns whether a host that the store lists has this IP address.
    #[must_use]
    pub fn is_registered_host(&self, address: IpAddr) -> bool {
        self.report_state.has_registered(address)
    }

    /// Returns whether a live peer was missing when the store's list of hosts was last read.
    #[must_use]
    pub fn has_unlisted_peer(&self, now: Instant) -> bool {
        let mut live = self.fleet.live_peers(now);
        live.any(|(_, peer)| !self.report_state.is_registered(&peer.address))
    }

    /// Returns all entries that this host knows, and the entries that it knows to be removed.
    #[must_use]
    pub fn entry_snapshot(&self) -> Vec<EntryChange> {
        let stated = self.entries.stated();
        let stated = stated.filter_map(|(id, point)| {
            let record = self.backends.get(id)?.record.clone();
            Some(EntryChange::Stated { record, point })
        });
        let removed = self.entries.removed();
        let removed = removed.map(|(id, point)| EntryChange::Removed {
            id: id.clone(),
            point,
        });
        stated.chain(removed).collect()
    }

    /// Returns whether an entry changed after a point.
    #[must_use]
    pub fn has_entry_changes_since(&self, point: StorePoint) -> bool {
        self.entries.newest_point() > point
    }

    /// Returns the entries that changed after a point; nothing if this host no longer remembers
    /// all that were removed since.
    #[must_use]
    pub fn entry_changes_since(&self, point: StorePoint) -> Option<Vec<EntryChange>> {
        let is_newer = |change: &EntryChange| change.point() > point;
        let is_complete = self.entries.knows_changes_since(point);
        is_complete.then(|| self.entry_snapshot().into_iter().filter(is_newer).collect())
    }

    /// Applies entries that others keep. They may lack newer ones, so no known entry counts as removed.
    pub(super) fn apply_entry_snapshot(
        &mut self,
        entries: Vec<EntryChange>,
        source: EntrySource,
        now: Instant,
    ) {
        for change in entries {
            self.apply_entry_change(change, source, now);
        }
        self.reported_store.record_read_all();
        self.version_history.record_complete(now);
    }
}
