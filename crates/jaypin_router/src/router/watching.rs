//! Which hosts watch the store, and what the others learn of it from reports.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jaypin_core::{BackendId, HostId, score};

use super::{Effect, Router};
use crate::store_freshness::{MAX_DIVERGENCE, MAX_UNWATCHED, long_stall};
use crate::{BackendStatus, BootTime, EntryChange, EntrySource, LeaveState, Report, cell_of};

/// Number of hosts in a cell that watch the store and report to the others. With two of them,
/// one can fail without leaving the store unwatched.
pub(super) const WATCHERS: usize = 2;
/// Time after a host has listed the registered hosts during which it assumes that they are live
/// although they have not reported. Hosts that start together receive each other's reports within a
/// third of this time. Without the assumption, each host of a starting fleet would begin to watch.
pub(super) const JOIN_TIME: Duration = Duration::from_millis(1_500);
/// Key of the hash order in which hosts become watchers.
pub(super) const WATCH_RANK_KEY: &str = "watch";

/// State of the store as peers report it, where it may differ from this host's state.
#[derive(Debug, Default)]
pub struct ReportedStore {
    /// Newest version of the configuration that a host which the store lists reported.
    newest_listed_version: u64,
    /// A newer version that another sender reported and the store has not refuted.
    unlisted_claim: Option<UnlistedClaim>,
    /// Newest version whose report by such a sender the store has refuted.
    refuted_version: u64,
    /// When a peer first reported a newer version than the one in use.
    outdated_since: Option<Instant>,
    /// When a peer that precedes this host as a watcher last reported that it watches the store.
    watched_at: Option<Instant>,
    /// Digest of the entries in the last report of a watcher.
    watched_digest: Option<u64>,
    /// When the entries of this host began to differ from that digest.
    diverged_since: Option<Instant>,
    has_read_all: bool,
}

/// A version of the configuration as reported by a sender that the store does not list: a host
/// that has just registered, or one that does not belong to the fleet.
#[derive(Debug, Clone, Copy)]
struct UnlistedClaim {
    version: u64,
    /// When it was last reported, by the clock that also counts suspended time.
    at: BootTime,
}

impl ReportedStore {
    /// Returns the newest version that was reported.
    fn newest_version(&self) -> u64 {
        let claimed = self.unlisted_claim.map(|it| it.version);
        self.newest_listed_version.max(claimed.unwrap_or_default())
    }

    /// Drops a claim that the store refutes: it did not have the version after the claim was made.
    ///
    /// Guards against a sender outside the fleet that makes hosts look for a version which nobody
    /// has, and read the store for it again and again.
    fn refute_claim(&mut self, proved_at: BootTime) {
        let refuted = self.unlisted_claim.take_if(|it| it.at < proved_at);
        if let Some(claim) = refuted {
            self.refuted_version = self.refuted_version.max(claim.version);
        }
    }

    /// Records that all entries were read.
    pub fn record_read_all(&mut self) {
        self.diverged_since = None;
        self.has_read_all = true;
    }

    /// Returns whether all entries were read before, from the store or from a peer.
    pub fn has_read_all(&self) -> bool {
        self.has_read_all
    }
}

impl Router {
    /// Returns whether the most recent call to the store failed.
    #[must_use]
    pub fn last_store_call_failed(&self) -> bool {
        self.freshness.last_call_failed
    }

    /// Returns the number of live peers that check before this host whether the store is
    /// available again.
    #[must_use]
    pub fn store_probe_rank(&self, now: Instant) -> usize {
        let own = score(WATCH_RANK_KEY, &self.cfg.host);
        let live = self.fleet.live_peers(now);
        let preceding = live.filter(|(host, _)| score(WATCH_RANK_KEY, host) > own);
        preceding.count()
    }

    /// Returns whether this host is among the first to check whether the store is available
    /// again.
    #[must_use]
    pub fn probes_store_first(&self, now: Instant) -> bool {
        self.store_probe_rank(now) < WATCHERS
    }

    /// Returns whether the store or a peer confirmed a short time ago that the configuration was
    /// the newest.
    #[must_use]
    pub fn has_fresh_proof(&self, boot_time: BootTime) -> bool {
        self.table.is_some() && !self.is_stale(boot_time)
    }

    /// Returns whether this host must read the store itself and watch it.
    #[must_use]
    pub fn should_watch(&self, now: Instant, boot_time: BootTime) -> bool {
        self.table.is_none() || self.is_stale(boot_time) || self.is_watcher(now)
    }

    /// Returns whether this host is one of the watchers of its cell.
    #[must_use]
    pub fn is_watcher(&self, now: Instant) -> bool {
        let is_joining = self.is_joining(now);
        if is_joining && !self.report_state.has_host_list() {
            return false;
        }
        let precedes = |host: &HostId| self.precedes_as_watcher(host);
        let live = self.fleet.live_peers(now);
        let live = live.filter(|(host, peer)| peer.may_watch && precedes(host));
        let joining = self
            .report_state
            .recently_discovered(now)
            .filter(|host| is_joining && !self.has_configuration(host) && precedes(host));
        live.count() + joining.count() < WATCHERS || self.lacks_watcher(now)
    }

    /// Returns whether a peer has reported that it has a configuration. One that has none yet can't
    /// state that it may watch the store, although it will.
    fn has_configuration(&self, host: &str) -> bool {
        let peer = self.fleet.peer(host);
        peer.is_some_and(|peer| peer.version > 0)
    }

    /// Returns whether a host is in the cell of this one and becomes a watcher before it.
    fn precedes_as_watcher(&self, host: &HostId) -> bool {
        let own = score(WATCH_RANK_KEY, &self.cfg.host);
        cell_of(host, self.cells) == self.cell && score(WATCH_RANK_KEY, host) > own
    }

    /// Returns whether no preceding peer has reported for a while that it watches the store.
    ///
    /// Guards against hosts that divide the fleet into different numbers of cells, as they do
    /// while it grows: the peers that a host relies on may rely on watchers that report to another
    /// cell, and the host would learn of no change.
    fn lacks_watcher(&self, now: Instant) -> bool {
        let since = self.reported_store.watched_at.max(self.joined_at());
        now.saturating_duration_since(since.unwrap_or(now)) >= MAX_UNWATCHED
    }

    /// Returns whether a peer reported a newer version of the configuration.
    #[must_use]
    pub fn is_configuration_outdated(&self) -> bool {
        self.reported_store.newest_version() > self.version()
    }

    /// Returns the time since a peer first reported a newer version of the configuration than the
    /// one in use; none if the one in use is the newest that was reported.
    #[must_use]
    pub fn outdated_for(&self, now: Instant) -> Option<Duration> {
        let since = self.reported_store.outdated_since;
        since.map(|at| now.saturating_duration_since(at))
    }

    /// Records whether a peer reported a newer version than the one in use.
    pub(super) fn update_outdated_since(&mut self, now: Instant) {
        if self.is_configuration_outdated() {
            self.reported_store.outdated_since.get_or_insert(now);
        } else {
            self.reported_store.outdated_since = None;
        }
    }

    /// Returns the newest version of the configuration that a host which the store lists reported.
    pub(super) fn newest_listed_version(&self) -> u64 {
        self.reported_store.newest_listed_version
    }

    /// Returns the digest of the entries that a watcher reported last.
    pub(super) fn watched_digest(&self) -> Option<u64> {
        self.reported_store.watched_digest
    }

    /// Returns whether the entries of this host have differed from a watcher's for too long.
    #[must_use]
    pub fn has_diverging_entries(&self, now: Instant) -> bool {
        let since = self.reported_store.diverged_since;
        since.is_some_and(|at| {
            self.is_catching_up() || now.saturating_duration_since(at) >= MAX_DIVERGENCE
        })
    }

    /// Returns whether peers may rely on this host to watch the store.
    pub(super) fn may_watch(&self, boot_time: BootTime) -> bool {
        self.draining_since.is_none() && self.freshness.suffices_for_watching(boot_time)
    }

    /// Records that the store answered this host's watch, which proves the configuration.
    pub(super) fn record_proof(&mut self, at: BootTime) {
        // A store that was restored from an older copy confirms an older version until operators have
        // written the newer one again.
        if self.has_newer_version() {
            self.freshness.configuration.record_outdated_from_store(at);
        } else {
            self.freshness.configuration.record_from_store(at);
        }
        self.reported_store.refute_claim(at);
        self.freshness.last_call_failed = false;
        self.report_state.report_whole_at_once();
    }

    /// Records that this host knew all entries at a time, by a response of the store.
    pub(super) fn record_entries_proof(&mut self, at: BootTime) {
        self.freshness.entries.record_from_store(at);
        self.freshness.record_current_entries(at);
    }

    /// Returns whether the tick is late by so much that this host may have been stalled for long.
    #[must_use]
    pub fn is_tick_overdue(&self, boot_time: BootTime) -> bool {
        let since = self.last_boot_time.map(|at| boot_time.saturating_sub(at));
        since.is_some_and(|it| it >= self.long_stall())
    }

    /// Returns the time of a stall from which on this host has to hear whether backend servers have
    /// left before it sends them requests.
    #[must_use]
    pub fn long_stall(&self) -> Duration {
        long_stall(self.cfg.bounds.leave_limit)
    }

    /// Returns whether this host was stalled for long, and does not know yet whether backend servers
    /// have left meanwhile.
    #[must_use]
    pub fn is_catching_up(&self) -> bool {
        self.freshness.is_catching_up()
    }

    /// Records that a peer confirmed the configuration of this host over a connection.
    pub(super) fn record_peer_confirmation(&mut self, at: BootTime) {
        self.advance_proof(at);
    }

    /// Returns whether a newer version of the configuration exists, as a host reported that the
    /// store lists. The reports of other senders don't count: any of them could make this host
    /// refuse all requests.
    pub(super) fn has_newer_version(&self) -> bool {
        self.reported_store.newest_listed_version > self.version()
    }

    /// Applies a proof, unless a newer version is known to exist.
    ///
    /// Guards against a store that was restored from an older copy: it confirms an older version
    /// until operators have written the newer one again.
    fn advance_proof(&mut self, at: BootTime) {
        if !self.has_newer_version() {
            self.freshness.configuration.record_from_peer(at);
        }
    }

    /// Records a failed call to the store, and reports it at once.
    ///
    /// Guards against a store that rejects both watchers and serves the other hosts. Peers that
    /// relied on the watchers until their proofs were old learned of a revoked credential 50 ms
    /// after it had to be out of use. With the immediate report, two other hosts watch half a
    /// second later, and two more if these are rejected too.
    pub(super) fn record_store_failure(&mut self, now: Instant) {
        self.missing_entries.record_store_failure(now);
        if !self.freshness.last_call_failed {
            self.freshness.last_call_failed = true;
            self.report_state.report_whole_at_once();
        }
    }

    /// Returns when the configuration was last known to be the newest, by this host's clock.
    #[must_use]
    pub fn proved_at(&self) -> Option<BootTime> {
        self.freshness.configuration.latest()
    }

    /// Returns the time since the configuration was last known to be the newest; none if it
    /// never was.
    #[must_use]
    pub fn proof_age(&self, boot_time: BootTime) -> Option<Duration> {
        self.freshness.configuration.age(boot_time)
    }

    /// Returns the time since this host was last known to have all entries of backend servers; none if
    /// it never was.
    #[must_use]
    pub fn entries_age(&self, boot_time: BootTime) -> Option<Duration> {
        self.freshness.entries.age(boot_time)
    }

    /// Returns a number that is equal on hosts that know the same entries.
    #[must_use]
    pub fn entries_digest(&self) -> u64 {
        self.entries.digest()
    }

    /// Returns whether the last proof that the configuration is the newest is missing or old.
    #[must_use]
    pub fn is_stale(&self, boot_time: BootTime) -> bool {
        self.freshness.configuration.are_stale(boot_time)
    }

    /// Applies what a peer reports of the store.
    pub(super) fn apply_reported_store(
        &mut self,
        report: &Report,
        now: Instant,
        boot_time: BootTime,
    ) {
        for change in &report.changes {
            self.apply_entry_change(change.clone(), EntrySource::Report, now);
        }
        let Some(whole) = &report.whole else {
            return;
        };
        let view = &whole.store;
        self.record_reported_era(view.era, now);
        self.record_reported_version(view.version, whole.address, boot_time);
        self.update_outdated_since(now);
        if whole.cell_callers.is_some() {
            return;
        }
        if view.is_watching && self.precedes_as_watcher(&whole.host) {
            self.reported_store.watched_at = Some(now);
        }
        if view.is_watching {
            self.reported_store.watched_digest = Some(view.digest);
            if view.digest == self.entries.digest() {
                self.reported_store.diverged_since = None;
            } else {
                self.reported_store.diverged_since.get_or_insert(now);
            }
        }
        let peer = self.fleet.peer(&whole.host);
        // Guards against a peer whose clock is wrong: a proof from the future would stay valid
        // until that time has passed.
        let to_past = |at: BootTime| {
            let local = peer?.clock.to_local_time(at);
            local.filter(|at| *at <= boot_time)
        };
        let proved_at = view.proved_at.and_then(to_past);
        let entries_proved_at = view.entries_proved_at.and_then(to_past);
        let sent_at = to_past(whole.sent_at);
        if let Some(at) = proved_at.filter(|_| view.version == self.version()) {
            self.advance_proof(at);
        }
        if view.is_watching
            && view.digest == self.entries.digest()
            && let Some(sent_at) = sent_at
        {
            self.freshness.record_current_entries(sent_at);
        }
        if let Some(at) = entries_proved_at.filter(|_| view.digest == self.entries.digest()) {
            self.freshness.entries.record_from_peer(at);
        }
    }

    fn record_reported_version(&mut self, version: u64, from: SocketAddr, at: BootTime) {
        let own_version = self.version();
        let reported = &mut self.reported_store;
        if self.report_state.is_registered(&from) {
            reported.newest_listed_version = reported.newest_listed_version.max(version);
            return;
        }
        let known = reported.newest_version().max(reported.refuted_version);
        if version > known.max(own_version) {
            reported.unlisted_claim = Some(UnlistedClaim { version, at });
        }
    }

    /// Applies a change of an entry. Returns whether the entry changed.
    pub(super) fn apply_entry_change(
        &mut self,
        change: EntryChange,
        source: EntrySource,
        now: Instant,
    ) -> bool {
        if !self.entries.apply(&change) {
            return false;
        }
        match change {
            EntryChange::Stated { record, .. } => {
                if record.status == BackendStatus::Leaving {
                    self.record_leave(&record.id, LeaveState::Stated, source);
                    self.signals.record_leaving(&record, now);
                }
                self.update_backend(record, now);
            }
            EntryChange::Removed { id, .. } => {
                self.record_leave(&id, LeaveState::Removed, source);
                self.handle_removed_entry(&id, now);
            }
        }
        true
    }

    /// Records that a known backend server leaves, for logs.
    pub(super) fn record_leave(
        &mut self,
        backend: &BackendId,
        state: LeaveState,
        source: EntrySource,
    ) {
        if self.backends.get(backend).is_some() {
            let now = self.last_boot_time.unwrap_or_default();
            self.leaves.push(Effect::BackendLeft {
                backend: backend.clone(),
                state,
                source,
                known_age: self.freshness.entries.age(now),
            });
        }
    }
}
