//! The audit trail of rule changes.
//!
//! Each entry contains the digest of the entry before it, so that tampering is detected.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Lower-case hexadecimal SHA-256 of an entry's stored text.
pub type EntryDigest = String;

/// State of a change that an entry records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AuditKind {
    /// The change is about to be written. This entry is stored before the write, so that no
    /// accepted change is missing from the trail.
    Proposed,
    /// The change was written and has a version.
    Accepted,
    /// The change was invalid and was not written.
    Refused,
    /// Another change was written first; this one was not written.
    LostRace,
}

impl fmt::Display for AuditKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Proposed => "proposed",
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::LostRace => "lost the race",
        })
    }
}

/// An entry of the trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Number of the entry, from 1.
    pub number: u64,
    /// Digest of the previous entry; empty for the first one.
    pub previous: EntryDigest,
    /// Time of the entry, in seconds since the Unix epoch.
    pub at: u64,
    /// State of the change.
    pub kind: AuditKind,
    /// ID of the `jaypin rules apply` run that this entry belongs to.
    pub apply_id: String,
    /// Operator who applied the change.
    pub author: String,
    /// Requesters of the change.
    pub requesters: Vec<String>,
    /// Version of the rules that the change was edited from.
    pub old_version: u64,
    /// Version that the change got or, when another change was written first, the version of
    /// that change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub new_version: Option<u64>,
    /// SHA-256 of the rule file.
    pub text_digest: String,
    /// Removed and added lines; only in the first entry of an apply run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub difference: Vec<String>,
    /// Number of lines left out of `difference` to limit the size of the entry.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub omitted_lines: usize,
    /// Reason why the change was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<String>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_zero(count: &usize) -> bool {
    *count == 0
}

/// An object of the trail, stored under the key `audit/N`.
///
/// Entries are stored as the text that was digested, so that a later release with other
/// fields computes the same digests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditSegment {
    /// Entries as JSON, oldest first.
    pub entries: Vec<String>,
}

/// The object stored under the key `audit/head`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditHead {
    /// Number of a segment that exists; the newest segment is this one or a later one.
    pub segment: u64,
}

/// A broken entry of the trail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuditFault {
    /// Position of the entry in the trail, from 1.
    pub position: u64,
    /// Description of the fault.
    pub message: String,
}

impl fmt::Display for AuditFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "entry {}: {}", self.position, self.message)
    }
}

/// Computes the digest of an entry's stored text.
#[must_use]
pub fn digest_entry(text: &str) -> EntryDigest {
    hex::encode(Sha256::digest(text.as_bytes()))
}

/// Parses the entries of the trail and returns them with every fault found.
///
/// It detects entries that were changed, removed from the middle, inserted or reordered.
/// Entries removed from the end can only be detected by comparing with a digest that was
/// recorded outside the platform.
#[must_use]
pub fn verify_trail<'a>(
    entries: impl IntoIterator<Item = &'a str>,
) -> (Vec<AuditEntry>, Vec<AuditFault>) {
    let mut read = Vec::new();
    let mut faults = Vec::new();
    let mut previous = EntryDigest::new();
    for (position, text) in (1..).zip(entries) {
        match serde_json::from_str::<AuditEntry>(text) {
            Ok(entry) => {
                let mut fault = |message: String| {
                    faults.push(AuditFault { position, message });
                };
                if entry.number != position {
                    fault(format!(
                        "found the number {}, expected {position}",
                        entry.number
                    ));
                }
                if entry.previous != previous {
                    fault("its `previous` digest does not match the entry before it".to_owned());
                }
                read.push(entry);
            }
            Err(error) => faults.push(AuditFault {
                position,
                message: format!("the entry can't be parsed: {error}"),
            }),
        }
        previous = digest_entry(text);
    }
    (read, faults)
}
