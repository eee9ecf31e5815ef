//! Which hosts watch the store, and what the others learn of it from reports.

use std::time::{Duration, Instant};

use jaypin_core::{HostId, score};

use super::Router;
use crate::{BackendStatus, BootTime, EntryChange, Report, cell_of};

/// Number of hosts in a cell that watch the store and report to the others. With two of them,
/// one can fail without leaving the store unwatched.
const WATCHERS: usize = 2;
/// Age of the newest proof from which a host reads the store itself, and from which a peer no
/// longer counts as a watcher.
///
/// A response to a watch proves the state 1.2 s before it, the watch is renewed within a second,
/// and the proof is reported at once, so proofs are less than 2.4 s old. If the store stops
/// answering both watchers, the other hosts notice this 1.4 s after its last response and read
/// the store 0.2 s later. That is within the two seconds in which a change must be in use.
const OLD_PROOF: Duration = Duration::from_millis(2_600);
/// Time for which a host may know other entries than a watcher before it reads all of them.
/// Changes in transit arrive in less time.
const DIFFERENT_FOR: Duration = Duration::from_millis(700);
/// Time after a host's start during which it assumes that registered hosts are live although
/// they have not reported. Hosts that start together receive each other's reports within a third
/// of this time. Without the assumption, each host of a starting fleet would begin to watch.
const JOINING: Duration = Duration::from_millis(1_500);
/// Key of the hash order in which hosts become watchers.
const WATCH_ORDER: &str = "watch";

/// State of the store as peers report it, where it may differ from this host's state.
#[derive(Debug, Default)]
pub struct Heard {
    /// Newest version of the configuration that a peer reported.
    newest_version: u64,
    /// Digest of the entries in the last report of a watcher.
    watched_digest: Option<u64>,
    /// When the entries of this host began to differ from that digest.
    different_since: Option<Instant>,
    has_read_all: bool,
}

impl Heard {
    /// Records that all entries were read.
    pub fn read_all(&mut self) {
        self.different_since = None;
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
        self.is_turned_away
    }

    /// Returns the number of live peers that check before this host whether the store is
    /// available again.
    #[must_use]
    pub fn store_probe_rank(&self, now: Instant) -> usize {
        let own = score(WATCH_ORDER, &self.cfg.host);
        let heard = self.fleet.live_peers(now);
        let before = heard.filter(|(host, _)| score(WATCH_ORDER, host) > own);
        before.count()
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
        let age = now.saturating_duration_since(self.started_at.unwrap_or(now));
        let is_joining = age < JOINING;
        if is_joining && !self.telling.knows_hosts() {
            return false;
        }
        let own = score(WATCH_ORDER, &self.cfg.host);
        let is_better = |host: &HostId| score(WATCH_ORDER, host) > own;
        let heard = self.fleet.live_peers(now);
        let heard = heard.filter(|(host, peer)| peer.may_watch && is_better(host));
        let unheard = self.telling.lately_found(now).filter(|host| {
            is_joining
                && self.fleet.peer(host).is_none()
                && cell_of(host, self.cells) == self.cell
                && is_better(host)
        });
        heard.count() + unheard.count() < WATCHERS
    }

    /// Returns whether a peer reported a newer version of the configuration.
    #[must_use]
    pub fn is_configuration_outdated(&self) -> bool {
        self.heard.newest_version > self.version()
    }

    /// Returns the newest version of the configuration that a peer reported.
    pub(super) fn newest_heard(&self) -> u64 {
        self.heard.newest_version
    }

    /// Returns the digest of the entries that a watcher reported last.
    pub(super) fn watched_digest(&self) -> Option<u64> {
        self.heard.watched_digest
    }

    /// Returns whether the entries of this host have differed from a watcher's for too long.
    #[must_use]
    pub fn has_diverging_entries(&self, now: Instant) -> bool {
        let since = self.heard.different_since;
        since.is_some_and(|at| now.saturating_duration_since(at) >= DIFFERENT_FOR)
    }

    /// Returns whether peers may rely on this host to watch the store.
    pub(super) fn may_watch(&self, boot_time: BootTime) -> bool {
        self.draining_since.is_none()
            && self
                .own_proof
                .is_none_or(|at| boot_time.saturating_sub(at) < OLD_PROOF)
            && !self.is_turned_away
            && !self.is_stale(boot_time)
    }

    /// Records that the store answered this host's watch, which proves the configuration.
    pub(super) fn proved(&mut self, at: BootTime) {
        self.own_proof = self.own_proof.max(Some(at));
        self.proved_at = self.proved_at.max(Some(at));
        self.is_turned_away = false;
        self.telling.whole_is_due();
    }

    /// Records that a peer confirmed the configuration of this host over a connection.
    pub(super) fn vouched(&mut self, at: BootTime) {
        self.proved_at = self.proved_at.max(Some(at));
    }

    /// Records a failed call to the store, and reports it at once.
    ///
    /// Guards against a store that rejects both watchers and serves the other hosts. Peers that
    /// relied on the watchers until their proofs were old learned of a revoked credential 50 ms
    /// after it had to be out of use. With the immediate report, two other hosts watch half a
    /// second later, and two more if these are rejected too.
    pub(super) fn store_disturbed(&mut self, now: Instant) {
        self.vanished.disturbed(now);
        if !self.is_turned_away {
            self.is_turned_away = true;
            self.telling.whole_is_due();
        }
    }

    /// Returns the time since the configuration was last known to be the newest; none if it
    /// never was.
    #[must_use]
    pub fn proof_age(&self, boot_time: BootTime) -> Option<Duration> {
        self.proved_at.map(|at| boot_time.saturating_sub(at))
    }

    /// Returns whether the last proof that the configuration is the newest is missing or old.
    #[must_use]
    pub fn is_stale(&self, boot_time: BootTime) -> bool {
        let age = self.proof_age(boot_time);
        age.is_none_or(|age| age >= OLD_PROOF)
    }

    /// Applies what a peer reports of the store.
    pub(super) fn heard_of_store(&mut self, report: &Report, now: Instant, boot_time: BootTime) {
        for change in &report.changes {
            self.take_entry(change.clone(), now);
        }
        let Some(whole) = &report.whole else {
            return;
        };
        let view = &whole.store;
        self.heard_of_era(view.era, now);
        self.heard.newest_version = self.heard.newest_version.max(view.version);
        if whole.cell_callers.is_some() {
            return;
        }
        if view.is_watching {
            self.heard.watched_digest = Some(view.digest);
            if view.digest == self.entries.digest() {
                self.heard.different_since = None;
            } else {
                self.heard.different_since.get_or_insert(now);
            }
        }
        let peer = self.fleet.peer(&whole.host);
        let proved = view.proved_at.and_then(|at| peer?.clock.to_local_time(at));
        // Guards against a peer whose clock is wrong: a proof from the future would stay valid
        // until that time has passed.
        let is_past = proved.is_some_and(|at| at <= boot_time);
        if view.version == self.version() && is_past {
            self.proved_at = self.proved_at.max(proved);
        }
    }

    /// Applies a change of an entry from any source. Returns whether the entry changed.
    pub(super) fn take_entry(&mut self, change: EntryChange, now: Instant) -> bool {
        if !self.entries.apply(&change) {
            return false;
        }
        match change {
            EntryChange::Stated { record, .. } => {
                if record.status == BackendStatus::Leaving {
                    self.signals.record_leaving(&record, now);
                }
                self.backend_changed(record, now);
            }
            EntryChange::Removed { id, .. } => self.backend_removed(&id, now),
        }
        true
    }
}
