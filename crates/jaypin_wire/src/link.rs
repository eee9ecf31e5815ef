//! Frames of a peer link: a mutual proof of the fleet key, then messages.

use std::sync::Arc;
use std::time::Duration;

use jaypin_core::{
    Allowance, Ask, Candidate, Digest, Grant, GrantNumber, HostId, InFlight, Lost, Member, Message,
    Ran, Reason, Refusal, Shard, SlotProgress,
};
use serde::{Deserialize, Serialize};

use crate::claims::{WireOutcome, WireSubject, WireVerdict};
use crate::{WireHostList, WireMember};

/// Version of the link protocol; peers of another version are turned away.
pub const LINK_VERSION: u16 = 3;

/// One frame of a link.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of the listener: a number used once, and nothing about itself.
    Challenge([u8; 16]),
    /// Who speaks; the first frame of the dialer, and the listener's once the dialer
    /// proved itself.
    Hello(Hello),
    /// A MAC over all that was said before, under the fleet key.
    Proof(Vec<u8>),
    /// Everything after.
    Message(WireMessage),
}

/// Who is at the other end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the protocol.
    pub version: u16,
    /// Name of the host.
    pub host: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// A number used once, so that a recorded proof is worth nothing.
    pub nonce: [u8; 16],
}

/// A message between two hosts, as it travels.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum WireMessage {
    /// See [`Message::Ask`].
    Ask(WireAsk),
    /// See [`Message::Queued`].
    Queued(Arc<str>, u32, WireTime),
    /// See [`Message::Grant`].
    Grant(WireGrant),
    /// See [`Message::Refused`].
    Refused(Arc<str>, u32, WireRefusal, WireTime),
    /// See [`Message::NotLeader`].
    NotLeader(Arc<str>, u32),
    /// See [`Message::Withdraw`].
    Withdraw(WireShard, Arc<str>),
    /// See [`Message::Progress`].
    Progress(WireShard, Arc<str>, WireNumber, WireProgress),
    /// See [`Message::Confirm`].
    Confirm(WireShard, Arc<str>, WireNumber),
    /// See [`Message::Usage`].
    Usage(WireShard, Arc<str>, f64, u32),
    /// See [`Message::Allow`]: tokens a second, and requests at once.
    Allow(WireShard, Arc<str>, f64, f64),
    /// See [`Message::InFlight`].
    InFlight(WireShard, Vec<WireInFlight>),
    /// See [`Message::Died`]: backend server, fingerprint, whether a token had come.
    Died(Arc<str>, u64, bool),
    /// See [`Message::Strike`].
    Strike(u64, u32),
    /// See [`Message::Claim`].
    Claim(Arc<str>, Arc<str>, WireSubject),
    /// See [`Message::Claimed`].
    Claimed(Arc<str>, Arc<str>, WireVerdict),
    /// See [`Message::Settle`].
    Settle(Arc<str>, Arc<str>, WireOutcome),
    /// See [`Message::Settled`].
    Settled(Arc<str>),
    /// See [`Message::ClaimCheck`].
    ClaimCheck(Arc<str>, Arc<str>),
    /// See [`Message::Digest`]: versions of rules and host list, hash of the hosts.
    Digest(u64, u64, u64),
    /// See [`Message::Fetch`].
    Fetch(bool, bool),
    /// See [`Message::RuleText`].
    RuleText(u64, Arc<str>),
    /// See [`Message::Hosts`].
    Hosts(u64, WireHostList),
    /// See [`Message::Buckets`].
    Buckets(Vec<u64>),
    /// See [`Message::Members`].
    Members(Vec<WireMember>, Vec<u8>),
}

/// A time in microseconds: a third of the bytes of seconds and nanoseconds by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireTime(u64);

/// See [`Shard`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireShard(Arc<str>, u16);

/// See [`GrantNumber`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireNumber(u64, u64);

/// See [`Ask`].
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
    first_token_in: WireTime,
    #[serde(rename = "w")]
    whole_in: WireTime,
    #[serde(rename = "x")]
    prefixes: Vec<u64>,
}

/// See [`Grant`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireGrant {
    #[serde(rename = "s")]
    shard: WireShard,
    #[serde(rename = "i")]
    id: Arc<str>,
    #[serde(rename = "n")]
    attempt: u32,
    #[serde(rename = "g")]
    number: WireNumber,
    #[serde(rename = "b")]
    backend: Arc<str>,
    #[serde(rename = "c")]
    candidates: Vec<WireCandidate>,
    #[serde(rename = "w")]
    expected_wait: WireTime,
}

/// See [`Candidate`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireCandidate(Arc<str>, WireTime, u32, u32);

/// See [`Refusal`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireRefusal {
    #[serde(rename = "r")]
    reason: WireReason,
    #[serde(rename = "o")]
    ran: WireRan,
    #[serde(rename = "w")]
    retry_after: Option<WireTime>,
    #[serde(rename = "l")]
    rule_line: Option<u32>,
}

/// See [`SlotProgress`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum WireProgress {
    /// See [`SlotProgress::Returned`].
    Returned,
    /// See [`SlotProgress::NotReached`].
    NotReached,
    /// See [`SlotProgress::FirstToken`].
    FirstToken(WireTime),
    /// See [`SlotProgress::Finished`].
    Finished(u32, WireTime, bool),
}

/// See [`InFlight`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireInFlight {
    #[serde(rename = "i")]
    id: Arc<str>,
    #[serde(rename = "g")]
    number: WireNumber,
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

/// Pairs each value of an enum with its wire twin, in both directions.
macro_rules! twin_enum {
    ($(#[$doc:meta])* $wire:ident, $core:ident, [$($name:ident),* $(,)?]) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Serialize, Deserialize)]
        #[allow(missing_docs, reason = "each value is documented at its twin")]
        pub enum $wire { $($name),* }

        impl From<$core> for $wire {
            fn from(value: $core) -> Self {
                match value { $($core::$name => Self::$name),* }
            }
        }

        impl From<$wire> for $core {
            fn from(value: $wire) -> Self {
                match value { $($wire::$name => Self::$name),* }
            }
        }
    };
}

twin_enum!(
    /// See [`Ran`].
    WireRan, Ran, [NotRun, Ran, Unknown]
);
twin_enum!(
    /// See [`Reason`].
    WireReason,
    Reason,
    [
        Draining, NotReady, NoBackend, Shed, TooLate, NoScheduler, OverLimit, Quarantined,
        InFlight, KeyUnknown, KeyMismatch, KeyTableFull, AlreadyRan, BackendLost, BackendFailed,
    ]
);

impl From<Duration> for WireTime {
    fn from(time: Duration) -> Self {
        Self(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
    }
}

impl From<WireTime> for Duration {
    fn from(wire: WireTime) -> Self {
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

impl From<GrantNumber> for WireNumber {
    fn from(number: GrantNumber) -> Self {
        Self(number.incarnation, number.sequence)
    }
}

impl From<WireNumber> for GrantNumber {
    fn from(wire: WireNumber) -> Self {
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
            first_token_in: ask.first_token_in.into(),
            whole_in: ask.whole_in.into(),
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
            first_token_in: wire.first_token_in.into(),
            whole_in: wire.whole_in.into(),
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

impl From<Refusal> for WireRefusal {
    fn from(refusal: Refusal) -> Self {
        Self {
            reason: refusal.reason.into(),
            ran: refusal.ran.into(),
            retry_after: refusal.retry_after.map(Into::into),
            rule_line: refusal.rule_line,
        }
    }
}

impl From<WireRefusal> for Refusal {
    fn from(wire: WireRefusal) -> Self {
        Self {
            reason: wire.reason.into(),
            ran: wire.ran.into(),
            retry_after: wire.retry_after.map(Into::into),
            rule_line: wire.rule_line,
        }
    }
}

impl From<SlotProgress> for WireProgress {
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

impl From<WireProgress> for SlotProgress {
    fn from(wire: WireProgress) -> Self {
        match wire {
            WireProgress::Returned => Self::Returned,
            WireProgress::NotReached => Self::NotReached,
            WireProgress::FirstToken(after) => Self::FirstToken {
                after: after.into(),
            },
            WireProgress::Finished(tokens, after, lost) => Self::Finished {
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

impl From<Message> for WireMessage {
    fn from(message: Message) -> Self {
        match message {
            Message::Ask(ask) => Self::Ask(ask.into()),
            Message::Queued {
                id,
                attempt,
                expected_wait,
            } => Self::Queued(id, attempt, expected_wait.into()),
            Message::Grant(grant) => Self::Grant(grant.into()),
            Message::Refused {
                id,
                attempt,
                refusal,
                expected_wait,
            } => Self::Refused(id, attempt, refusal.into(), expected_wait.into()),
            Message::NotLeader { id, attempt } => Self::NotLeader(id, attempt),
            Message::Withdraw { shard, id } => Self::Withdraw(shard.into(), id),
            Message::Progress {
                shard,
                id,
                number,
                progress,
            } => Self::Progress(shard.into(), id, number.into(), progress.into()),
            Message::Confirm { shard, id, number } => {
                Self::Confirm(shard.into(), id, number.into())
            }
            Message::Usage {
                shard,
                account,
                tokens,
                at_once,
            } => Self::Usage(shard.into(), account, tokens, at_once),
            Message::Allow {
                shard,
                account,
                allowance,
            } => Self::Allow(
                shard.into(),
                account,
                allowance.tokens_per_second,
                allowance.at_once,
            ),
            Message::InFlight { shard, running } => Self::InFlight(
                shard.into(),
                running.into_iter().map(WireInFlight::from).collect(),
            ),
            Message::Died { backend, lost } => {
                Self::Died(backend, lost.fingerprint, lost.had_token)
            }
            Message::Strike {
                fingerprint,
                strikes,
            } => Self::Strike(fingerprint, strikes),
            Message::Claim { key, id, subject } => Self::Claim(key, id, subject.into()),
            Message::Claimed { key, id, verdict } => Self::Claimed(key, id, verdict.into()),
            Message::Settle { key, id, outcome } => Self::Settle(key, id, outcome.into()),
            Message::Settled { id } => Self::Settled(id),
            Message::ClaimCheck { key, id } => Self::ClaimCheck(key, id),
            Message::Digest(digest) => {
                Self::Digest(digest.rules_version, digest.hosts_version, digest.members)
            }
            Message::Fetch { rules, hosts } => Self::Fetch(rules, hosts),
            Message::RuleText { version, text } => Self::RuleText(version, text),
            Message::Hosts(list) => Self::Hosts(list.version, WireHostList::from(&list)),
            Message::Buckets(hashes) => Self::Buckets(hashes),
            Message::Members { entries, whole } => {
                Self::Members(entries.into_iter().map(WireMember::from).collect(), whole)
            }
        }
    }
}

impl From<WireMessage> for Message {
    fn from(wire: WireMessage) -> Self {
        match wire {
            WireMessage::Ask(ask) => Self::Ask(ask.into()),
            WireMessage::Queued(id, attempt, expected_wait) => Self::Queued {
                id,
                attempt,
                expected_wait: expected_wait.into(),
            },
            WireMessage::Grant(grant) => Self::Grant(grant.into()),
            WireMessage::Refused(id, attempt, refusal, expected_wait) => Self::Refused {
                id,
                attempt,
                refusal: refusal.into(),
                expected_wait: expected_wait.into(),
            },
            WireMessage::NotLeader(id, attempt) => Self::NotLeader { id, attempt },
            WireMessage::Withdraw(shard, id) => Self::Withdraw {
                shard: shard.into(),
                id,
            },
            WireMessage::Progress(shard, id, number, progress) => Self::Progress {
                shard: shard.into(),
                id,
                number: number.into(),
                progress: progress.into(),
            },
            WireMessage::Confirm(shard, id, number) => Self::Confirm {
                shard: shard.into(),
                id,
                number: number.into(),
            },
            WireMessage::Usage(shard, account, tokens, at_once) => Self::Usage {
                shard: shard.into(),
                account,
                tokens,
                at_once,
            },
            WireMessage::Allow(shard, account, tokens_per_second, at_once) => Self::Allow {
                shard: shard.into(),
                account,
                allowance: Allowance {
                    tokens_per_second,
                    at_once,
                },
            },
            WireMessage::InFlight(shard, running) => Self::InFlight {
                shard: shard.into(),
                running: running.into_iter().map(InFlight::from).collect(),
            },
            WireMessage::Died(backend, fingerprint, had_token) => Self::Died {
                backend,
                lost: Lost {
                    fingerprint,
                    had_token,
                },
            },
            WireMessage::Strike(fingerprint, strikes) => Self::Strike {
                fingerprint,
                strikes,
            },
            WireMessage::Claim(key, id, subject) => Self::Claim {
                key,
                id,
                subject: subject.into(),
            },
            WireMessage::Claimed(key, id, verdict) => Self::Claimed {
                key,
                id,
                verdict: verdict.into(),
            },
            WireMessage::Settle(key, id, outcome) => Self::Settle {
                key,
                id,
                outcome: outcome.into(),
            },
            WireMessage::Settled(id) => Self::Settled { id },
            WireMessage::ClaimCheck(key, id) => Self::ClaimCheck { key, id },
            WireMessage::Digest(rules_version, hosts_version, members) => Self::Digest(Digest {
                rules_version,
                hosts_version,
                members,
            }),
            WireMessage::Fetch(rules, hosts) => Self::Fetch { rules, hosts },
            WireMessage::RuleText(version, text) => Self::RuleText { version, text },
            WireMessage::Hosts(version, list) => Self::Hosts(list.at_version(version)),
            WireMessage::Buckets(hashes) => Self::Buckets(hashes),
            WireMessage::Members(entries, whole) => Self::Members {
                entries: entries.into_iter().map(<(HostId, Member)>::from).collect(),
                whole,
            },
        }
    }
}
