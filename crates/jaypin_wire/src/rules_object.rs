//! The rules as the platform stores them, in JSON, with their last changes.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of changes stored in the object; the audit trail has all of them.
const MAX_STORED_CHANGES: usize = 20;

/// The object stored under the key `rules`; its version is that of the platform object.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RulesObject {
    /// The unmodified text of the rule file; empty when it is stored in parts.
    pub text: String,
    /// Parts of a file that is too large for one object, in order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<RulesPart>,
    /// Most recent accepted changes, newest last.
    #[serde(default)]
    pub changes: Vec<RulesChange>,
}

/// Reference to a part of a rule file, which is stored as a JSON string under its own key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesPart {
    /// Lower-case hexadecimal SHA-256 of the part's text.
    pub digest: String,
}

impl RulesPart {
    /// Returns the reference to the part with the given text.
    #[must_use]
    pub fn from_text(text: &str) -> Self {
        Self {
            digest: hex::encode(Sha256::digest(text.as_bytes())),
        }
    }

    /// Returns the key of the part; parts with the same text share a key.
    #[must_use]
    pub fn key(&self) -> String {
        format!("rules/{}", self.digest)
    }

    /// Checks whether a text is the text of this part.
    #[must_use]
    pub fn has_text(&self, text: &str) -> bool {
        *self == Self::from_text(text)
    }
}

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesChange {
    /// ID of the `jaypin rules apply` run. It shows whether a write whose response was lost
    /// had succeeded.
    pub apply_id: String,
    /// Operator who applied the change.
    pub author: String,
    /// Time of the change, in seconds since the Unix epoch.
    pub at: u64,
    /// Requesters of the change.
    #[serde(default)]
    pub requesters: Vec<String>,
    /// Version of the rules that the change was edited from.
    #[serde(default)]
    pub edited_from: u64,
    /// Number of added lines.
    #[serde(default)]
    pub added: usize,
    /// Number of removed lines.
    #[serde(default)]
    pub removed: usize,
}

impl RulesObject {
    /// Returns the object with new rules and their change, which replaces the oldest stored
    /// change when there is no space for another.
    #[must_use]
    pub fn with_change(&self, text: String, change: RulesChange) -> Self {
        let first_kept = self.changes.len().saturating_sub(MAX_STORED_CHANGES - 1);
        let mut changes = self.changes[first_kept..].to_vec();
        changes.push(change);
        Self {
            text,
            parts: Vec::new(),
            changes,
        }
    }

    /// Returns the status of the change that an apply run made.
    #[must_use]
    pub fn change_status(&self, apply_id: &str) -> ChangeStatus {
        match self.changes.iter().rposition(|it| it.apply_id == apply_id) {
            None => ChangeStatus::Missing,
            Some(position) if position + 1 == self.changes.len() => ChangeStatus::Current,
            Some(_) => ChangeStatus::Superseded,
        }
    }
}

/// Status of the change that an apply run made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeStatus {
    /// The change is not among the stored changes.
    Missing,
    /// The change was accepted, and another change has followed.
    Superseded,
    /// The change is the newest version.
    Current,
}
