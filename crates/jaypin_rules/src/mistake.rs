//! Mistakes in a rule file, with their positions.

use std::fmt;

/// A mistake in a rule file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mistake {
    /// Line in the file, from 1.
    pub line: u32,
    /// Column in the line, from 1.
    pub column: u32,
    /// What was found and what was expected, in one sentence.
    pub message: String,
}

impl Mistake {
    /// Creates a mistake at a position in the file.
    pub fn new(line: u32, column: u32, message: impl Into<String>) -> Self {
        Self {
            line,
            column,
            message: message.into(),
        }
    }
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}, column {}: {}",
            self.line, self.column, self.message
        )
    }
}
