//! Request scheduling of jaypin: one reducer that turns events into effects, without I/O.
//!
//! [`Reducer::apply`] is the only owner of decision state. It does no I/O, reads no clock,
//! and draws random numbers from a seed in its state, so the same events always give the
//! same effects. This makes every routing decision explainable, replayable and testable.

mod allowance;
mod backend_model;
mod baseline;
mod claims;
mod config;
mod effect;
mod event;
mod host_list;
mod ids;
mod keys;
mod limit_keeper;
mod local;
mod member;
mod membership;
mod message;
mod message_bounds;
mod outcome;
mod owner;
mod partners;
mod prefix_index;
mod quarantine;
mod record;
mod reducer;
mod rendezvous;
mod request;
mod rule_index;
mod scheduler;
mod shard;
mod shard_hints;
mod token_gaps;

pub use allowance::Allowance;
pub use backend_model::BackendModel;
pub use config::{Config, Policy};
pub use effect::Effect;
pub use event::{CallOutcome, CallProgress, Event, LoadReport};
pub use host_list::{BackendRecord, HostList, HostRecord, Presence};
pub use ids::{AccountId, BackendId, FailureDomain, HostId, Incarnation, RequestId, ServiceId};
pub use keys::{
    ClaimSubject, ClaimVerdict, IdempotencyKey, KEY_PERIOD, KeyOutcome, KeyTable, MAX_KEYS,
    MAX_KEYS_PER_ACCOUNT, MAX_STORED_ANSWER_BYTES, MAX_TOTAL_STORED_BYTES, RETAINED_KEY_PERIODS,
    StoredAnswer,
};
pub use member::{Member, MemberStatus, MemberTable};
pub use membership::Membership;
pub use message::{
    Ask, Candidate, Digest, Grant, GrantNumber, InFlight, LostCall, Message, SlotProgress,
};
pub use outcome::{Ran, Reason, Refusal};
pub use partners::partners;
pub use prefix_index::prefix_tokens;
pub use quarantine::{Quarantine, SuspectCounts};
pub use record::{Record, Step};
pub use reducer::{Reducer, Summary};
pub use rendezvous::{rank_by_score, score};
pub use request::RequestInfo;
pub use rule_index::{RuleIndex, TierTargets};
pub use scheduler::{BackendReport, BackendState, ShardReport};
pub use scheduler::{OutgoingMessage, Scheduler};
pub use shard::{Shard, ShardMap};
pub use token_gaps::TokenGapModel;
