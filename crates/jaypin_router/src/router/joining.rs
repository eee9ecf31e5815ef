//! What a host that has just started waits for before it relies on what it read from the store.

use std::time::{Duration, Instant};

use super::Router;
use super::watching::JOIN_TIME;
use crate::{LEAD_CELLS, cell_count};

/// Longest time after its start for which a host waits for the list of hosts before it reads
/// anything else: a copy of the store that lags contains its registration only after seconds.
const MAX_LIST_TIME: Duration = Duration::from_secs(8);
/// Time after the list of hosts was read within which live peers have reported to this host: they
/// report to a new host within a heartbeat of its first report, and one datagram may be lost.
const FIRST_REPORTS_TIME: Duration = Duration::from_millis(1_500);

/// Time after its start for which a host uses entries that may be seconds old. Watchers report within a second
/// what they lack, and operators count on a host three seconds after its start.
const STALE_ENTRIES_TIME: Duration = Duration::from_secs(2);

/// Whether this host has compared its configuration with its peers' since its start.
#[derive(Debug, Default)]
pub struct JoinState {
    /// When the list of hosts was first read.
    listed_at: Option<Instant>,
    has_compared: bool,
}

impl JoinState {
    /// Records that the list of hosts was read.
    pub fn record_host_list(&mut self, now: Instant) {
        self.listed_at.get_or_insert(now);
    }
}

impl Router {
    /// Returns whether the configuration may still be older than the one that the fleet uses.
    ///
    /// Guards against a host that starts after the store was restored from an older copy: the copy
    /// confirms credentials that were withdrawn since, until operators have written again. Peers
    /// remember the newer version. A store that states no era is never restored.
    pub(super) fn may_lag_behind_peers(&self) -> bool {
        self.store_era().is_some() && !self.join.has_compared
    }

    /// Records whether a ready peer has reported no newer version, or no peer exists that could.
    pub(super) fn compare_with_peers(&mut self, now: Instant) {
        let Some(listed_at) = self.join.listed_at.filter(|_| !self.join.has_compared) else {
            return;
        };
        if self.table.is_none() || self.has_newer_version() {
            return;
        }
        let waited = now.saturating_duration_since(listed_at);
        let is_alone =
            self.report_state.has_whole_host_list() && !self.report_state.has_registered_hosts();
        self.join.has_compared =
            waited >= FIRST_REPORTS_TIME || is_alone || self.has_ready_listed_peer(now);
    }

    /// Returns whether this host has listed the registered hosts so recently that live ones may not
    /// have reported yet.
    #[must_use]
    pub fn is_joining(&self, now: Instant) -> bool {
        let since = self.joined_at().unwrap_or(now);
        now.saturating_duration_since(since) < JOIN_TIME
    }

    /// Returns when this host first listed the registered hosts; before that, when it started.
    pub(super) fn joined_at(&self) -> Option<Instant> {
        self.join.listed_at.or(self.started_at)
    }

    /// Returns whether this host has just started and leaves it to others to read the store.
    ///
    /// Guards against a store that is called by all hosts of a large fleet which start together:
    /// the watchers of each cell read it, and the others get what they read.
    #[must_use]
    pub fn awaits_peers(&self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        let Some(listed_at) = self.join.listed_at else {
            return age(self.started_at.unwrap_or(now)) < MAX_LIST_TIME;
        };
        self.is_of_many_cells() && age(listed_at) < JOIN_TIME && !self.is_watcher(now)
    }

    /// Returns whether this host has just started and reads the entries of backend servers from a copy
    /// of the store, instead of waiting for a peer that has them.
    ///
    /// Guards against a second without service after a common restart: the two watchers of a cell would
    /// send all entries to each of its hosts at the same time. A fleet in which each cell has watchers
    /// of its own is small enough for one inexpensive call a host. The entries may be seconds old;
    /// reports of watchers show what they lack.
    #[must_use]
    pub fn lists_entries_at_start(&self, now: Instant) -> bool {
        let hosts = self.report_state.host_count();
        let is_listed = self.join.listed_at.is_some();
        is_listed && self.awaits_peers(now) && cell_count(hosts) <= LEAD_CELLS
    }

    /// Returns whether this host has started so recently that it may use entries that are seconds old.
    ///
    /// Guards against requests to a backend server that has left: a copy of the store that is behind delays
    /// the start of a host, and then lacks the leave.
    #[must_use]
    pub fn accepts_stale_entries(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started_at.unwrap_or(now));
        age < STALE_ENTRIES_TIME
    }

    /// Returns whether the known hosts form more than one cell.
    #[must_use]
    pub fn is_of_many_cells(&self) -> bool {
        cell_count(self.report_state.host_count()) > 1
    }

    fn has_ready_listed_peer(&self, now: Instant) -> bool {
        let mut live = self.fleet.live_peers(now);
        live.any(|(_, peer)| peer.is_ready && self.report_state.is_registered(&peer.address))
    }
}
