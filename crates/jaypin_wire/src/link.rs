//! Frames of a peer link: a mutual proof of the fleet key, then messages.

use std::sync::Arc;

use jaypin_core::{Allowance, Digest, HostId, InFlight, LostCall, Member, Message};
use serde::{Deserialize, Serialize};

use crate::claims::{WireOutcome, WireSubject, WireVerdict};
use crate::refusal::WireRefusal;
use crate::slots::{
    WireAsk, WireGrant, WireInFlight, WireNumber, WireProgress, WireShard, WireTime,
};
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
    /// See [`Message::BackendCrashed`]: backend server, fingerprint, whether a token had come.
    Died(Arc<str>, u64, bool),
    /// See [`Message::CrashCount`].
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
            Message::BackendCrashed { backend, lost } => {
                Self::Died(backend, lost.fingerprint, lost.had_first_token)
            }
            Message::CrashCount {
                fingerprint,
                crash_count: strikes,
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
            Message::Members {
                entries,
                complete_buckets,
            } => Self::Members(
                entries.into_iter().map(WireMember::from).collect(),
                complete_buckets,
            ),
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
            WireMessage::Died(backend, fingerprint, had_token) => Self::BackendCrashed {
                backend,
                lost: LostCall {
                    fingerprint,
                    had_first_token: had_token,
                },
            },
            WireMessage::Strike(fingerprint, strikes) => Self::CrashCount {
                fingerprint,
                crash_count: strikes,
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
                complete_buckets: whole,
            },
        }
    }
}
