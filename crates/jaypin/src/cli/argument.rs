//! One argument of the command line, as an owned value that doesn't borrow from the parser.

use lexopt::prelude::*;
use lexopt::{Arg, Parser};

use super::Failure;

/// One argument of the command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Argument {
    /// An option, with its dashes; `-h` and `-V` are given as their long forms.
    Option(String),
    /// A positional argument.
    Value(String),
}

impl Argument {
    /// Reads the next argument; `None` at the end of the command line.
    pub fn next(parser: &mut Parser) -> Result<Option<Self>, Failure> {
        Ok(match parser.next()? {
            None => None,
            Some(Short('h')) => Some(Self::Option("--help".to_owned())),
            Some(Short('V')) => Some(Self::Option("--version".to_owned())),
            Some(Long(name)) => Some(Self::Option(format!("--{name}"))),
            Some(Arg::Value(text)) => Some(Self::Value(text.string()?)),
            Some(arg @ Short(_)) => return Err(arg.unexpected().into()),
        })
    }

    /// Returns the name of the option, or an empty string for a positional argument.
    pub fn option(&self) -> &str {
        match self {
            Self::Option(name) => name,
            Self::Value(_) => "",
        }
    }

    /// Returns the text of a positional argument. An option is an error, and so is a second
    /// value for the same position, when `current` holds the first one.
    pub fn positional<T>(self, current: Option<&T>) -> Result<String, Failure> {
        match self {
            Self::Value(text) if current.is_none() => Ok(text),
            other => Err(other.unexpected()),
        }
    }

    /// Returns the error for an argument that the command doesn't accept.
    pub fn unexpected(&self) -> Failure {
        let (Self::Option(text) | Self::Value(text)) = self;
        Failure::Usage(format!("`{text}` is not expected here; try --help"))
    }
}
