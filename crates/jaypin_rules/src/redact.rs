//! Hides credentials that stand in a rule file in place of their digests.

use crate::kinds::is_digest;
use crate::line::read_line;

/// Field whose value may be a credential by mistake.
const CALLER: &str = "caller:";
/// What is shown in its place.
const HIDDEN: &str = "[not a digest, not shown]";

/// Gives a line as it may be kept and shown: a `caller` that is no digest is hidden.
///
/// Guards against a credential written into the file in place of its digest: the file
/// is refused, but its lines go into the audit trail, which many may read for long. It
/// works on the text, because such a line need not be YAML.
#[must_use]
pub fn redact_line(line: &str) -> String {
    let Some(start) = line.find(CALLER).map(|at| at + CALLER.len()) else {
        return line.to_owned();
    };
    let (before, rest) = line.split_at(start);
    let end = rest.find([',', '}', '#']).unwrap_or(rest.len());
    let (value, after) = rest.split_at(end);
    if is_digest(value.trim().trim_matches(['"', '\''])) {
        return line.to_owned();
    }
    // A credential may hold a comma or a brace itself; what follows is hidden as well,
    // up to the comment.
    let comment = after.find('#').map_or("", |at| &after[at..]);
    format!("{before} {HIDDEN} {comment}").trim_end().to_owned()
}

/// Who asked for the rule in a line, right or wrong.
#[must_use]
pub fn requester_of(line: &str) -> Option<String> {
    let line = read_line(1, line, &mut Vec::new())?;
    let name = line.origin.requester;
    (!name.is_empty()).then_some(name)
}
