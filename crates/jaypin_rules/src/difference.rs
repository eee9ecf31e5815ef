//! What changed between two rule files, line by line.

use std::fmt;

use similar::{ChangeTag, TextDiff};

/// One line that only one of two rule files has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LineChange {
    /// Only the old file has it.
    Removed {
        /// Its line in the old file, from 1.
        line: usize,
        /// The line.
        text: String,
    },
    /// Only the new file has it.
    Added {
        /// Its line in the new file, from 1.
        line: usize,
        /// The line.
        text: String,
    },
}

impl fmt::Display for LineChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Removed { line, text } => write!(f, "-{line}: {text}"),
            Self::Added { line, text } => write!(f, "+{line}: {text}"),
        }
    }
}

/// Compares two rule files; a rule is a line, so a difference is a list of lines.
#[must_use]
pub fn difference(old: &str, new: &str) -> Vec<LineChange> {
    let diff = TextDiff::from_lines(old, new);
    diff.iter_all_changes()
        .filter_map(|change| {
            let text = change.value().trim_end().to_owned();
            match change.tag() {
                ChangeTag::Equal => None,
                ChangeTag::Delete => Some(LineChange::Removed {
                    line: change.old_index()? + 1,
                    text,
                }),
                ChangeTag::Insert => Some(LineChange::Added {
                    line: change.new_index()? + 1,
                    text,
                }),
            }
        })
        .collect()
}
