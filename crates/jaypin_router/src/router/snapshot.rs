//! What hosts hand over to each other whole: the configuration and all entries.
//!
//! The pattern: hundreds of hosts need each version, and a store that counts each call turns
//! some of them away. The hosts that watch the store have it already.

use std::net::{IpAddr, SocketAddr};
use std::time::Instant;

use super::Router;
use crate::{EntryChange, Peer};

impl Router {
    /// Peers that have the newest configuration that was heard of, and know it to be.
    #[must_use]
    pub fn configuration_holders(&self, now: Instant) -> Vec<SocketAddr> {
        let newest = self.newest_heard();
        self.holders(now, |peer| peer.is_ready && peer.version >= newest)
    }

    /// Peers that know the same entries as those who watch the store.
    #[must_use]
    pub fn entry_holders(&self, now: Instant) -> Vec<SocketAddr> {
        let watched = self.watched_digest();
        self.holders(now, |peer| watched == Some(peer.digest))
    }

    /// Hosts that the store lists: whoever else reports is not asked, so that a stranger's
    /// report can't hand a configuration to a host.
    fn holders(&self, now: Instant, has_it: impl Fn(&Peer) -> bool) -> Vec<SocketAddr> {
        let heard = self.fleet.live_peers(now).map(|(_, peer)| peer);
        let holders = heard.filter(|peer| has_it(peer));
        let addresses = holders.map(|peer| peer.address);
        addresses
            .filter(|address| self.telling.is_registered(address))
            .collect()
    }

    /// Whether a host that the store lists has this address.
    #[must_use]
    pub fn is_registered_host(&self, address: IpAddr) -> bool {
        self.telling.has_registered(address)
    }

    /// Whether a peer is heard that the store did not list when it was asked last.
    #[must_use]
    pub fn has_unlisted_peer(&self, now: Instant) -> bool {
        let mut heard = self.fleet.live_peers(now);
        heard.any(|(_, peer)| !self.telling.is_registered(&peer.address))
    }

    /// All entries that this host knows, and those that it knows to be gone.
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

    pub(super) fn entries_handed(&mut self, entries: Vec<EntryChange>, now: Instant) {
        for change in entries {
            self.take_entry(change, now);
        }
        self.heard.read_all();
    }
}
