//! Wire form of the claims on idempotency keys.

use std::sync::Arc;

use jaypin_core::{ClaimSubject, ClaimVerdict, KeyOutcome, StoredAnswer};
use serde::{Deserialize, Serialize};

/// Wire form of [`ClaimSubject`]: account, fingerprint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireClaimSubject(Arc<str>, u64);

/// Wire form of [`StoredAnswer`]: status, content type, body.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireStoredAnswer(u16, Arc<str>, Arc<[u8]>);

/// Wire form of [`ClaimVerdict`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum WireClaimVerdict {
    /// See [`ClaimVerdict::Granted`].
    Granted,
    /// See [`ClaimVerdict::InFlight`].
    InFlight,
    /// See [`ClaimVerdict::Done`]: the answer, when it is still stored.
    Done(Option<WireStoredAnswer>),
    /// See [`ClaimVerdict::Unknown`].
    Unknown,
    /// See [`ClaimVerdict::Mismatch`].
    Mismatch,
    /// See [`ClaimVerdict::Full`].
    Full,
}

/// Wire form of [`KeyOutcome`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum WireKeyOutcome {
    /// See [`KeyOutcome::NotRun`].
    NotRun,
    /// See [`KeyOutcome::Answered`]: the answer, when it is small enough to store.
    Answered(Option<WireStoredAnswer>),
    /// See [`KeyOutcome::Unknown`].
    Unknown,
}

impl From<ClaimSubject> for WireClaimSubject {
    fn from(subject: ClaimSubject) -> Self {
        Self(subject.account, subject.fingerprint)
    }
}

impl From<WireClaimSubject> for ClaimSubject {
    fn from(wire: WireClaimSubject) -> Self {
        Self {
            account: wire.0,
            fingerprint: wire.1,
        }
    }
}

impl From<StoredAnswer> for WireStoredAnswer {
    fn from(answer: StoredAnswer) -> Self {
        Self(answer.status, answer.content_type, answer.body)
    }
}

impl From<WireStoredAnswer> for StoredAnswer {
    fn from(wire: WireStoredAnswer) -> Self {
        Self {
            status: wire.0,
            content_type: wire.1,
            body: wire.2,
        }
    }
}

impl From<ClaimVerdict> for WireClaimVerdict {
    fn from(verdict: ClaimVerdict) -> Self {
        match verdict {
            ClaimVerdict::Granted => Self::Granted,
            ClaimVerdict::InFlight => Self::InFlight,
            ClaimVerdict::Done(answer) => Self::Done(answer.map(WireStoredAnswer::from)),
            ClaimVerdict::Unknown => Self::Unknown,
            ClaimVerdict::Mismatch => Self::Mismatch,
            ClaimVerdict::Full => Self::Full,
        }
    }
}

impl From<WireClaimVerdict> for ClaimVerdict {
    fn from(wire: WireClaimVerdict) -> Self {
        match wire {
            WireClaimVerdict::Granted => Self::Granted,
            WireClaimVerdict::InFlight => Self::InFlight,
            WireClaimVerdict::Done(answer) => Self::Done(answer.map(StoredAnswer::from)),
            WireClaimVerdict::Unknown => Self::Unknown,
            WireClaimVerdict::Mismatch => Self::Mismatch,
            WireClaimVerdict::Full => Self::Full,
        }
    }
}

impl From<KeyOutcome> for WireKeyOutcome {
    fn from(outcome: KeyOutcome) -> Self {
        match outcome {
            KeyOutcome::NotRun => Self::NotRun,
            KeyOutcome::Answered(answer) => Self::Answered(answer.map(WireStoredAnswer::from)),
            KeyOutcome::Unknown => Self::Unknown,
        }
    }
}

impl From<WireKeyOutcome> for KeyOutcome {
    fn from(wire: WireKeyOutcome) -> Self {
        match wire {
            WireKeyOutcome::NotRun => Self::NotRun,
            WireKeyOutcome::Answered(answer) => Self::Answered(answer.map(StoredAnswer::from)),
            WireKeyOutcome::Unknown => Self::Unknown,
        }
    }
}
