//! How old this host's knowledge of the platform's store is, from whom it came, and for what it
//! suffices.
//!
//! A proof of a collection is a time at which this host's copy of it was known to be complete. The
//! store proves it in its responses to this host; a peer proves it by reporting a proof of the same
//! content. Ages are counted on the clock that includes suspended time.

use std::time::Duration;

use crate::BootTime;

/// Time for which a watch waits for changes of a collection that has to be proved. Its response is a
/// proof, so this bounds the age of proofs; each watch has a cost.
pub const PROOF_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a response counts as missing. The call is then repeated over another connection:
/// one on which the store's response was lost returns nothing more.
pub const RESPONSE_TIME: Duration = Duration::from_millis(300);
/// Time for which a copy of a collection may lag behind the store, as another response shows it,
/// before its changes are read over another connection.
pub const LAG_TOLERANCE: Duration = Duration::from_millis(200);
/// Time to read a change over a new connection, and to report it to the cell.
const REPORT_TIME: Duration = Duration::from_millis(100);
/// Longest time until the hosts of a cell know of a change, if the watches that should return it are
/// silent: another watch responds or is repeated, its response shows the lag, and the change is read.
pub const MAX_NOTICE_TIME: Duration = PROOF_INTERVAL
    .saturating_add(RESPONSE_TIME)
    .saturating_add(LAG_TOLERANCE)
    .saturating_add(REPORT_TIME);
/// Age of a proof from which a host reads the store itself, and from which a peer no longer counts as
/// a watcher.
///
/// A response to a watch proves the state 1.2 s before it, the watch is renewed within a second,
/// and the proof is reported at once, so proofs are less than 2.4 s old. If the store stops
/// answering both watchers, the other hosts notice this 1.4 s after its last response and read
/// the store 0.2 s later. That is within the two seconds in which a change must be in use.
pub const MAX_PROOF_AGE: Duration = Duration::from_millis(2_600);
/// Time for which a host may know other entries than a watcher before it reads all of them.
/// Changes in transit arrive in less time.
pub const MAX_DIVERGENCE: Duration = Duration::from_millis(700);
/// Time without a report of a preceding peer that watches the store, after which a host watches it
/// although peers precede it. If both watchers of a cell fail, others replace them in less time.
pub const MAX_UNWATCHED: Duration = Duration::from_millis(1_500);
/// Fraction of the revocation limit within which the configuration must be proved. The remainder
/// covers watches that lag by up to a second.
const REVOCATION_FRACTION: f64 = 0.8;

/// Shortest time that operators allow after a leave.
const SHORTEST_LEAVE_LIMIT: Duration = Duration::from_secs(2);
const _: () = assert!(MAX_NOTICE_TIME.as_millis() * 10 <= SHORTEST_LEAVE_LIMIT.as_millis() * 8);
/// Fraction of the time that operators allow after a leave within which the last request reaches the
/// backend server. The remainder covers a host that runs late.
const LEAVE_FRACTION: f64 = 0.8;
/// Time after the store's return within which backend servers whose leases expired meanwhile have
/// written their entries again.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Time in which a host that runs reads the reports that its peers have sent.
const REPORTS_TIME: Duration = Duration::from_millis(400);

/// Longest time for which a host that was stalled waits to hear whether its entries are current: peers
/// report it twice in this time.
const MAX_CATCH_UP_TIME: Duration = Duration::from_secs(1);

/// The newest proofs of one collection.
#[derive(Debug, Default, Clone, Copy)]
pub struct Proofs {
    latest: Option<BootTime>,
    from_store: Option<BootTime>,
}

impl Proofs {
    /// Records a proof in a response of the store to this host.
    pub fn record_from_store(&mut self, at: BootTime) {
        self.record_outdated_from_store(at);
        self.record_from_peer(at);
    }

    /// Records that the store answered this host with content that is known to be outdated.
    pub fn record_outdated_from_store(&mut self, at: BootTime) {
        self.from_store = self.from_store.max(Some(at));
    }

    /// Records a proof that a peer has.
    pub fn record_from_peer(&mut self, at: BootTime) {
        self.latest = self.latest.max(Some(at));
    }

    /// Returns the newest proof.
    #[must_use]
    pub fn latest(&self) -> Option<BootTime> {
        self.latest
    }

    /// Returns the time since the newest proof; none if there is none.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.latest.map(|at| now.saturating_sub(at))
    }

    /// Returns whether there is no proof, or only an old one.
    #[must_use]
    pub fn are_stale(&self, now: BootTime) -> bool {
        is_stale(self.latest, now)
    }
}

/// What this host knows of the store's collections.
#[derive(Debug, Default)]
pub struct StoreFreshness {
    /// Proofs that the configuration in use is the newest.
    pub configuration: Proofs,
    /// Proofs that all entries of backend servers are known.
    pub entries: Proofs,
    /// Whether the most recent call to the store failed.
    pub last_call_failed: bool,
    /// Since when this host has been a watcher of its cell.
    watcher_since: Option<BootTime>,
    /// When the store was last away for all hosts of the cell, or restored from an older copy.
    away_at: Option<BootTime>,
    /// Since when only old proofs of the configuration are known, while this host ran.
    stale_since: Option<BootTime>,
    refreshed_at: Option<BootTime>,
    /// When this host ran again after a stall, until its entries are known to be current.
    resumed_at: Option<BootTime>,
}

impl StoreFreshness {
    /// Records whether this host is a watcher of its cell.
    pub fn record_role(&mut self, is_watcher: bool, now: BootTime) {
        if is_watcher {
            self.watcher_since.get_or_insert(now);
        } else {
            self.watcher_since = None;
        }
    }

    /// Records that the store was restored from an older copy, which may lack recent entries.
    pub fn record_restore(&mut self, now: BootTime) {
        self.away_at = Some(now);
    }

    /// Records that this host knew all entries at a time.
    pub fn record_current_entries(&mut self, at: BootTime) {
        self.resumed_at.take_if(|resumed| at >= *resumed);
    }

    /// Returns whether this host was stalled for so long that backend servers may have left, and has yet
    /// to hear of it. It sends nothing to them meanwhile, for a second at most: while the
    /// store is away, nobody can tell.
    #[must_use]
    pub fn is_catching_up(&self) -> bool {
        self.resumed_at.is_some()
    }

    /// Updates whether this host was stalled, where operators allow `limit` after a leave, and whether the
    /// store is away for all hosts of the cell.
    ///
    /// Peers report their proofs, so a host that has only old ones is not alone with that, unless it has
    /// just been stalled: then it has yet to read their reports.
    pub fn refresh(&mut self, limit: Duration, now: BootTime) {
        let previous = self.refreshed_at.replace(now);
        let stall = previous.map_or(Duration::MAX, |at| now.saturating_sub(at));
        let was_stalled = stall >= REPORTS_TIME;
        if previous.is_some() && stall >= long_stall(limit) {
            self.resumed_at = Some(now);
        }
        self.resumed_at
            .take_if(|at| now.saturating_sub(*at) >= MAX_CATCH_UP_TIME);
        if self.configuration.latest().is_none() || !self.configuration.are_stale(now) {
            self.stale_since = None;
            return;
        }
        if was_stalled {
            self.stale_since = Some(now);
        }
        let stale_since = *self.stale_since.get_or_insert(now);
        if now.saturating_sub(stale_since) >= REPORTS_TIME {
            self.away_at = Some(now);
        }
    }

    /// Returns for how long a backend server may be used from now on whose entry is missing, where
    /// operators allow `limit` after a leave.
    ///
    /// Leases expire while the store is away, and backend servers then write their entries again. If
    /// the store was not away, the entry is that of a backend server that leaves: it existed when the
    /// entries were last proved, so the time counts from there, however late this host learned of it.
    #[must_use]
    pub fn expiry_grace(&self, limit: Duration, now: BootTime) -> Duration {
        let since_away = self.away_at.map(|at| now.saturating_sub(at));
        let until_back = RETURN_TIME.saturating_sub(since_away.unwrap_or(RETURN_TIME));
        let known_for = self.entries.age(now).unwrap_or(limit);
        until_back.max(limit.mul_f64(LEAVE_FRACTION).saturating_sub(known_for))
    }

    /// Returns whether the configuration suffices to accept credentials, where operators allow
    /// `limit` until a revoked one is no longer accepted.
    #[must_use]
    pub fn suffices_for_credentials(&self, limit: Duration, now: BootTime) -> bool {
        let age = self.configuration.age(now);
        age.is_some_and(|age| age < limit.mul_f64(REVOCATION_FRACTION))
    }

    /// Returns whether the store has proved the entries to this host a short time ago.
    #[must_use]
    pub fn watches_entries(&self, now: BootTime) -> bool {
        !is_stale(self.entries.from_store, now)
    }

    /// Returns whether the store answers this host, as far as is known, so that it may write to it.
    #[must_use]
    pub fn suffices_for_writing(&self, now: BootTime) -> bool {
        let configuration = self.configuration.from_store;
        !self.last_call_failed
            && !self.configuration.are_stale(now)
            && (configuration.is_none() || !is_stale(configuration, now))
    }

    /// Returns whether peers may rely on this host as a watcher. A watcher without a proof of the entries
    /// is none: the configuration's proof comes over another connection and says nothing of them.
    #[must_use]
    pub fn suffices_for_watching(&self, now: BootTime) -> bool {
        let watches_for_long = self
            .watcher_since
            .is_some_and(|since| now.saturating_sub(since) >= MAX_PROOF_AGE);
        self.suffices_for_writing(now) && (!watches_for_long || self.watches_entries(now))
    }
}

/// Returns the time of a stall from which on a host can't go on with what it knew before, where
/// operators allow `limit` after a leave.
#[must_use]
pub fn long_stall(limit: Duration) -> Duration {
    limit / 2
}

fn is_stale(proof: Option<BootTime>, now: BootTime) -> bool {
    proof.is_none_or(|at| now.saturating_sub(at) >= MAX_PROOF_AGE)
}
