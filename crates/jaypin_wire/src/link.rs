//! Frames of a peer link: a handshake in which both hosts prove that they have the fleet key,
//! then messages.

use std::sync::Arc;

use jaypin_core::{Allowance, Digest, HostId, InFlight, LostCall, Member, Message};
use serde::{Deserialize, Serialize};

use crate::claims::{WireClaimSubject, WireClaimVerdict, WireKeyOutcome};
use crate::refusal::WireRefusal;
use crate::slots::{
    WireAsk, WireDuration, WireGrant, WireGrantNumber, WireInFlight, WireShard, WireSlotProgress,
};
use crate::{WireHostList, WireMember};

/// Version of the link protocol; connections of peers with another version are rejected.
pub const LINK_VERSION: u16 = 3;

/// A frame of a peer link.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Frame {
    /// The listener's first frame: a nonce. It discloses nothing about the listener, because the
    /// dialer is not authenticated yet.
    Challenge([u8; 16]),
    /// Identity of the sender: the first frame of the dialer, and the second frame of the
    /// listener, which sends it only after the dialer is authenticated.
    Hello(Hello),
    /// A MAC, keyed with the fleet key, over the sender's role (dialer or listener), the challenge
    /// and the hellos sent so far.
    Proof(Vec<u8>),
    /// A message; all frames after the handshake are messages.
    Message(WireMessage),
}

/// Identity of one end of a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the link protocol.
    pub version: u16,
    /// Name of the host.
    pub host: Arc<str>,
    /// Incarnation of the host's process.
    pub incarnation: u64,
    /// A random nonce, so that a recorded proof can't be replayed.
    pub nonce: [u8; 16],
}

/// Wire form of [`Message`], a message between two hosts.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum WireMessage {
    /// See [`Message::Ask`].
    Ask(WireAsk),
    /// See [`Message::Queued`]: request, attempt, expected wait.
    Queued(Arc<str>, u32, WireDuration),
    /// See [`Message::Grant`].
    Grant(WireGrant),
    /// See [`Message::Refused`]: request, attempt, refusal, expected wait.
    Refused(Arc<str>, u32, WireRefusal, WireDuration),
    /// See [`Message::NotLeader`]: request, attempt.
    NotLeader(Arc<str>, u32),
    /// See [`Message::Withdraw`]: shard, request.
    Withdraw(WireShard, Arc<str>),
    /// See [`Message::Progress`]: shard, request, grant, progress.
    Progress(WireShard, Arc<str>, WireGrantNumber, WireSlotProgress),
    /// See [`Message::Confirm`]: shard, request, grant.
    Confirm(WireShard, Arc<str>, WireGrantNumber),
    /// See [`Message::Usage`]: shard, account, tokens, concurrent requests.
    Usage(WireShard, Arc<str>, f64, u32),
    /// See [`Message::Allow`]: shard, account, tokens per second, concurrent requests.
    Allow(WireShard, Arc<str>, f64, f64),
    /// See [`Message::InFlight`]: shard, running requests.
    InFlight(WireShard, Vec<WireInFlight>),
    /// See [`Message::BackendCrashed`]: backend server, fingerprint, whether a first token was
    /// received.
    Died(Arc<str>, u64, bool),
    /// See [`Message::CrashCount`]: fingerprint, crash count.
    Strike(u64, u32),
    /// See [`Message::Claim`]: key, request, subject.
    Claim(Arc<str>, Arc<str>, WireClaimSubject),
    /// See [`Message::Claimed`]: key, request, verdict.
    Claimed(Arc<str>, Arc<str>, WireClaimVerdict),
    /// See [`Message::Settle`]: key, request, outcome.
    Settle(Arc<str>, Arc<str>, WireKeyOutcome),
    /// See [`Message::Settled`]: request.
    Settled(Arc<str>),
    /// See [`Message::ClaimCheck`]: key, request.
    ClaimCheck(Arc<str>, Arc<str>),
    /// See [`Message::Digest`]: version of the rules, version of the host list, hash of the
    /// membership table.
    Digest(u64, u64, u64),
    /// See [`Message::Fetch`]: whether the rules are requested, whether the host list is.
    Fetch(bool, bool),
    /// See [`Message::RuleText`]: version, text of the rule file.
    RuleText(u64, Arc<str>),
    /// See [`Message::Hosts`]: version, host list.
    Hosts(u64, WireHostList),
    /// See [`Message::Buckets`]: hashes of the buckets.
    Buckets(Vec<u64>),
    /// See [`Message::Members`]: entries, numbers of the buckets that are complete.
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
                crash_count,
            } => Self::Strike(fingerprint, crash_count),
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
            WireMessage::Died(backend, fingerprint, had_first_token) => Self::BackendCrashed {
                backend,
                lost: LostCall {
                    fingerprint,
                    had_first_token,
                },
            },
            WireMessage::Strike(fingerprint, crash_count) => Self::CrashCount {
                fingerprint,
                crash_count,
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
            WireMessage::Members(entries, complete_buckets) => Self::Members {
                entries: entries.into_iter().map(<(HostId, Member)>::from).collect(),
                complete_buckets,
            },
        }
    }
}
