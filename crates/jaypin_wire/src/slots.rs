//! Wire form of the slot messages between request owners and shard schedulers.
//!
//! Several of them are sent for each request, so field names are shortened to one letter
//! to save bytes.

use std::sync::Arc;
use std::time::Duration;

use jaypin_core::{Ask, Candidate, Grant, GrantNumber, InFlight, Shard, SlotProgress};
use serde::{Deserialize, Serialize};

/// A duration in microseconds, which takes a third of the bytes of a `Duration` encoded
/// with the names of its seconds and nanoseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireDuration(u64);

/// Wire form of [`Shard`]: service, index.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireShard(Arc<str>, u16);

/// Wire form of [`GrantNumber`]: incarnation, sequence.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireGrantNumber(u64, u64);

/// Wire form of [`Ask`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireAsk {
    #[serde(rename = "s")]
    shard: WireShard,
    #[serde(rename = "i")]
    id: Arc<str>,
    #[serde(rename = "n")]
    attempt: u32,
    #[serde(rename = "t")]
    tier: u8,
    #[serde(rename = "a")]
    account: Arc<str>,
    #[serde(rename = "p")]
    prompt_tokens: u32,
    #[serde(rename = "m")]
    max_tokens: u32,
    #[serde(rename = "f")]
    first_token_due_in: WireDuration,
    #[serde(rename = "w")]
    response_due_in: WireDuration,
    #[serde(rename = "x")]
    prefixes: Vec<u64>,
}

/// Wire form of [`Grant`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireGrant {
    #[serde(rename = "s")]
    shard: WireShard,
    #[serde(rename = "i")]
    id: Arc<str>,
    #[serde(rename = "n")]
    attempt: u32,
    #[serde(rename = "g")]
    number: WireGrantNumber,
    #[serde(rename = "b")]
    backend: Arc<str>,
    #[serde(rename = "c")]
    candidates: Vec<WireCandidate>,
    #[serde(rename = "w")]
    expected_wait: WireDuration,
}

/// Wire form of [`Candidate`]: backend server, time to the first token, running requests,
/// limit of running requests.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireCandidate(Arc<str>, WireDuration, u32, u32);

/// Wire form of [`SlotProgress`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum WireSlotProgress {
    /// See [`SlotProgress::Returned`].
    Returned,
    /// See [`SlotProgress::NotReached`].
    NotReached,
    /// See [`SlotProgress::FirstToken`]: time since dispatch.
    FirstToken(WireDuration),
    /// See [`SlotProgress::Finished`]: tokens, time since dispatch, whether the connection to
    /// the backend server was lost.
    Finished(u32, WireDuration, bool),
}

/// Wire form of [`InFlight`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireInFlight {
    #[serde(rename = "i")]
    id: Arc<str>,
    #[serde(rename = "g")]
    number: WireGrantNumber,
    #[serde(rename = "b")]
    backend: Arc<str>,
    #[serde(rename = "a")]
    account: Arc<str>,
    #[serde(rename = "t")]
    tier: u8,
    #[serde(rename = "p")]
    prompt_tokens: u32,
    #[serde(rename = "m")]
    max_tokens: u32,
}

impl From<Duration> for WireDuration {
    fn from(time: Duration) -> Self {
        Self(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
    }
}

impl From<WireDuration> for Duration {
    fn from(wire: WireDuration) -> Self {
        Self::from_micros(wire.0)
    }
}

impl From<Shard> for WireShard {
    fn from(shard: Shard) -> Self {
        Self(shard.service, shard.index)
    }
}

impl From<WireShard> for Shard {
    fn from(wire: WireShard) -> Self {
        Self {
            service: wire.0,
            index: wire.1,
        }
    }
}

impl From<GrantNumber> for WireGrantNumber {
    fn from(number: GrantNumber) -> Self {
        Self(number.incarnation, number.sequence)
    }
}

impl From<WireGrantNumber> for GrantNumber {
    fn from(wire: WireGrantNumber) -> Self {
        Self {
            incarnation: wire.0,
            sequence: wire.1,
        }
    }
}

impl From<Ask> for WireAsk {
    fn from(ask: Ask) -> Self {
        Self {
            shard: ask.shard.into(),
            id: ask.id,
            attempt: ask.attempt,
            tier: ask.tier,
            account: ask.account,
            prompt_tokens: ask.prompt_tokens,
            max_tokens: ask.max_tokens,
            first_token_due_in: ask.first_token_due_in.into(),
            response_due_in: ask.response_due_in.into(),
            prefixes: ask.prefixes,
        }
    }
}

impl From<WireAsk> for Ask {
    fn from(wire: WireAsk) -> Self {
        Self {
            shard: wire.shard.into(),
            id: wire.id,
            attempt: wire.attempt,
            tier: wire.tier,
            account: wire.account,
            prompt_tokens: wire.prompt_tokens,
            max_tokens: wire.max_tokens,
            first_token_due_in: wire.first_token_due_in.into(),
            response_due_in: wire.response_due_in.into(),
            prefixes: wire.prefixes,
        }
    }
}

impl From<Candidate> for WireCandidate {
    fn from(candidate: Candidate) -> Self {
        Self(
            candidate.backend,
            candidate.first_token.into(),
            candidate.running,
            candidate.limit,
        )
    }
}

impl From<WireCandidate> for Candidate {
    fn from(wire: WireCandidate) -> Self {
        Self {
            backend: wire.0,
            first_token: wire.1.into(),
            running: wire.2,
            limit: wire.3,
        }
    }
}

impl From<Grant> for WireGrant {
    fn from(grant: Grant) -> Self {
        Self {
            shard: grant.shard.into(),
            id: grant.id,
            attempt: grant.attempt,
            number: grant.number.into(),
            backend: grant.backend,
            candidates: grant
                .candidates
                .into_iter()
                .map(WireCandidate::from)
                .collect(),
            expected_wait: grant.expected_wait.into(),
        }
    }
}

impl From<WireGrant> for Grant {
    fn from(wire: WireGrant) -> Self {
        Self {
            shard: wire.shard.into(),
            id: wire.id,
            attempt: wire.attempt,
            number: wire.number.into(),
            backend: wire.backend,
            candidates: wire.candidates.into_iter().map(Candidate::from).collect(),
            expected_wait: wire.expected_wait.into(),
        }
    }
}

impl From<SlotProgress> for WireSlotProgress {
    fn from(progress: SlotProgress) -> Self {
        match progress {
            SlotProgress::Returned => Self::Returned,
            SlotProgress::NotReached => Self::NotReached,
            SlotProgress::FirstToken { after } => Self::FirstToken(after.into()),
            SlotProgress::Finished {
                tokens,
                after,
                lost,
            } => Self::Finished(tokens, after.into(), lost),
        }
    }
}

impl From<WireSlotProgress> for SlotProgress {
    fn from(wire: WireSlotProgress) -> Self {
        match wire {
            WireSlotProgress::Returned => Self::Returned,
            WireSlotProgress::NotReached => Self::NotReached,
            WireSlotProgress::FirstToken(after) => Self::FirstToken {
                after: after.into(),
            },
            WireSlotProgress::Finished(tokens, after, lost) => Self::Finished {
                tokens,
                after: after.into(),
                lost,
            },
        }
    }
}

impl From<InFlight> for WireInFlight {
    fn from(entry: InFlight) -> Self {
        Self {
            id: entry.id,
            number: entry.number.into(),
            backend: entry.backend,
            account: entry.account,
            tier: entry.tier,
            prompt_tokens: entry.prompt_tokens,
            max_tokens: entry.max_tokens,
        }
    }
}

impl From<WireInFlight> for InFlight {
    fn from(wire: WireInFlight) -> Self {
        Self {
            id: wire.id,
            number: wire.number.into(),
            backend: wire.backend,
            account: wire.account,
            tier: wire.tier,
            prompt_tokens: wire.prompt_tokens,
            max_tokens: wire.max_tokens,
        }
    }
}
