//! The rules as the platform keeps them, in JSON, with their last changes.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Changes that the object keeps; the audit trail keeps all.
const KEPT_CHANGES: usize = 20;

/// The object behind the key `rules`; its version is the platform object's.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RulesObject {
    /// The rule file as its author wrote it; empty when it is kept in parts.
    pub text: String,
    /// Parts of a file that is too large for one object, in order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<RulesPart>,
    /// Last changes, newest last.
    #[serde(default)]
    pub changes: Vec<RulesChange>,
}

/// A part of a rule file, kept as a JSON string behind a key of its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesPart {
    /// Lower-case hexadecimal SHA-256 of its text.
    pub digest: String,
}

impl RulesPart {
    /// Names the part that holds a text.
    #[must_use]
    pub fn from_text(text: &str) -> Self {
        Self {
            digest: hex::encode(Sha256::digest(text.as_bytes())),
        }
    }

    /// The key it is kept behind; parts with the same text share it.
    #[must_use]
    pub fn key(&self) -> String {
        format!("rules/{}", self.digest)
    }

    /// Whether a text is this part's.
    #[must_use]
    pub fn has_text(&self, text: &str) -> bool {
        *self == Self::from_text(text)
    }
}

/// One accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesChange {
    /// Id of the apply; settles a write whose answer was lost.
    pub apply_id: String,
    /// Who applied it.
    pub author: String,
    /// When, in seconds since the Unix epoch.
    pub at: u64,
    /// Who asked for it.
    #[serde(default)]
    pub requesters: Vec<String>,
    /// The version it was edited from.
    #[serde(default)]
    pub edited_from: u64,
    /// Lines added.
    #[serde(default)]
    pub added: usize,
    /// Lines removed.
    #[serde(default)]
    pub removed: usize,
}

impl RulesObject {
    /// Gives the object after a change.
    #[must_use]
    pub fn with_change(&self, text: String, change: RulesChange) -> Self {
        let kept = self.changes.len().saturating_sub(KEPT_CHANGES - 1);
        let mut changes = self.changes[kept..].to_vec();
        changes.push(change);
        Self {
            text,
            parts: Vec::new(),
            changes,
        }
    }

    /// Whether the newest change is that of an apply, or an earlier one is.
    #[must_use]
    pub fn change_status(&self, apply_id: &str) -> ChangeStatus {
        match self.changes.iter().rposition(|it| it.apply_id == apply_id) {
            None => ChangeStatus::Missing,
            Some(place) if place + 1 == self.changes.len() => ChangeStatus::Current,
            Some(_) => ChangeStatus::Superseded,
        }
    }
}

/// Where the change of an apply stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeStatus {
    /// It is not among the last changes.
    Missing,
    /// It was accepted, and another change followed.
    Superseded,
    /// It is the version in force.
    Current,
}
