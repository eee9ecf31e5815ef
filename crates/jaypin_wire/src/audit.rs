//! The audit trail of rule changes: entries chained by digest, so that tampering shows.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Lower-case hexadecimal SHA-256 of an entry as it is kept.
pub type EntryDigest = String;

/// What became of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AuditKind {
    /// It is about to be written; kept first, so that no accepted change is missing.
    Proposed,
    /// It is in force as a version.
    Accepted,
    /// It was wrong and was not written.
    Refused,
    /// Another change came first; nothing was written.
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

/// One entry of the trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Count of the entry, from 1.
    pub number: u64,
    /// Digest of the entry before; empty for the first.
    pub previous: EntryDigest,
    /// When, in seconds since the Unix epoch.
    pub at: u64,
    /// What became of the change.
    pub kind: AuditKind,
    /// Id of the apply that this entry belongs to.
    pub apply_id: String,
    /// Who applied it.
    pub author: String,
    /// Who asked for it.
    pub requesters: Vec<String>,
    /// The version it was edited from.
    pub old_version: u64,
    /// The version it became, or the one that came first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub new_version: Option<u64>,
    /// SHA-256 of the rule file.
    pub text_digest: String,
    /// Lines that were removed and added; only in the first entry of an apply.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub difference: Vec<String>,
    /// Lines of the difference that found no room.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub omitted_lines: usize,
    /// Why it was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<String>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_zero(count: &usize) -> bool {
    *count == 0
}

/// One object of the trail, kept behind the key `audit/N`.
///
/// Entries are kept as the text that was digested, so that a later release with other
/// fields digests the same.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditSegment {
    /// Entries as JSON, oldest first.
    pub entries: Vec<String>,
}

/// The object behind the key `audit/head`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditHead {
    /// A segment that exists; the newest is this one or a later one.
    pub segment: u64,
}

/// A place where the trail does not hold together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuditFault {
    /// Place of the entry in the trail, from 1.
    pub position: u64,
    /// What is wrong there.
    pub message: String,
}

impl fmt::Display for AuditFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "entry {}: {}", self.position, self.message)
    }
}

/// Digests an entry as it is kept.
#[must_use]
pub fn digest_entry(text: &str) -> EntryDigest {
    hex::encode(Sha256::digest(text.as_bytes()))
}

/// Reads the trail and names every place where it does not hold together.
///
/// It finds entries that were changed, removed from the middle, put in or reordered.
/// Entries cut off at the end show only against a digest noted outside the platform.
#[must_use]
pub fn verify_trail<'a>(
    entries: impl IntoIterator<Item = &'a str>,
) -> (Vec<AuditEntry>, Vec<AuditFault>) {
    let mut read = Vec::new();
    let mut faults = Vec::new();
    let mut previous = EntryDigest::new();
    for (place, text) in (1..).zip(entries) {
        match serde_json::from_str::<AuditEntry>(text) {
            Ok(entry) => {
                let mut fault = |message: String| {
                    faults.push(AuditFault {
                        position: place,
                        message,
                    });
                };
                if entry.number != place {
                    fault(format!("it carries the number {}", entry.number));
                }
                if entry.previous != previous {
                    fault("it does not follow from the entry before it".to_owned());
                }
                read.push(entry);
            }
            Err(error) => faults.push(AuditFault {
                position: place,
                message: format!("it can't be read: {error}"),
            }),
        }
        previous = digest_entry(text);
    }
    (read, faults)
}
