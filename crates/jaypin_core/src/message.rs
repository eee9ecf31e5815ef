//! What hosts say to each other.

use std::sync::Arc;
use std::time::Duration;

use crate::{
    AccountId, Allowance, BackendId, ClaimSubject, ClaimVerdict, HostId, HostList, Incarnation,
    KeyOutcome, Member, Refusal, RequestId, Shard,
};

/// Number of a grant: greater is later, across runs of a shard scheduler's host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantNumber {
    /// When the shard scheduler began, in milliseconds since the Unix epoch by its
    /// host's clock.
    pub incarnation: Incarnation,
    /// Count within that run.
    pub sequence: u64,
}

/// A message between two hosts.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Owner to shard scheduler: a slot, please.
    Ask(Ask),
    /// Shard scheduler to owner: the request waits.
    Queued {
        /// The request.
        id: RequestId,
        /// The ask that is answered.
        attempt: u32,
        /// Wait of another request of its tier in this shard, as a hint.
        expected_wait: Duration,
    },
    /// Shard scheduler to owner: a slot.
    Grant(Grant),
    /// Shard scheduler to owner: given up on.
    Refused {
        /// The request.
        id: RequestId,
        /// The ask that is answered.
        attempt: u32,
        /// The final answer.
        refusal: Refusal,
        /// Wait of another request of its tier in this shard, as a hint.
        expected_wait: Duration,
    },
    /// To an owner: this host does not lead that shard.
    NotLeader {
        /// The request.
        id: RequestId,
        /// The ask that is answered.
        attempt: u32,
    },
    /// Owner to shard scheduler: the request is not wanted any more.
    Withdraw {
        /// The shard.
        shard: Shard,
        /// The request.
        id: RequestId,
    },
    /// Owner to shard scheduler: what became of a slot.
    Progress {
        /// The shard.
        shard: Shard,
        /// The request.
        id: RequestId,
        /// The grant.
        number: GrantNumber,
        /// What became of it.
        progress: SlotProgress,
    },
    /// Shard scheduler to owner: is this grant still in use? An owner that does not hold
    /// it answers with [`SlotProgress::Returned`].
    Confirm {
        /// The shard.
        shard: Shard,
        /// The request.
        id: RequestId,
        /// The grant.
        number: GrantNumber,
    },
    /// Shard scheduler to the keeper of an account's limits: what was asked here.
    Usage {
        /// The shard.
        shard: Shard,
        /// The account.
        account: AccountId,
        /// Tokens asked for since the last such message.
        tokens: f64,
        /// Most requests that ran or wanted to run at once since then.
        at_once: u32,
    },
    /// Keeper of an account's limits to a shard scheduler: what it may use of them.
    Allow {
        /// The shard.
        shard: Shard,
        /// The account.
        account: AccountId,
        /// What it may use.
        allowance: Allowance,
    },
    /// Owner to a new shard scheduler: what this owner has running there.
    InFlight {
        /// The shard.
        shard: Shard,
        /// The running requests.
        running: Vec<InFlight>,
    },
    /// Owner to shard scheduler: a call was lost because its backend server died.
    BackendCrashed {
        /// The backend server.
        backend: BackendId,
        /// The call.
        lost: Lost,
    },
    /// To a partner: a fingerprint under which backend servers died.
    CrashCount {
        /// The fingerprint.
        fingerprint: u64,
        /// Strikes against it.
        crash_count: u32,
    },
    /// To the host that a key names: may this request run?
    Claim {
        /// The key, as the caller gave it.
        key: Arc<str>,
        /// The request.
        id: RequestId,
        /// What the key is used for.
        subject: ClaimSubject,
    },
    /// From a key's owner: the answer to a claim.
    Claimed {
        /// The key.
        key: Arc<str>,
        /// The request.
        id: RequestId,
        /// The answer.
        verdict: ClaimVerdict,
    },
    /// To a key's owner: what became of a claimed call; repeated until confirmed.
    Settle {
        /// The key.
        key: Arc<str>,
        /// The request.
        id: RequestId,
        /// What became of it.
        outcome: KeyOutcome,
    },
    /// From a key's owner: the outcome arrived.
    Settled {
        /// The request.
        id: RequestId,
    },
    /// From a key's owner to a claim's holder: does the request still hold it?
    ClaimCheck {
        /// The key.
        key: Arc<str>,
        /// The request.
        id: RequestId,
    },
    /// To a partner, about once a second and at every change: what the sender has.
    Digest(Digest),
    /// To a peer that has something newer: send it.
    Fetch {
        /// The rule file.
        rules: bool,
        /// The host list.
        hosts: bool,
    },
    /// The rule file that was asked for.
    RuleText {
        /// Its version.
        version: u64,
        /// The file as its author wrote it.
        text: Arc<str>,
    },
    /// The host list that was asked for.
    Hosts(HostList),
    /// To a peer whose table differs: hashes of the sender's buckets.
    Buckets(Vec<u64>),
    /// Entries of the sender's table.
    Members {
        /// The entries.
        entries: Vec<(HostId, Member)>,
        /// Buckets of which these are all entries, and of which the receiver sends back
        /// what the sender lacks; none for mere news.
        complete_buckets: Vec<u8>,
    },
}

/// A call that was lost with its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lost {
    /// Fingerprint of its content, salted by account.
    pub fingerprint: u64,
    /// Whether a first token had come.
    pub had_first_token: bool,
}

/// What a host has, in a few bytes; contents follow on demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Digest {
    /// Version of the rules.
    pub rules_version: u64,
    /// Version of the host list.
    pub hosts_version: u64,
    /// Hash of the table of hosts.
    pub members: u64,
}

/// What a shard scheduler has to know of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    /// The shard asked.
    pub shard: Shard,
    /// The request.
    pub id: RequestId,
    /// Number of the ask, echoed in the answer.
    pub attempt: u32,
    /// Rank of its tier.
    pub tier: u8,
    /// Its client account.
    pub account: AccountId,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens that the answer may have.
    pub max_tokens: u32,
    /// Time left for the first token.
    pub first_token_due_in: Duration,
    /// Time left for the whole answer.
    pub response_due_in: Duration,
    /// Fingerprints of the prompt's prefixes, shortest first, salted by account.
    pub prefixes: Vec<u64>,
}

/// A numbered slot on a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// The shard.
    pub shard: Shard,
    /// The request.
    pub id: RequestId,
    /// The ask that is answered.
    pub attempt: u32,
    /// The grant's number.
    pub number: GrantNumber,
    /// The backend server.
    pub backend: BackendId,
    /// What was weighed, the chosen one first; for explanations.
    pub candidates: Vec<Candidate>,
    /// How long it waited, as a hint for other requests of its tier.
    pub expected_wait: Duration,
}

/// A backend server that was weighed for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The backend server.
    pub backend: BackendId,
    /// Estimated time to the first token.
    pub first_token: Duration,
    /// Requests it was running.
    pub running: u32,
    /// Requests it may run at once.
    pub limit: u32,
}

/// What became of a granted slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotProgress {
    /// The owner did not use it.
    Returned,
    /// The backend server could not be reached; no byte left.
    NotReached,
    /// The first token came.
    FirstToken {
        /// Time from dispatch.
        after: Duration,
    },
    /// The call ended.
    Finished {
        /// Tokens that came.
        tokens: u32,
        /// Time from dispatch.
        after: Duration,
        /// Whether the backend server broke off.
        lost: bool,
    },
}

/// A running request, as an owner reports it to a new shard scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InFlight {
    /// The request.
    pub id: RequestId,
    /// The grant it runs on.
    pub number: GrantNumber,
    /// The backend server.
    pub backend: BackendId,
    /// Its client account.
    pub account: AccountId,
    /// Rank of its tier.
    pub tier: u8,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens that the answer may have.
    pub max_tokens: u32,
}
