//! What backend servers state about themselves in the headers of their answers.
//!
//! An answer is more recent than the store, so its signals take precedence over what the store
//! states. They belong to one process of a backend server and hold until that process withdraws
//! them; the lack of answers since then means nothing.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::{BackendKey, BackendRecord, SignalReport, backend_key};

/// Time by which a peer's report of an unchanged signal has to be newer than the known one: each
/// report that passes a signal on makes it seem a little younger.
const RELAY_MARGIN: Duration = Duration::from_millis(100);
/// Time for which a withdrawn signal is reported, so that no host that was cut off for a while
/// brings it back, and for which a process that left is remembered: copies of the store are
/// seconds old.
const RETENTION: Duration = Duration::from_mins(1);

/// What the header of one answer states about the backend server that gave it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BackendSignals {
    /// Requests per second that it accepts from all hosts together; absent if it accepts as many
    /// as it can.
    pub rate_limit: Option<f64>,
    /// Number of requests per second that it may have to reject, for lack of room, before its
    /// process crashes; absent if rejections don't harm it.
    pub rejection_limit: Option<u32>,
    /// Whether it finishes the requests that it has and exits. Its process never withdraws that.
    pub is_leaving: bool,
}

impl BackendSignals {
    fn is_none(self) -> bool {
        self == Self::default()
    }
}

/// The newest signals of each backend server.
#[derive(Debug, Default)]
pub struct SignalTable {
    received: HashMap<BackendKey, ReceivedSignals>,
    backoffs: HashMap<BackendKey, Backoff>,
    /// Processes that stated to the store that they are leaving, and when this host learned of
    /// it.
    left: HashMap<BackendKey, (u64, Instant)>,
    /// When a process last rejected a request for lack of room.
    rejections: HashMap<BackendKey, (u64, Instant)>,
}

/// Signals, with the process that gave them and the time.
#[derive(Debug, Clone, Copy)]
struct ReceivedSignals {
    signals: BackendSignals,
    /// Start of the backend server's process, as it states it.
    started: u64,
    /// Time at which they were received.
    at: Instant,
}

/// A time until which a process of a backend server wants no requests from this host.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    started: u64,
    until: Instant,
}

impl SignalTable {
    /// Records the signals of an answer to a request that was sent at `sent_at`; returns whether
    /// they differ from those that were known.
    ///
    /// An answer without a limit withdraws the limit only if its request was sent after the limit
    /// was received: answers on different connections overtake each other.
    pub fn record(
        &mut self,
        record: &BackendRecord,
        signals: BackendSignals,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let key = backend_key(&record.id);
        let known = self.received.get(&key);
        let known = known.filter(|it| it.started == record.started).copied();
        if signals.is_none() && known.is_none() {
            return false;
        }
        let before = known.map(|it| it.signals).unwrap_or_default();
        let is_withdrawal = signals.rate_limit.is_none() && signals.rejection_limit.is_none();
        let overtaken = known.filter(|it| is_withdrawal && sent_at < it.at);
        let received = ReceivedSignals {
            signals: BackendSignals {
                rate_limit: overtaken.map_or(signals.rate_limit, |it| it.signals.rate_limit),
                rejection_limit: overtaken
                    .map_or(signals.rejection_limit, |it| it.signals.rejection_limit),
                is_leaving: before.is_leaving || signals.is_leaving,
            },
            started: record.started,
            at: overtaken.map_or(now, |it| it.at),
        };
        self.received.insert(key, received);
        before != received.signals
    }

    /// Records a time for which a backend server wants no requests from this host. A shorter one
    /// that is requested meanwhile changes nothing.
    pub fn record_backoff(&mut self, record: &BackendRecord, backoff: Duration, now: Instant) {
        let Some(until) = now.checked_add(backoff) else {
            return;
        };
        let until = self.backoff_until(record).map_or(until, |it| it.max(until));
        let backoff = Backoff {
            started: record.started,
            until,
        };
        self.backoffs.insert(backend_key(&record.id), backoff);
    }

    /// Returns when a backend server's current process may be sent requests again, if it asked
    /// this host to back off.
    #[must_use]
    pub fn backoff_until(&self, record: &BackendRecord) -> Option<Instant> {
        let backoff = self.backoffs.get(&backend_key(&record.id))?;
        (backoff.started == record.started).then_some(backoff.until)
    }

    /// Applies a peer's report unless something newer is known; returns whether it differs from
    /// what was known.
    pub fn apply_peer_report(&mut self, report: &SignalReport, now: Instant) -> bool {
        let rejected = report.rejection_age.and_then(|age| now.checked_sub(age));
        let is_new =
            rejected.is_some_and(|at| self.record_rejection_at(report.key, report.started, at));
        self.apply_peer_signals(report, now) || is_new
    }

    fn apply_peer_signals(&mut self, report: &SignalReport, now: Instant) -> bool {
        let Some(at) = now.checked_sub(report.age) else {
            return false;
        };
        let mut received = ReceivedSignals {
            signals: report.signals,
            started: report.started,
            at,
        };
        let known = self.received.get(&report.key).copied();
        match known {
            Some(known) if known.started == report.started => {
                received.signals.is_leaving |= known.signals.is_leaving;
                let is_same = known.signals.rate_limit == report.signals.rate_limit
                    && known.signals.rejection_limit == report.signals.rejection_limit;
                let margin = if is_same {
                    RELAY_MARGIN
                } else {
                    Duration::ZERO
                };
                if at <= known.at + margin {
                    received.signals.rate_limit = known.signals.rate_limit;
                    received.signals.rejection_limit = known.signals.rejection_limit;
                    received.at = known.at;
                }
            }
            Some(known) if at <= known.at => return false,
            _ => {}
        }
        self.received.insert(report.key, received);
        known.is_none_or(|it| it.signals != received.signals || it.started != received.started)
    }

    /// Records that a backend server has rejected a request for lack of room.
    pub fn record_rejection(&mut self, record: &BackendRecord, now: Instant) {
        self.record_rejection_at(backend_key(&record.id), record.started, now);
    }

    /// Returns whether the rejection is later than the one that was known.
    fn record_rejection_at(&mut self, key: BackendKey, started: u64, at: Instant) -> bool {
        let known = self.rejections.get(&key).filter(|it| it.0 == started);
        let is_later = known.is_none_or(|it| it.1 < at);
        if is_later {
            self.rejections.insert(key, (started, at));
        }
        is_later
    }

    /// Returns when the current process of a backend server last rejected a request.
    #[must_use]
    pub fn rejected_at(&self, record: &BackendRecord) -> Option<Instant> {
        let rejection = self.rejections.get(&backend_key(&record.id))?;
        (rejection.0 == record.started).then_some(rejection.1)
    }

    /// Returns the signals of a backend server's current process.
    #[must_use]
    pub fn of(&self, record: &BackendRecord) -> BackendSignals {
        let key = backend_key(&record.id);
        let known = self.received.get(&key);
        let known = known.filter(|it| it.started == record.started);
        let mut signals = known.map(|it| it.signals).unwrap_or_default();
        let left = self.left.get(&key);
        signals.is_leaving |= left.is_some_and(|it| it.0 == record.started);
        signals
    }

    /// Records that a process stated to the store that it is leaving.
    ///
    /// The store may come back from an older copy, in which the process is still ready.
    pub fn record_leaving(&mut self, record: &BackendRecord, now: Instant) {
        let key = backend_key(&record.id);
        self.left.insert(key, (record.started, now));
    }

    /// Returns whether nothing is known that still matters.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.received.is_empty() && self.backoffs.is_empty() && self.left.is_empty()
    }

    /// Returns whether any backend server states a limit.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        let mut signals = self.received.values().map(|it| it.signals);
        signals.any(|it| it.rate_limit.is_some() || it.rejection_limit.is_some())
    }

    /// Returns what peers should know of a backend server.
    #[must_use]
    pub fn report_of(&self, key: BackendKey, now: Instant) -> Option<SignalReport> {
        let received = self.received.get(&key)?;
        Some(self.report(received, key, now))
    }

    /// Iterates over what peers should know of all backend servers.
    pub fn reports(&self, now: Instant) -> impl Iterator<Item = SignalReport> {
        let all = self.received.iter();
        all.map(move |(key, received)| self.report(received, *key, now))
    }

    /// Removes signals that were withdrawn long ago, and those of backend servers that no longer
    /// exist.
    pub fn remove_expired(&mut self, is_known: impl Fn(BackendKey) -> bool, now: Instant) {
        self.backoffs.retain(|_, backoff| now < backoff.until);
        let is_old = |at: Instant| now.saturating_duration_since(at) >= RETENTION;
        self.left.retain(|_, (_, at)| !is_old(*at));
        self.rejections.retain(|_, (_, at)| !is_old(*at));
        self.received.retain(|key, received| {
            let is_old = is_old(received.at);
            !is_old || (is_known(*key) && !received.signals.is_none())
        });
    }
}

impl SignalTable {
    fn report(&self, received: &ReceivedSignals, key: BackendKey, now: Instant) -> SignalReport {
        let rejected = self.rejections.get(&key);
        let rejected = rejected.filter(|it| it.0 == received.started);
        SignalReport {
            key,
            started: received.started,
            signals: received.signals,
            age: now.saturating_duration_since(received.at),
            rejection_age: rejected.map(|it| now.saturating_duration_since(it.1)),
        }
    }
}
