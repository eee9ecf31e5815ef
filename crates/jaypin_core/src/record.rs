//! Records of the steps of a decision, for explanations and for the audit log.

use std::time::Duration;

use crate::{
    AccountId, BackendId, CallOutcome, Candidate, GrantNumber, HostId, Refusal, RequestId, Shard,
};

/// One recorded step in the life of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Id of the request.
    pub id: RequestId,
    /// Client account of the request; the record is not shown to other accounts.
    pub account: AccountId,
    /// Time since the request arrived.
    pub after: Duration,
    /// The step that was taken.
    pub step: Step,
}

/// A step in the life of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// The request was accepted.
    Arrived {
        /// Rank of its tier.
        tier: u8,
        /// Lines of the rules that applied.
        rule_lines: Vec<u32>,
        /// Version of those rules.
        rules_version: u64,
    },
    /// The host that owns its idempotency key replied to the claim.
    Claimed {
        /// Short name of the reply; a stored answer is not recorded.
        verdict: &'static str,
    },
    /// A slot was requested from a shard scheduler.
    Asked {
        /// The shard.
        shard: Shard,
        /// The host that leads the shard.
        leader: HostId,
        /// Number of the slot request, from 1.
        attempt: u32,
    },
    /// The request was dispatched to a backend server.
    Dispatched {
        /// The backend server.
        backend: BackendId,
        /// Number of the grant; `None` when none was needed.
        grant: Option<GrantNumber>,
        /// The backend servers that were considered, the chosen one first.
        candidates: Vec<Candidate>,
    },
    /// The backend server refused the connection; no byte was sent.
    NotReached,
    /// The first token arrived.
    FirstToken,
    /// The call ended.
    Finished {
        /// Number of tokens received.
        tokens: u32,
        /// How the call ended.
        outcome: CallOutcome,
    },
    /// The request was refused.
    Refused(Refusal),
}
