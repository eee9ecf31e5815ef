//! Idempotency keys: their format, and the table that decides which call may run.
//!
//! A key names the host and the incarnation that issued its prefix. Claims on the key are
//! granted only from the memory of that process. A paused host, an expired lease or
//! diverging membership tables therefore can't lead to two holders of the same key.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::{AccountId, HostId, Incarnation, RequestId};

/// Length of a key period. All keys of a period expire together.
pub const KEY_PERIOD: Duration = Duration::from_mins(1);
/// Number of periods that a key is retained for, not counting the current one.
pub const RETAINED_KEY_PERIODS: u64 = 30;
/// Maximum number of keys in the table.
pub const MAX_KEYS: usize = 50_000;
/// Maximum number of keys of one client account in the table.
pub const MAX_KEYS_PER_ACCOUNT: usize = MAX_KEYS / 4;
/// Maximum size of a response that is stored for replay, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 16 * 1024;
/// Maximum total size of the stored responses of all keys, in bytes. The oldest responses
/// are removed first.
pub const MAX_TOTAL_STORED_BYTES: usize = 8 * 1024 * 1024;
/// Maximum length of the part of a key that the caller chooses, in bytes.
const MAX_UNIQUE_BYTES: usize = 64;

/// A parsed idempotency key: `<host>-<incarnation>.<period>-<unique>`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// The host that issued the prefix.
    pub host: HostId,
    /// Incarnation of that host's process.
    pub incarnation: Incarnation,
    /// Key period of that process in which the prefix was issued.
    pub period: u64,
    /// The part that the caller chose, unique per call.
    pub unique: Arc<str>,
}

impl IdempotencyKey {
    /// Parses a key. Returns `None` when the text has another format.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (issuer, own) = text.rsplit_once('.')?;
        let (host, incarnation) = issuer.rsplit_once('-')?;
        let (period, unique) = own.split_once('-')?;
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
        let well_formed = !host.is_empty()
            && (1..=MAX_UNIQUE_BYTES).contains(&unique.len())
            && unique.bytes().all(allowed);
        well_formed.then_some(())?;
        Some(Self {
            host: host.into(),
            incarnation: incarnation.parse().ok()?,
            period: period.parse().ok()?,
            unique: unique.into(),
        })
    }

    /// Returns the prefix that a caller completes with a unique part of its own.
    #[must_use]
    pub fn prefix(host: &str, incarnation: Incarnation, period: u64) -> String {
        format!("{host}-{incarnation}.{period}-")
    }
}

/// The call that a key is used for. Using the same key for another call is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSubject {
    /// The client account.
    pub account: AccountId,
    /// Fingerprint of route and body, salted by account.
    pub fingerprint: u64,
}

/// A response that is stored for replay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty when the response had none.
    pub content_type: Arc<str>,
    /// Body of the response.
    pub body: Arc<[u8]>,
}

/// Outcome of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOutcome {
    /// No byte of it was sent to a backend server; the claim is released.
    NotRun,
    /// A response was received. Holds the response if it is small enough to store.
    Answered(Option<StoredAnswer>),
    /// It was sent, and whether it ran is not known.
    Unknown,
}

/// Decision of a key's owner on a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The call may run, once.
    Granted,
    /// Another request holds the claim.
    InFlight,
    /// A response was received before. Holds the response if it is still stored.
    Done(Option<StoredAnswer>),
    /// Whether the call ran can't be known, so it is not run.
    Unknown,
    /// The key was used for another call.
    Mismatch,
    /// The table has no room for another key; the claim is not granted.
    Full,
}

impl ClaimVerdict {
    /// Returns the name of the decision that is written to logs.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::InFlight => "in-flight",
            Self::Done(_) => "done",
            Self::Unknown => "unknown",
            Self::Mismatch => "mismatch",
            Self::Full => "full",
        }
    }
}

#[derive(Debug)]
struct Entry {
    subject: ClaimSubject,
    state: State,
}

#[derive(Debug)]
enum State {
    /// Request `id` of `host` holds the claim.
    Held { host: HostId, id: RequestId },
    /// The holder can't be reached. Only an outcome that the holder reports may still
    /// settle the claim.
    Orphaned { id: RequestId },
    /// A response was received.
    Answered(Option<StoredAnswer>),
    /// It was sent, and whether it ran is not known.
    Unknown,
}

/// The claims on the keys that this host's process issued.
#[derive(Debug, Default)]
pub struct KeyTable {
    /// Start of period 0; none before the first use.
    started: Option<Instant>,
    /// The current period, as of the last update.
    newest: u64,
    /// Entries by the period and the unique part of their key.
    periods: BTreeMap<u64, BTreeMap<Arc<str>, Entry>>,
    /// Number of entries in all periods.
    count: usize,
    /// Number of entries of each account.
    by_account: BTreeMap<AccountId, usize>,
    /// Period, unique part and size in bytes of the stored responses, oldest first.
    answers: VecDeque<(u64, Arc<str>, usize)>,
    /// Total size of the stored responses, in bytes.
    answer_bytes: usize,
}

impl KeyTable {
    /// Updates and returns the current key period. Periods count from the first call.
    pub fn period(&mut self, now: Instant) -> u64 {
        let started = *self.started.get_or_insert(now);
        self.newest = now.duration_since(started).as_secs() / KEY_PERIOD.as_secs();
        self.newest
    }

    /// Returns the key period as of the last update.
    #[must_use]
    pub fn newest_period(&self) -> u64 {
        self.newest
    }

    /// Removes the periods that are no longer retained. Claims on their keys are not
    /// granted any more.
    pub fn expire(&mut self, now: Instant) {
        let oldest = self.period(now).saturating_sub(RETAINED_KEY_PERIODS);
        while let Some(first) = self.periods.first_entry() {
            if *first.key() >= oldest {
                break;
            }
            for entry in first.remove().into_values() {
                self.count -= 1;
                decrement_account_count(&mut self.by_account, &entry.subject.account);
            }
        }
        while self.answers.front().is_some_and(|(p, ..)| *p < oldest) {
            self.drop_oldest_answer();
        }
    }

    /// Decides on a claim on a key that this process issued, by request `id` of `host`.
    pub fn claim(
        &mut self,
        now: Instant,
        key: &IdempotencyKey,
        subject: &ClaimSubject,
        host: &HostId,
        id: &RequestId,
    ) -> ClaimVerdict {
        let newest = self.period(now);
        // A key of an expired period may have run before its entry was removed, so it is
        // not granted. Neither is a key of a period that has not begun.
        if key.period > newest || key.period < newest.saturating_sub(RETAINED_KEY_PERIODS) {
            return ClaimVerdict::Unknown;
        }
        // The limit per account keeps one account from using up the whole table.
        let held_by_account = self.by_account.get(&subject.account).copied();
        let full = self.count >= MAX_KEYS || held_by_account >= Some(MAX_KEYS_PER_ACCOUNT);
        let period = self.periods.entry(key.period).or_default();
        let held = State::Held {
            host: host.clone(),
            id: id.clone(),
        };
        let Some(entry) = period.get_mut(&key.unique) else {
            if full {
                return ClaimVerdict::Full;
            }
            let subject = subject.clone();
            let entry_account = subject.account.clone();
            let entry = Entry {
                subject,
                state: held,
            };
            period.insert(key.unique.clone(), entry);
            self.count += 1;
            *self.by_account.entry(entry_account).or_default() += 1;
            return ClaimVerdict::Granted;
        };
        if entry.subject != *subject {
            return ClaimVerdict::Mismatch;
        }
        match &entry.state {
            // The holder resends its claim when it did not receive the first response.
            State::Held { id: holder, .. } | State::Orphaned { id: holder } if holder == id => {
                entry.state = held;
                ClaimVerdict::Granted
            }
            State::Held { .. } => ClaimVerdict::InFlight,
            State::Orphaned { .. } | State::Unknown => ClaimVerdict::Unknown,
            State::Answered(answer) => ClaimVerdict::Done(answer.clone()),
        }
    }

    /// Returns the host and the request that hold the claim on a key; none when the claim
    /// is not held or the holder can't be reached.
    #[must_use]
    pub fn holder(&self, key: &IdempotencyKey) -> Option<(&HostId, &RequestId)> {
        match &self.periods.get(&key.period)?.get(&key.unique)?.state {
            State::Held { host, id } => Some((host, id)),
            _ => None,
        }
    }

    /// Records the outcome of a claimed call, if request `id` holds the claim.
    pub fn settle(&mut self, key: &IdempotencyKey, id: &RequestId, outcome: KeyOutcome) {
        let Some(period) = self.periods.get_mut(&key.period) else {
            return;
        };
        let Some(entry) = period.get_mut(&key.unique) else {
            return;
        };
        let by_holder = matches!(
            &entry.state,
            State::Held { id: holder, .. } | State::Orphaned { id: holder } if holder == id
        );
        if !by_holder {
            return;
        }
        match outcome {
            KeyOutcome::NotRun => {
                decrement_account_count(&mut self.by_account, &entry.subject.account);
                period.remove(&key.unique);
                self.count -= 1;
            }
            KeyOutcome::Answered(answer) => {
                let answer = answer.filter(|answer| answer.body.len() <= MAX_STORED_ANSWER_BYTES);
                let bytes = answer.as_ref().map(|answer| answer.body.len());
                entry.state = State::Answered(answer);
                if let Some(bytes) = bytes {
                    self.answers
                        .push_back((key.period, key.unique.clone(), bytes));
                    self.answer_bytes += bytes;
                }
            }
            KeyOutcome::Unknown => entry.state = State::Unknown,
        }
        while self.answer_bytes > MAX_TOTAL_STORED_BYTES {
            self.drop_oldest_answer();
        }
    }

    /// Marks the claims held by a host that can't be reached.
    ///
    /// The holder may have exited between claim and response, so the call may have run.
    /// The key is not granted to another request, unless the holder reports that it did
    /// not run.
    pub fn orphan(&mut self, lost: &HostId) {
        let entries = self.periods.values_mut().flat_map(BTreeMap::values_mut);
        for entry in entries {
            if let State::Held { host, id } = &entry.state
                && host == lost
            {
                entry.state = State::Orphaned { id: id.clone() };
            }
        }
    }

    fn drop_oldest_answer(&mut self) {
        let Some((period, unique, bytes)) = self.answers.pop_front() else {
            return;
        };
        self.answer_bytes -= bytes;
        let entry = self
            .periods
            .get_mut(&period)
            .and_then(|period| period.get_mut(&unique));
        if let Some(entry) = entry {
            entry.state = State::Answered(None);
        }
    }
}

fn decrement_account_count(by_account: &mut BTreeMap<AccountId, usize>, account: &AccountId) {
    let Some(count) = by_account.get_mut(account) else {
        return;
    };
    *count -= 1;
    if *count == 0 {
        by_account.remove(account);
    }
}
