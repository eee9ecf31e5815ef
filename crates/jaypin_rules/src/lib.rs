//! The rule file of jaypin: what operators decide, one rule a line.
//!
//! Each line of the file is one YAML flow mapping followed by a comment that names
//! who asked for the rule, so that a monitor can trace every decision to a requester.
//! This crate is free of I/O: text in, a [`RuleSet`] or a list of [`Mistake`]s out.

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
pub use rule_set::{RuleAt, RuleSet};
