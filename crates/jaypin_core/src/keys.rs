//! Idempotency keys: their form, and the table that says which may run.
//!
//! A key names the host and the incarnation that issued its prefix. Only that
//! process's memory grants a claim on it, so a paused host, a lapsed lease or two
//! views of the fleet can't make two holders.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::{AccountId, HostId, Incarnation, RequestId};

/// Length of one key period; a whole period is forgotten at once.
pub const KEY_PERIOD: Duration = Duration::from_mins(1);
/// Periods that a key is kept for, the running one not counted.
pub const RETAINED_KEY_PERIODS: u64 = 30;
/// Most keys in the table.
pub const MAX_KEYS: usize = 50_000;
/// Most keys of one client account in the table.
pub const MAX_KEYS_PER_ACCOUNT: usize = MAX_KEYS / 4;
/// Largest answer that is kept for replay, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 16 * 1024;
/// Bytes of answers kept for replay, over all keys; older ones go first.
pub const MAX_TOTAL_STORED_BYTES: usize = 8 * 1024 * 1024;
/// Longest part of a key that the caller chooses, in bytes.
const MAX_UNIQUE_BYTES: usize = 64;

/// A parsed idempotency key: `<host>-<incarnation>.<period>-<unique>`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// The host that issued the prefix.
    pub host: HostId,
    /// The run of that host's process.
    pub incarnation: Incarnation,
    /// Key period of that run in which the prefix was issued.
    pub period: u64,
    /// The part that the caller chose.
    pub unique: Arc<str>,
}

impl IdempotencyKey {
    /// Reads a key; gives nothing when it has another form.
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

    /// The prefix that a caller completes with a part of its own.
    #[must_use]
    pub fn prefix(host: &str, incarnation: Incarnation, period: u64) -> String {
        format!("{host}-{incarnation}.{period}-")
    }
}

/// What a claim is for; the same key for something else is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSubject {
    /// The client account.
    pub account: AccountId,
    /// Fingerprint of route and body, salted by account.
    pub fingerprint: u64,
}

/// An answer kept for replay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty when there was none.
    pub content_type: Arc<str>,
    /// The body.
    pub body: Arc<[u8]>,
}

/// What became of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOutcome {
    /// No byte of it left: the claim is given back.
    NotRun,
    /// It was answered; the answer, if it was small enough to keep.
    Answered(Option<StoredAnswer>),
    /// It left and what became of it is not known.
    Unknown,
}

/// Answer of a key's owner to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The call may run, this once.
    Granted,
    /// Another request holds the claim.
    InFlight,
    /// The call was answered; the answer, if it is still kept.
    Done(Option<StoredAnswer>),
    /// Whether the call ran can't be known; it won't be run.
    Unknown,
    /// The key belongs to another call.
    Mismatch,
    /// The table is full; nothing was claimed.
    Full,
}

impl ClaimVerdict {
    /// The word that logs see.
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
    /// A request holds the claim.
    ChangeStatus { host: HostId, id: RequestId },
    /// Its holder can't be reached; only its own word may still settle it.
    Orphaned { id: RequestId },
    /// It was answered.
    Answered(Option<StoredAnswer>),
    /// It left and what became of it is not known.
    Unknown,
}

/// The keys that one run of one host owns.
#[derive(Debug, Default)]
pub struct KeyTable {
    started: Option<Instant>,
    newest: u64,
    periods: BTreeMap<u64, BTreeMap<Arc<str>, Entry>>,
    count: usize,
    by_account: BTreeMap<AccountId, usize>,
    answers: VecDeque<(u64, Arc<str>, usize)>,
    answer_bytes: usize,
}

impl KeyTable {
    // ------------------------------------------------------------------ time

    /// The running key period.
    pub fn period(&mut self, now: Instant) -> u64 {
        let started = *self.started.get_or_insert(now);
        self.newest = now.duration_since(started).as_secs() / KEY_PERIOD.as_secs();
        self.newest
    }

    /// The period that was running when the table was last looked at.
    #[must_use]
    pub fn newest_period(&self) -> u64 {
        self.newest
    }

    /// Forgets periods beyond the horizon; their keys are refused from then on.
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

    // ------------------------------------------------------------------ claims

    /// Answers a claim of a key that this process issued.
    pub fn claim(
        &mut self,
        now: Instant,
        key: &IdempotencyKey,
        subject: &ClaimSubject,
        host: &HostId,
        id: &RequestId,
    ) -> ClaimVerdict {
        let newest = self.period(now);
        // Guards against a second run after the table forgot the first: a key of a
        // forgotten period, or of one that was never issued, is not granted.
        if key.period > newest || key.period < newest.saturating_sub(RETAINED_KEY_PERIODS) {
            return ClaimVerdict::Unknown;
        }
        // One account that sends keys without end must leave room for the others.
        let held_by_account = self.by_account.get(&subject.account).copied();
        let full = self.count >= MAX_KEYS || held_by_account >= Some(MAX_KEYS_PER_ACCOUNT);
        let period = self.periods.entry(key.period).or_default();
        let held = State::ChangeStatus {
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
            // The holder asks again because it never got the first answer.
            State::ChangeStatus { id: holder, .. } | State::Orphaned { id: holder }
                if holder == id =>
            {
                entry.state = held;
                ClaimVerdict::Granted
            }
            State::ChangeStatus { .. } => ClaimVerdict::InFlight,
            State::Orphaned { .. } | State::Unknown => ClaimVerdict::Unknown,
            State::Answered(answer) => ClaimVerdict::Done(answer.clone()),
        }
    }

    /// The host and request that hold a key's claim.
    #[must_use]
    pub fn holder(&self, key: &IdempotencyKey) -> Option<(&HostId, &RequestId)> {
        match &self.periods.get(&key.period)?.get(&key.unique)?.state {
            State::ChangeStatus { host, id } => Some((host, id)),
            _ => None,
        }
    }

    /// Takes the holder's word on what became of the call.
    pub fn settle(&mut self, key: &IdempotencyKey, id: &RequestId, outcome: KeyOutcome) {
        let Some(period) = self.periods.get_mut(&key.period) else {
            return;
        };
        let Some(entry) = period.get_mut(&key.unique) else {
            return;
        };
        let by_holder = matches!(
            &entry.state,
            State::ChangeStatus { id: holder, .. } | State::Orphaned { id: holder } if holder == id
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

    /// Guards against a claim whose holder died between claim and answer: it shows as
    /// a lost peer, and the key is never granted again, as the call may have run.
    pub fn orphan(&mut self, lost: &HostId) {
        let entries = self.periods.values_mut().flat_map(BTreeMap::values_mut);
        for entry in entries {
            if let State::ChangeStatus { host, id } = &entry.state
                && host == lost
            {
                entry.state = State::Orphaned { id: id.clone() };
            }
        }
    }

    // ------------------------------------------------------------------ inside

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
