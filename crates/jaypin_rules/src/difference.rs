//! Comparison of two rule files, line by line.

use std::fmt;

use similar::{ChangeTag, TextDiff};

/// A line that is in only one of two rule files.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LineChange {
    /// A line that is only in the old file.
    Removed {
        /// Line number in the old file, from 1.
        line: usize,
        /// Text of the line, without trailing white space.
        text: String,
    },
    /// A line that is only in the new file.
    Added {
        /// Line number in the new file, from 1.
        line: usize,
        /// Text of the line, without trailing white space.
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

/// Returns the lines in which two rule files differ. As each rule is one line, these are the
/// removed and added rules.
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
