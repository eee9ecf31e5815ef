//! One word of the command line, with its text free of the parser that read it.

use lexopt::prelude::*;
use lexopt::{Arg, Parser};

use super::Failure;

/// One word of the command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Word {
    /// An option, with its dashes; `-h` and `-V` are given as their long forms.
    Option(String),
    /// Anything else.
    Value(String),
}

impl Word {
    /// Reads the next word.
    pub fn next(parser: &mut Parser) -> Result<Option<Self>, Failure> {
        Ok(match parser.next()? {
            None => None,
            Some(Short('h')) => Some(Self::Option("--help".to_owned())),
            Some(Short('V')) => Some(Self::Option("--version".to_owned())),
            Some(Long(name)) => Some(Self::Option(format!("--{name}"))),
            Some(Arg::Value(word)) => Some(Self::Value(word.string()?)),
            Some(arg @ Short(_)) => return Err(arg.unexpected().into()),
        })
    }

    /// The option, or nothing for a value.
    pub fn option(&self) -> &str {
        match self {
            Self::Option(name) => name,
            Self::Value(_) => "",
        }
    }

    /// The value that the word is, for a place that none has taken yet.
    pub fn place<T>(self, taken: Option<&T>) -> Result<String, Failure> {
        match self {
            Self::Value(text) if taken.is_none() => Ok(text),
            other => Err(other.unexpected()),
        }
    }

    /// A word that the command does not take.
    pub fn unexpected(&self) -> Failure {
        let (Self::Option(text) | Self::Value(text)) = self;
        Failure::Usage(format!("`{text}` is not expected here; try --help"))
    }
}
