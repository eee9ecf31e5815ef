//! The rule file of jaypin, with which operators configure scheduling.
//!
//! Each line of the file is a YAML flow mapping with one rule, followed by a comment that
//! names the requester of the rule, so that every decision can be traced to a requester.
//! This crate does no I/O: [`parse`] turns the text of a file into a [`RuleSet`] or a list
//! of [`Mistake`]s.

mod check;
mod difference;
mod digest;
mod fields;
mod index;
mod kinds;
mod line;
mod mistake;
mod nearest;
mod parse;
mod redact;
mod rule;
mod rule_set;

pub use difference::{LineChange, difference};
pub use digest::{CredentialDigest, digest_credential};
pub use index::RuleIndex;
pub use mistake::Mistake;
pub use nearest::name_hint;
pub use parse::parse;
pub use redact::{redact_line, requester_of};
pub use rule::{
    AccountRule, CallerRule, FencingRule, LimitRule, Origin, QuarantineRule, Repeat, RouteRule,
    ServiceKind, ServiceRule, TierRule,
};
pub use rule_set::{LocatedRule, RuleSet};
