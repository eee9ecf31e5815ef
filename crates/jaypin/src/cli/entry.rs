//! `jaypin entry`

use std::path::PathBuf;
use std::rc::Rc;

use jaypin_platform::UsersPlatform;
use lexopt::Parser;

use super::word::Word;
use super::{Failure, Outcome, help, required, text_value};

const HELP: &str = "\
usage: jaypin entry --settings FILE

Runs an entry host on a platform that keeps configuration, credentials and backend
servers, until it is told to leave (SIGTERM); it then finishes what it has. Logs go to
standard output as JSON, one object a line; RUST_LOG filters them.";

/// Runs an entry host on a platform.
pub fn run(parser: &mut Parser) -> Outcome {
    let mut file = None;
    while let Some(word) = Word::next(parser)? {
        match word.option() {
            "--help" => return help(HELP),
            "--settings" => file = Some(PathBuf::from(text_value(parser)?)),
            _ => return Err(word.unexpected()),
        }
    }
    let file = required(file, "--settings FILE")?;
    jaypin_entry::start_logs().map_err(|error| Failure::Failed(error.to_string()))?;
    jaypin_entry::serve(Rc::new(UsersPlatform), &file).map_err(Failure::Failed)
}
