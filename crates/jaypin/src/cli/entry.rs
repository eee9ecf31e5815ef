//! `jaypin entry`

use std::path::PathBuf;
use std::rc::Rc;

use jaypin_entry::ServeOptions;
use jaypin_platform::UsersPlatform;
use lexopt::Parser;
use lexopt::ValueExt;

use super::word::Word;
use super::{Failure, Outcome, help, required, text_value};

const HELP: &str = "\
usage: jaypin entry --settings FILE [--metrics-port PORT]

Runs an entry host on a platform that keeps configuration, credentials and backend
servers, until it is told to leave (SIGTERM); it then finishes what it has. Logs go to
standard output as JSON, one object a line; RUST_LOG filters them. With a port, metrics
are served at /metrics on it; without one nothing is counted.";

/// Runs an entry host on a platform.
pub fn run(parser: &mut Parser) -> Outcome {
    let (mut file, mut metrics_port) = (None, None);
    while let Some(word) = Word::next(parser)? {
        match word.option() {
            "--help" => return help(HELP),
            "--settings" => file = Some(PathBuf::from(text_value(parser)?)),
            "--metrics-port" => metrics_port = Some(port_value(parser)?),
            _ => return Err(word.unexpected()),
        }
    }
    let options = ServeOptions {
        settings: required(file, "--settings FILE")?,
        metrics_port,
    };
    jaypin_entry::start_logs().map_err(|error| Failure::Failed(error.to_string()))?;
    jaypin_entry::serve(Rc::new(UsersPlatform), &options).map_err(Failure::Failed)
}

fn port_value(parser: &mut Parser) -> Result<u16, Failure> {
    Ok(parser.value()?.parse()?)
}
