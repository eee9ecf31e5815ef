//! Messages that hosts exchange over their peer links.

use std::sync::Arc;
use std::time::Duration;

use crate::{
    AccountId, Allowance, BackendId, ClaimSubject, ClaimVerdict, HostId, HostList, Incarnation,
    KeyOutcome, Member, Refusal, RequestId, Shard,
};

/// Number of a grant. A later grant has a greater number, also after the host of the
/// shard scheduler restarted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantNumber {
    /// Start time of the shard scheduler, in milliseconds since the Unix epoch by its
    /// host's clock.
    pub incarnation: Incarnation,
    /// Count of the grants of that scheduler.
    pub sequence: u64,
}

/// A message between two hosts.
///
/// The owner of a request is the host that accepted it from the caller. A shard
/// scheduler grants the slots of one shard, on the host that leads the shard.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Owner to shard scheduler: requests a slot.
    Ask(Ask),
    /// Shard scheduler to owner: the request is queued.
    Queued {
        /// The request.
        id: RequestId,
        /// Number of the slot request that this message answers.
        attempt: u32,
        /// Expected wait of a further request of this tier in this shard, as a hint.
        expected_wait: Duration,
    },
    /// Shard scheduler to owner: grants a slot.
    Grant(Grant),
    /// Shard scheduler to owner: refuses the request.
    Refused {
        /// The request.
        id: RequestId,
        /// Number of the slot request that this message answers.
        attempt: u32,
        /// The refusal, with its reason.
        refusal: Refusal,
        /// Expected wait of a further request of this tier in this shard, as a hint.
        expected_wait: Duration,
    },
    /// To an owner: the sender does not lead the shard that it was asked for.
    NotLeader {
        /// The request.
        id: RequestId,
        /// Number of the slot request that this message answers.
        attempt: u32,
    },
    /// Owner to shard scheduler: cancels a request that waits for a slot.
    Withdraw {
        /// The shard.
        shard: Shard,
        /// The request.
        id: RequestId,
    },
    /// Owner to shard scheduler: reports what happened to a granted slot.
    Progress {
        /// The shard.
        shard: Shard,
        /// The request.
        id: RequestId,
        /// Number of the grant.
        number: GrantNumber,
        /// What happened to the slot.
        progress: SlotProgress,
    },
    /// Shard scheduler to owner: checks whether a grant is still in use. An owner that
    /// does not hold it responds with [`SlotProgress::Returned`].
    Confirm {
        /// The shard.
        shard: Shard,
        /// The request.
        id: RequestId,
        /// Number of the grant.
        number: GrantNumber,
    },
    /// Shard scheduler to the host that splits an account's limits: reports the account's
    /// demand in the shard.
    Usage {
        /// The shard.
        shard: Shard,
        /// The account.
        account: AccountId,
        /// Estimated tokens that were requested since the last such message.
        tokens: f64,
        /// Highest number of requests that ran or were ready to run at once since then.
        at_once: u32,
    },
    /// Host that splits an account's limits to a shard scheduler: the part of the limits
    /// that the shard may use.
    Allow {
        /// The shard.
        shard: Shard,
        /// The account.
        account: AccountId,
        /// The shard's part of the limits.
        allowance: Allowance,
    },
    /// Owner to a new shard scheduler: the owner's running requests in the shard.
    InFlight {
        /// The shard.
        shard: Shard,
        /// The running requests; may be empty.
        running: Vec<InFlight>,
    },
    /// Owner to shard scheduler: a call was lost because its backend server crashed.
    BackendCrashed {
        /// The backend server.
        backend: BackendId,
        /// The lost call.
        lost: LostCall,
    },
    /// To a partner: a request fingerprint during whose calls backend servers crashed.
    CrashCount {
        /// Fingerprint of the content, salted by account.
        fingerprint: u64,
        /// Number of crashes that are attributed to it.
        crash_count: u32,
    },
    /// To the owner of an idempotency key, the host that the key names: claims the key for
    /// a request.
    Claim {
        /// The key, as the caller sent it.
        key: Arc<str>,
        /// The request.
        id: RequestId,
        /// The call that the key is used for.
        subject: ClaimSubject,
    },
    /// From a key's owner: whether a claim is granted.
    Claimed {
        /// The key.
        key: Arc<str>,
        /// The request.
        id: RequestId,
        /// The decision.
        verdict: ClaimVerdict,
    },
    /// To a key's owner: the outcome of a claimed call; resent until it is confirmed.
    Settle {
        /// The key.
        key: Arc<str>,
        /// The request.
        id: RequestId,
        /// The outcome.
        outcome: KeyOutcome,
    },
    /// From a key's owner: confirms that the outcome was received.
    Settled {
        /// The request.
        id: RequestId,
    },
    /// From a key's owner to the holder of a claim: checks whether the request still holds
    /// it.
    ClaimCheck {
        /// The key.
        key: Arc<str>,
        /// The request.
        id: RequestId,
    },
    /// To a partner, in every gossip round (about once a second) and at every change: the
    /// versions that the sender has.
    Digest(Digest),
    /// To a peer that has newer versions: requests their contents.
    Fetch {
        /// Whether the rule file is requested.
        rules: bool,
        /// Whether the host list is requested.
        hosts: bool,
    },
    /// The requested rule file.
    RuleText {
        /// Version of the rules.
        version: u64,
        /// The file as its author wrote it.
        text: Arc<str>,
    },
    /// The requested host list.
    Hosts(HostList),
    /// To a peer whose membership table differs: hashes of the buckets of the sender's
    /// table.
    Buckets(Vec<u64>),
    /// Entries of the sender's membership table.
    Members {
        /// The entries.
        entries: Vec<(HostId, Member)>,
        /// Buckets of which `entries` holds all entries. The receiver sends back the
        /// entries of these buckets that the sender lacks. Empty when the message only
        /// carries changes.
        complete_buckets: Vec<u8>,
    },
}

/// A call that was lost with its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostCall {
    /// Fingerprint of its content, salted by account.
    pub fingerprint: u64,
    /// Whether its first token had been received.
    pub had_first_token: bool,
}

/// Versions and table hash of a host, for comparison with a peer's. Contents are fetched
/// only when they differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Digest {
    /// Version of the rules.
    pub rules_version: u64,
    /// Version of the host list.
    pub hosts_version: u64,
    /// Hash of the membership table.
    pub members: u64,
}

/// A request for a slot, with what the shard scheduler needs to know.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    /// The shard whose scheduler is asked.
    pub shard: Shard,
    /// The request.
    pub id: RequestId,
    /// Number of this slot request, counted from 1 for each request and echoed in the
    /// response.
    pub attempt: u32,
    /// Rank of its tier.
    pub tier: u8,
    /// Its client account.
    pub account: AccountId,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the response, in tokens.
    pub max_tokens: u32,
    /// Time left until the first token is due.
    pub first_token_due_in: Duration,
    /// Time left until the complete response is due.
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
    /// Number of the slot request that this grant answers.
    pub attempt: u32,
    /// The grant's number.
    pub number: GrantNumber,
    /// The backend server.
    pub backend: BackendId,
    /// Backend servers that were considered, the chosen one first; for explanations.
    pub candidates: Vec<Candidate>,
    /// Time that the request waited, as a hint for other requests of its tier.
    pub expected_wait: Duration,
}

/// A backend server that was considered for a request.
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

/// What happened to a granted slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotProgress {
    /// The owner did not use it.
    Returned,
    /// The connection to the backend server failed; no byte of the request was sent.
    NotReached,
    /// The first token was received.
    FirstToken {
        /// Time since dispatch.
        after: Duration,
    },
    /// The call ended.
    Finished {
        /// Number of received tokens.
        tokens: u32,
        /// Time since dispatch.
        after: Duration,
        /// Whether the connection to the backend server was lost.
        lost: bool,
    },
}

/// A running request, as an owner reports it to a new shard scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InFlight {
    /// The request.
    pub id: RequestId,
    /// Number of the grant that it runs on.
    pub number: GrantNumber,
    /// The backend server.
    pub backend: BackendId,
    /// Its client account.
    pub account: AccountId,
    /// Rank of its tier.
    pub tier: u8,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the response, in tokens.
    pub max_tokens: u32,
}
