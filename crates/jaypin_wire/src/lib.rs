//! Serialized types: messages between hosts, JSON bodies for callers and operators, and
//! objects stored on the platform.
//!
//! Wire types are separate from the decision types of `jaypin_core`, with `From`
//! conversions between them, so that either side can change without the other.

mod api;
mod audit;
mod claims;
mod codec;
mod explain;
mod host_list;
mod link;
mod member;
mod refusal;
mod rules_object;
mod shard_state;
mod slots;

pub use api::{
    BackendState, EntryAddress, EntryBody, HostIdentity, HostState, RefusalBody, StatusBody,
};
pub use audit::{
    AuditEntry, AuditFault, AuditHead, AuditKind, AuditSegment, EntryDigest, digest_entry,
    verify_trail,
};
pub use claims::{WireClaimSubject, WireClaimVerdict, WireKeyOutcome, WireStoredAnswer};
pub use codec::{CodecError, decode, encode};
pub use explain::{AppliedRule, CandidateBody, ExplainBody, ExplainStep, StepBody};
pub use host_list::{WireBackend, WireHost, WireHostList};
pub use link::{Frame, Hello, LINK_VERSION, WireMessage};
pub use member::{MemberBody, WireMember, WireMemberStatus};
pub use rules_object::{ChangeStatus, RulesChange, RulesObject, RulesPart};
pub use shard_state::{ShardBackend, ShardState, TierWaiting};
