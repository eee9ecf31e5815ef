//! Rule files that are too large for one object of the platform.
//!
//! At 17,000 client accounts a file has about 3 MB. It is cut at line ends into parts
//! whose keys are their digests: a part that did not change is not written again, no
//! part ever changes, and whoever reads one can check it. The rules object, which names
//! the parts, is written last, so no version is in force before all of it is there.

use jaypin_wire::{RulesObject, RulesPart};

use super::settle::{Deadline, put_settled};
use crate::platform::PlatformClient;

/// Bytes of text above which a file is kept in parts.
const MAX_INLINE: usize = 256 * 1024;
/// Bytes of text in one part; written as JSON it stays below a megabyte.
const MAX_PART: usize = 256 * 1024;

/// Cuts the text of an object into parts, when it is large, and writes them.
pub fn store_parts(
    client: &PlatformClient,
    object: &mut RulesObject,
    deadline: Deadline,
) -> Result<(), String> {
    if object.text.len() <= MAX_INLINE {
        return Ok(());
    }
    let text = std::mem::take(&mut object.text);
    for piece in cut(&text) {
        let part = RulesPart::from_text(piece);
        let value = piece.to_owned();
        if client.get::<String>(&part.key())?.is_none() {
            put_settled(client, &part.key(), 0, &value, deadline, |_| true)?;
        }
        object.parts.push(part);
    }
    Ok(())
}

/// Puts the parts of an object together again, checking each.
pub fn read_parts(client: &PlatformClient, object: &mut RulesObject) -> Result<(), String> {
    for part in &object.parts {
        let found = client.get::<String>(&part.key())?;
        let (_, text) = found.ok_or_else(|| format!("{} is missing", part.key()))?;
        if !part.has_text(&text) {
            return Err(format!("{} holds another text", part.key()));
        }
        object.text.push_str(&text);
    }
    Ok(())
}

/// Cuts at line ends; a single line may be longer than a part should be.
fn cut(text: &str) -> Vec<&str> {
    let mut pieces = Vec::new();
    let (mut start, mut end) = (0, 0);
    for line in text.split_inclusive('\n') {
        if end > start && end - start + line.len() > MAX_PART {
            pieces.push(&text[start..end]);
            start = end;
        }
        end += line.len();
    }
    pieces.push(&text[start..end]);
    pieces
}
