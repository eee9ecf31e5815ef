//! The audit trail on the platform: numbered segments of entries that form a hash chain.
//!
//! The object `audit/N` holds the entries of segment N, and `audit/head` the number of an
//! existing segment, from which the search for the last one starts. An append needs two reads
//! and one write; a new segment needs two more writes.

use jaypin_wire::{AuditEntry, AuditHead, AuditSegment, digest_entry};

use super::confirmed_put::{ConfirmedPut, Deadline, put_confirmed};
use crate::platform::PlatformClient;

/// Key of the object with the number of an existing segment.
const HEAD_KEY: &str = "audit/head";
/// Size of a segment's entries, in bytes, from which on a new segment is started.
const FULL_SEGMENT_BYTES: usize = 512 * 1024;
/// Maximum size of the difference in an entry, in bytes. A segment below the limit and one more
/// entry fit into one object.
const MAX_DIFFERENCE_BYTES: usize = 128 * 1024;
/// Maximum length of a note, in characters.
const MAX_NOTE_CHARS: usize = 8 * 1024;

/// Reads and appends entries of the audit trail.
#[derive(Debug)]
pub struct AuditTrail<'a> {
    client: &'a PlatformClient,
}

impl<'a> AuditTrail<'a> {
    /// Creates an audit trail that uses a client of the platform.
    pub fn new(client: &'a PlatformClient) -> Self {
        Self { client }
    }

    /// Appends an entry after setting its number and the digest of the entry before it.
    pub fn append(&self, mut entry: AuditEntry, deadline: Deadline) -> Result<(), String> {
        truncate(&mut entry);
        let (head_version, head) = self.client.get::<AuditHead>(HEAD_KEY)?.unwrap_or_default();
        let mut number = head.segment;
        let (mut version, mut segment) = self.read_segment(number)?;
        let mut last = segment.entries.last().cloned();
        loop {
            if deadline.has_passed() {
                return Err("the audit trail could not be written in time".to_owned());
            }
            if entry_bytes(&segment) >= FULL_SEGMENT_BYTES {
                number += 1;
                (version, segment) = self.read_segment(number)?;
                last = segment.entries.last().cloned().or(last);
                continue;
            }
            let text = encode_chained(&mut entry, last.as_deref())?;
            segment.entries.push(text.clone());
            let is_own_write = |found: &AuditSegment| found.entries.contains(&text);
            let key = segment_key(number);
            match put_confirmed(self.client, &key, version, &segment, deadline, is_own_write)? {
                ConfirmedPut::Written(_) => break,
                ConfirmedPut::Conflict(found_version, found) => {
                    version = found_version;
                    last = found.entries.last().cloned().or(last);
                    segment = found;
                }
            }
        }
        if number != head.segment {
            self.move_head(head_version, number);
        }
        Ok(())
    }

    /// Reads all entries as they are stored, oldest first.
    pub fn read(&self) -> Result<Vec<String>, String> {
        let (_, head) = self.client.get::<AuditHead>(HEAD_KEY)?.unwrap_or_default();
        let mut entries = Vec::new();
        let mut number = 0;
        loop {
            let (version, segment) = self.read_segment(number)?;
            if version == 0 && number >= head.segment {
                return Ok(entries);
            }
            entries.extend(segment.entries);
            number += 1;
        }
    }

    /// Returns version and entries of a segment; version 0 if the segment doesn't exist.
    fn read_segment(&self, number: u64) -> Result<(u64, AuditSegment), String> {
        let found = self.client.get::<AuditSegment>(&segment_key(number))?;
        Ok(found.unwrap_or_default())
    }

    /// Stores the number of the last segment. The head only saves reads: the next append starts
    /// at an outdated one and reads the segments that follow, so a failed write isn't repeated.
    fn move_head(&self, version: u64, segment: u64) {
        if let Err(error) = self.client.put(HEAD_KEY, version, &AuditHead { segment }) {
            log::info!(
                error;
                "failed to update the head of the audit trail; the next append reads more segments"
            );
        }
    }
}

fn segment_key(number: u64) -> String {
    format!("audit/{number}")
}

fn entry_bytes(segment: &AuditSegment) -> usize {
    segment.entries.iter().map(String::len).sum()
}

/// Sets the number of an entry and the digest of the last one, and encodes it as JSON.
///
/// If the last entry can't be decoded, its digest is used all the same, so that operators can
/// still change rules; the verification of the trail reports it.
fn encode_chained(entry: &mut AuditEntry, last: Option<&str>) -> Result<String, String> {
    let previous = last.and_then(|text| serde_json::from_str::<AuditEntry>(text).ok());
    entry.number = previous.map_or(0, |previous| previous.number) + 1;
    entry.previous = last.map(digest_entry).unwrap_or_default();
    serde_json::to_string(entry).map_err(|error| error.to_string())
}

/// Truncates the difference to the lines that fit into an entry, counts the omitted ones, and
/// truncates a long note.
fn truncate(entry: &mut AuditEntry) {
    let mut bytes = 0;
    let mut fits = |line: &String| {
        bytes += line.len();
        bytes <= MAX_DIFFERENCE_BYTES
    };
    let kept = entry
        .difference
        .iter()
        .map_while(|line| fits(line).then_some(()))
        .count();
    entry.omitted_lines = entry.difference.len() - kept;
    entry.difference.truncate(kept);
    if let Some(note) = &mut entry.note
        && let Some((end, _)) = note.char_indices().nth(MAX_NOTE_CHARS)
    {
        note.truncate(end);
        note.push_str(" ...");
    }
}
