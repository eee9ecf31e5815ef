//! Removes credentials that were written into a rule file in place of their digests.

use crate::kinds::is_digest;
use crate::line::read_line;

/// Field whose value may be a credential by mistake.
const CALLER_FIELD: &str = "caller:";
/// Text that replaces a credential.
const HIDDEN: &str = "[not a digest, not shown]";

/// Returns a line as it may be stored and shown: a `caller` that is not a digest is replaced.
///
/// Guards against a credential that is written into the file in place of its digest. The file
/// is refused, but its lines are stored in the audit trail, which is kept for long and has many
/// readers. The function works on text, as such a line need not be valid YAML.
#[must_use]
pub fn redact_line(line: &str) -> String {
    let Some(start) = line.find(CALLER_FIELD).map(|at| at + CALLER_FIELD.len()) else {
        return line.to_owned();
    };
    let (before, rest) = line.split_at(start);
    let end = rest.find([',', '}', '#']).unwrap_or(rest.len());
    let (value, after) = rest.split_at(end);
    if is_digest(value.trim().trim_matches(['"', '\''])) {
        return line.to_owned();
    }
    // A credential may contain a comma or a brace, so everything up to the comment is removed.
    let comment = after.find('#').map_or("", |at| &after[at..]);
    format!("{before} {HIDDEN} {comment}").trim_end().to_owned()
}

/// Returns the requester of the rule in a line, also when the rule's fields are invalid.
#[must_use]
pub fn requester_of(line: &str) -> Option<String> {
    let line = read_line(1, line, &mut Vec::new())?;
    let name = line.origin.requester;
    (!name.is_empty()).then_some(name)
}
