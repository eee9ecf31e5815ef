//! Steps of a decision, written down for explanations and the audit of decisions.

use std::time::Duration;

use crate::{
    AccountId, BackendId, CallOutcome, Candidate, GrantNumber, HostId, Refusal, RequestId, Shard,
};

/// One step in the life of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// The request.
    pub id: RequestId,
    /// Its client account; nobody else's credentials show the record.
    pub account: AccountId,
    /// Time since the request arrived.
    pub after: Duration,
    /// What happened.
    pub step: Step,
}

/// What happened in a step.
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
    /// The owner of its idempotency key answered.
    Claimed {
        /// The answer in one word; a stored answer is not written down.
        verdict: &'static str,
    },
    /// A shard scheduler was asked for a slot.
    Asked {
        /// The shard.
        shard: Shard,
        /// The host that leads it.
        leader: HostId,
        /// Number of the ask.
        attempt: u32,
    },
    /// It went to a backend server.
    Dispatched {
        /// The backend server.
        backend: BackendId,
        /// The grant, if one was needed.
        grant: Option<GrantNumber>,
        /// What was weighed, the chosen one first.
        candidates: Vec<Candidate>,
    },
    /// The backend server refused the connection; no byte left.
    NotReached,
    /// The first token came.
    FirstToken,
    /// The call ended.
    Finished {
        /// Tokens that came.
        tokens: u32,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// It was refused.
    Refused(Refusal),
}
