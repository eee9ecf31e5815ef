//! Storage of rule files that are too large for one object of the platform.
//!
//! A file with 17,000 client accounts has about 3 MB. It is split at line ends into parts, and
//! the key of a part is its digest. Hence parts are immutable, a part that didn't change isn't
//! written again, and a reader can verify it. The rules object, which lists the parts, is
//! written last, so that no version takes effect before all of its parts are stored.

use jaypin_wire::{RulesObject, RulesPart};

use super::confirmed_put::{Deadline, put_confirmed};
use crate::platform::PlatformClient;

/// Maximum size of a text that is stored in the rules object itself, in bytes.
const MAX_INLINE_BYTES: usize = 256 * 1024;
/// Maximum size of a part's text, in bytes; encoded as JSON it stays below a megabyte.
const MAX_PART_BYTES: usize = 256 * 1024;

/// Splits the text of a large object into parts and writes those that are not stored yet. A
/// small object stays as it is.
pub fn store_parts(
    client: &PlatformClient,
    object: &mut RulesObject,
    deadline: Deadline,
) -> Result<(), String> {
    if object.text.len() <= MAX_INLINE_BYTES {
        return Ok(());
    }
    let text = std::mem::take(&mut object.text);
    for piece in split(&text) {
        let part = RulesPart::from_text(piece);
        let value = piece.to_owned();
        if client.get::<String>(&part.key())?.is_none() {
            put_confirmed(client, &part.key(), 0, &value, deadline, |_| true)?;
        }
        object.parts.push(part);
    }
    Ok(())
}

/// Reads the parts of an object, verifies each one and appends it to the object's text.
pub fn read_parts(client: &PlatformClient, object: &mut RulesObject) -> Result<(), String> {
    for part in &object.parts {
        let found = client.get::<String>(&part.key())?;
        let (_, text) = found.ok_or_else(|| {
            format!(
                "{}: this part of the rules is missing on the platform",
                part.key()
            )
        })?;
        if !part.has_text(&text) {
            return Err(format!(
                "{}: the text doesn't match the digest in its key",
                part.key()
            ));
        }
        object.text.push_str(&text);
    }
    Ok(())
}

/// Splits a text at line ends into pieces of at most `MAX_PART_BYTES`. A single line that is
/// longer becomes one piece.
fn split(text: &str) -> Vec<&str> {
    let mut pieces = Vec::new();
    let (mut start, mut end) = (0, 0);
    for line in text.split_inclusive('\n') {
        if end > start && end - start + line.len() > MAX_PART_BYTES {
            pieces.push(&text[start..end]);
            start = end;
        }
        end += line.len();
    }
    pieces.push(&text[start..end]);
    pieces
}
