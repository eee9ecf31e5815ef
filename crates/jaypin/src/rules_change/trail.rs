//! The audit trail on the platform: numbered objects of chained entries.
//!
//! `audit/head` names a segment that exists, `audit/N` holds entries. An append costs
//! two reads and one write; a new segment costs two writes more.

use jaypin_wire::{AuditEntry, AuditHead, AuditSegment, digest_entry};

use super::settle::{Deadline, Settled, put_settled};
use crate::platform::PlatformClient;

/// Key of the head.
const HEAD: &str = "audit/head";
/// Bytes of entries after which a new segment begins.
const SEGMENT_BYTES: usize = 512 * 1024;
/// Bytes of one entry's difference; a segment and an entry fit into one object.
const DIFFERENCE_BYTES: usize = 128 * 1024;
/// Characters of a note.
const NOTE_CHARS: usize = 8 * 1024;

/// Reads and appends entries.
#[derive(Debug)]
pub struct Trail<'a> {
    client: &'a PlatformClient,
}

impl<'a> Trail<'a> {
    /// Stands on a client of the platform.
    pub fn new(client: &'a PlatformClient) -> Self {
        Self { client }
    }

    /// Appends an entry; its number and chain are filled in.
    pub fn append(&self, mut entry: AuditEntry, deadline: Deadline) -> Result<(), String> {
        shorten(&mut entry);
        let (head_version, head) = self.client.get::<AuditHead>(HEAD)?.unwrap_or_default();
        let mut number = head.segment;
        let (mut version, mut segment) = self.segment(number)?;
        let mut last = segment.entries.last().cloned();
        loop {
            if deadline.is_over() {
                return Err("the audit trail could not be written in time".to_owned());
            }
            if size(&segment) >= SEGMENT_BYTES {
                number += 1;
                (version, segment) = self.segment(number)?;
                last = segment.entries.last().cloned().or(last);
                continue;
            }
            let text = chain(&mut entry, last.as_deref())?;
            segment.entries.push(text.clone());
            let is_ours = |found: &AuditSegment| found.entries.contains(&text);
            let key = segment_key(number);
            match put_settled(self.client, &key, version, &segment, deadline, is_ours)? {
                Settled::Written(_) => break,
                Settled::Conflict(found_version, found) => {
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

    /// Reads every entry as it is kept, oldest first.
    pub fn read(&self) -> Result<Vec<String>, String> {
        let (_, head) = self.client.get::<AuditHead>(HEAD)?.unwrap_or_default();
        let mut entries = Vec::new();
        let mut number = 0;
        loop {
            let (version, segment) = self.segment(number)?;
            if version == 0 && number >= head.segment {
                return Ok(entries);
            }
            entries.extend(segment.entries);
            number += 1;
        }
    }

    fn segment(&self, number: u64) -> Result<(u64, AuditSegment), String> {
        let found = self.client.get::<AuditSegment>(&segment_key(number))?;
        Ok(found.unwrap_or_default())
    }

    /// The head only saves reads: one that stays behind is passed over by the next
    /// append, so a lost write needs no second try.
    fn move_head(&self, version: u64, segment: u64) {
        if let Err(error) = self.client.put(HEAD, version, &AuditHead { segment }) {
            log::info!(error; "the head of the audit trail stays behind");
        }
    }
}

fn segment_key(number: u64) -> String {
    format!("audit/{number}")
}

fn size(segment: &AuditSegment) -> usize {
    segment.entries.iter().map(String::len).sum()
}

/// Ties an entry to the one before it.
///
/// One that can't be read does not stop operators from changing rules: its digest is
/// taken all the same, and the check of the trail names it.
fn chain(entry: &mut AuditEntry, last: Option<&str>) -> Result<String, String> {
    let before = last.and_then(|text| serde_json::from_str::<AuditEntry>(text).ok());
    entry.number = before.map_or(0, |before| before.number) + 1;
    entry.previous = last.map(digest_entry).unwrap_or_default();
    serde_json::to_string(entry).map_err(|error| error.to_string())
}

/// Keeps as many lines of the difference as fit into an entry, and counts the others.
fn shorten(entry: &mut AuditEntry) {
    let mut bytes = 0;
    let mut fits = |line: &String| {
        bytes += line.len();
        bytes <= DIFFERENCE_BYTES
    };
    let kept = entry
        .difference
        .iter()
        .map_while(|line| fits(line).then_some(()))
        .count();
    entry.omitted_lines = entry.difference.len() - kept;
    entry.difference.truncate(kept);
    if let Some(note) = &mut entry.note
        && let Some((end, _)) = note.char_indices().nth(NOTE_CHARS)
    {
        note.truncate(end);
        note.push_str(" ...");
    }
}
