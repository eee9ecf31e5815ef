//! Which hosts watch the store, and what the others believe of them.

use std::time::{Duration, Instant};

use jaypin_core::{HostId, score};

use super::Router;
use crate::{BackendStatus, BootTime, EntryChange, Report, cell_of};

/// Hosts of a cell that watch the store; the others hear from them. Two, so that one can
/// be lost without a moment in which nobody watches.
const WATCHERS: usize = 2;
/// Age of the newest proof from which a host asks the store itself, and from which a peer
/// is no watcher any more.
///
/// A watch proves what was so 1.2 s before and is asked again within a second, and what it
/// proves is told at once: proofs are less than 2.4 s old. A store that falls silent towards
/// both watchers is so noticed by the others 1.4 s after its last answer, and read 0.2 s
/// later, within the two seconds in which a change has to be in force.
const OLD_PROOF: Duration = Duration::from_millis(2_600);
/// Time for which a host may know other entries than a watcher before it reads them all:
/// changes on their way arrive in less.
const DIFFERENT_FOR: Duration = Duration::from_millis(700);
/// Time after a host's start within which it takes hosts that are registered for being there,
/// though it has not heard them: they start together, and hear each other within a third of
/// it. Without this, each host of a fleet that starts begins to watch.
const JOINING: Duration = Duration::from_millis(1_500);
/// Key of the order in which hosts become watchers.
const WATCH_ORDER: &str = "watch";

/// What watchers told, as far as this host differs from it.
#[derive(Debug, Default)]
pub struct Heard {
    newest_version: u64,
    /// What a host that watches knows, by its last word.
    watched_digest: Option<u64>,
    different_since: Option<Instant>,
    has_read_all: bool,
}

impl Heard {
    /// All entries were read from the store.
    pub fn read_all(&mut self) {
        self.different_since = None;
        self.has_read_all = true;
    }

    /// Whether all entries were read before, from the store or a peer.
    pub fn has_read_all(&self) -> bool {
        self.has_read_all
    }
}

impl Router {
    /// Whether the last call to the store gave nothing.
    #[must_use]
    pub fn last_store_call_failed(&self) -> bool {
        self.is_turned_away
    }

    /// Hosts that go before this one when the store is asked whether it is back.
    #[must_use]
    pub fn store_probe_rank(&self, now: Instant) -> usize {
        let own = score(WATCH_ORDER, &self.cfg.host);
        let heard = self.fleet.live_peers(now);
        let before = heard.filter(|(host, _)| score(WATCH_ORDER, host) > own);
        before.count()
    }

    /// Whether this host goes first when the store is asked whether it is back.
    #[must_use]
    pub fn probes_store_first(&self, now: Instant) -> bool {
        self.store_probe_rank(now) < WATCHERS
    }

    /// Whether the configuration was the newest a short time ago, by this host's own word or
    /// a peer's.
    #[must_use]
    pub fn has_fresh_proof(&self, boot_time: BootTime) -> bool {
        self.table.is_some() && !self.is_stale(boot_time)
    }

    /// Whether this host shall ask the store, and watch it.
    #[must_use]
    pub fn should_watch(&self, now: Instant, boot_time: BootTime) -> bool {
        self.table.is_none() || self.is_stale(boot_time) || self.is_watcher(now)
    }

    /// Whether it falls to this host to watch the store for its cell.
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

    /// Whether a peer knows a newer configuration.
    #[must_use]
    pub fn is_configuration_outdated(&self) -> bool {
        self.heard.newest_version > self.version()
    }

    /// The newest version that any host told of.
    pub(super) fn newest_heard(&self) -> u64 {
        self.heard.newest_version
    }

    /// What hosts that watch know of entries.
    pub(super) fn watched_digest(&self) -> Option<u64> {
        self.heard.watched_digest
    }

    /// Whether this host has known other entries than a watcher for too long.
    #[must_use]
    pub fn has_diverging_entries(&self, now: Instant) -> bool {
        let since = self.heard.different_since;
        since.is_some_and(|at| now.saturating_duration_since(at) >= DIFFERENT_FOR)
    }

    /// Whether this host may be relied on to watch.
    pub(super) fn may_watch(&self, boot_time: BootTime) -> bool {
        self.draining_since.is_none()
            && self
                .own_proof
                .is_none_or(|at| boot_time.saturating_sub(at) < OLD_PROOF)
            && !self.is_turned_away
            && !self.is_stale(boot_time)
    }

    /// The store answered this host's watch.
    pub(super) fn proved(&mut self, at: BootTime) {
        self.own_proof = self.own_proof.max(Some(at));
        self.proved_at = self.proved_at.max(Some(at));
        self.is_turned_away = false;
        self.telling.whole_is_due();
    }

    /// A peer said over a connection that this host's configuration is the newest.
    pub(super) fn vouched(&mut self, at: BootTime) {
        self.proved_at = self.proved_at.max(Some(at));
    }

    /// A call to the store gave nothing.
    ///
    /// Guards against a store that turns both watchers away and serves the others: peers
    /// that believed in them until their proofs were old learned of a withdrawn credential
    /// 50 ms after it had to be out of use. Told at once, two others watch half a second
    /// later, and two more if these are turned away too.
    pub(super) fn store_disturbed(&mut self, now: Instant) {
        self.vanished.disturbed(now);
        if !self.is_turned_away {
            self.is_turned_away = true;
            self.telling.whole_is_due();
        }
    }

    /// Time since the configuration was the newest for sure, where it ever was.
    #[must_use]
    pub fn proof_age(&self, boot_time: BootTime) -> Option<Duration> {
        self.proved_at.map(|at| boot_time.saturating_sub(at))
    }

    /// Whether the configuration was not proved lately to be the newest.
    #[must_use]
    pub fn is_stale(&self, boot_time: BootTime) -> bool {
        let age = self.proof_age(boot_time);
        age.is_none_or(|age| age >= OLD_PROOF)
    }

    /// Takes what a peer says of the store.
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
        // Guards against a peer that states its clock wrongly: a proof from the future would
        // hold for as long as it lies ahead.
        let is_past = proved.is_some_and(|at| at <= boot_time);
        if view.version == self.version() && is_past {
            self.proved_at = self.proved_at.max(proved);
        }
    }

    /// Takes a change of an entry, whoever told it.
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
