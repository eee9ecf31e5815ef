//! What backend servers say of themselves in the headers of their answers.
//!
//! An answer is nearer to the truth than the store, so its signals go before what the store
//! states. They belong to one process of a backend server and hold until that process takes
//! them back: that a host has had no answer since says nothing.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::{BackendKey, BackendRecord, SignalReport, backend_key};

/// Time by which a peer's word has to be newer than the same one that is known: each report
/// that passes it on makes it look a little younger.
const RELAY_MARGIN: Duration = Duration::from_millis(100);
/// Time for which a signal that was taken back is told, so that no host that was cut off for
/// a while brings it back, and for which a process that left is remembered: copies of the
/// store are seconds old.
const KEPT_FOR: Duration = Duration::from_mins(1);

/// What the header of one answer says of the backend server that gave it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BackendSignals {
    /// Requests a second that it takes from all hosts together; without it as many as it can.
    pub rate_limit: Option<f64>,
    /// Whether it finishes what it has and ends. Its process never takes that back.
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
    heard: HashMap<BackendKey, HeardSignals>,
    backoffs: HashMap<BackendKey, Backoff>,
    /// Processes that stated to the store that they leave, and when they were heard.
    left: HashMap<BackendKey, (u64, Instant)>,
}

/// Signals, and which process gave them when.
#[derive(Debug, Clone, Copy)]
struct HeardSignals {
    signals: BackendSignals,
    /// Start of the backend server's process, as it states it.
    started: u64,
    /// When they were heard.
    at: Instant,
}

/// A time for which a process of a backend server wants nothing from this host.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    started: u64,
    until: Instant,
}

impl SignalTable {
    /// Takes the signals of an answer to a request that was sent at some time; says whether
    /// they differ from those that were known.
    ///
    /// An answer without a limit takes it back only if its request was sent after the limit
    /// was heard: answers on different connections overtake each other.
    pub fn heard(
        &mut self,
        record: &BackendRecord,
        signals: BackendSignals,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let key = backend_key(&record.id);
        let known = self.heard.get(&key);
        let known = known.filter(|it| it.started == record.started).copied();
        if signals.is_none() && known.is_none() {
            return false;
        }
        let before = known.map(|it| it.signals).unwrap_or_default();
        let overtaken = known.filter(|it| signals.rate_limit.is_none() && sent_at < it.at);
        let heard = HeardSignals {
            signals: BackendSignals {
                rate_limit: overtaken.map_or(signals.rate_limit, |it| it.signals.rate_limit),
                is_leaving: before.is_leaving || signals.is_leaving,
            },
            started: record.started,
            at: overtaken.map_or(now, |it| it.at),
        };
        self.heard.insert(key, heard);
        before != heard.signals
    }

    /// Takes a time for which a backend server wants nothing from this host. A shorter one
    /// that is asked for meanwhile changes nothing.
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

    /// When a backend server's present process may be sent requests again, if it asked this
    /// host to back off.
    #[must_use]
    pub fn backoff_until(&self, record: &BackendRecord) -> Option<Instant> {
        let backoff = self.backoffs.get(&backend_key(&record.id))?;
        (backoff.started == record.started).then_some(backoff.until)
    }

    /// Takes what a peer has heard, unless something newer is known; says whether it differs
    /// from what was known.
    pub fn apply_peer_report(&mut self, told: &SignalReport, now: Instant) -> bool {
        let Some(at) = now.checked_sub(told.age) else {
            return false;
        };
        let mut heard = HeardSignals {
            signals: told.signals,
            started: told.started,
            at,
        };
        let known = self.heard.get(&told.key).copied();
        match known {
            Some(known) if known.started == told.started => {
                heard.signals.is_leaving |= known.signals.is_leaving;
                let is_same = known.signals.rate_limit == told.signals.rate_limit;
                let margin = if is_same {
                    RELAY_MARGIN
                } else {
                    Duration::ZERO
                };
                if at <= known.at + margin {
                    heard.signals.rate_limit = known.signals.rate_limit;
                    heard.at = known.at;
                }
            }
            Some(known) if at <= known.at => return false,
            _ => {}
        }
        self.heard.insert(told.key, heard);
        known.is_none_or(|it| it.signals != heard.signals || it.started != heard.started)
    }

    /// The signals of a backend server's present process.
    #[must_use]
    pub fn of(&self, record: &BackendRecord) -> BackendSignals {
        let key = backend_key(&record.id);
        let known = self.heard.get(&key);
        let known = known.filter(|it| it.started == record.started);
        let mut signals = known.map(|it| it.signals).unwrap_or_default();
        let left = self.left.get(&key);
        signals.is_leaving |= left.is_some_and(|it| it.0 == record.started);
        signals
    }

    /// Keeps that a process stated to the store that it leaves.
    ///
    /// Guards against a store that comes back from an older copy, in which it is ready.
    pub fn record_leaving(&mut self, record: &BackendRecord, now: Instant) {
        let key = backend_key(&record.id);
        self.left.insert(key, (record.started, now));
    }

    /// Whether nothing was heard that still matters.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.heard.is_empty() && self.backoffs.is_empty() && self.left.is_empty()
    }

    /// Whether a backend server states a rate limit.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        let mut heard = self.heard.values();
        heard.any(|it| it.signals.rate_limit.is_some())
    }

    /// What peers should know of a backend server.
    #[must_use]
    pub fn report_of(&self, key: BackendKey, now: Instant) -> Option<SignalReport> {
        let heard = self.heard.get(&key)?;
        Some(heard.report(key, now))
    }

    /// What peers should know of all backend servers.
    pub fn reports(&self, now: Instant) -> impl Iterator<Item = SignalReport> {
        let all = self.heard.iter();
        all.map(move |(key, heard)| heard.report(*key, now))
    }

    /// Forgets what was taken back long ago, or was said by backend servers that are gone.
    pub fn forget_old(&mut self, is_known: impl Fn(BackendKey) -> bool, now: Instant) {
        self.backoffs.retain(|_, backoff| now < backoff.until);
        let is_old = |at: Instant| now.saturating_duration_since(at) >= KEPT_FOR;
        self.left.retain(|_, (_, at)| !is_old(*at));
        self.heard.retain(|key, heard| {
            let is_old = is_old(heard.at);
            !is_old || (is_known(*key) && !heard.signals.is_none())
        });
    }
}

impl HeardSignals {
    fn report(&self, key: BackendKey, now: Instant) -> SignalReport {
        SignalReport {
            key,
            started: self.started,
            signals: self.signals,
            age: now.saturating_duration_since(self.at),
        }
    }
}
