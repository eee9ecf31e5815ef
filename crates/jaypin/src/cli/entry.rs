//! `jaypin entry`

use std::path::PathBuf;
use std::rc::Rc;

use jaypin_entry::ServeOptions;
use jaypin_platform::UsersPlatform;
use lexopt::Parser;
use lexopt::ValueExt;

use super::argument::Argument;
use super::{Failure, Outcome, help, required, text_value};

const HELP: &str = "\
usage: jaypin entry --settings FILE [--metrics-port PORT] [--no-held-parts]

Runs an entry host on a platform that stores configuration, credentials and the list of
backend servers, until it is shut down by SIGTERM; it finishes its requests first. Logs go
to standard output as JSON, one object per line; RUST_LOG filters them. Metrics are served
at /metrics on the given port; without a port, none are recorded.
With --no-held-parts, the choice of an engine does not depend on the prompt segments that
engines are assumed to cache.";

/// Runs an entry host on a platform.
pub fn run(parser: &mut Parser) -> Outcome {
    let (mut file, mut metrics_port) = (None, None);
    let mut uses_held_parts = true;
    while let Some(arg) = Argument::next(parser)? {
        match arg.option() {
            "--help" => return help(HELP),
            "--settings" => file = Some(PathBuf::from(text_value(parser)?)),
            "--metrics-port" => metrics_port = Some(port_value(parser)?),
            "--no-held-parts" => uses_held_parts = false,
            _ => return Err(arg.unexpected()),
        }
    }
    let options = ServeOptions {
        settings: required(file, "--settings FILE")?,
        metrics_port,
        uses_held_parts,
    };
    jaypin_entry::start_logs().map_err(|error| Failure::Failed(error.to_string()))?;
    jaypin_entry::serve(Rc::new(UsersPlatform), &options).map_err(Failure::Failed)
}

fn port_value(parser: &mut Parser) -> Result<u16, Failure> {
    Ok(parser.value()?.parse()?)
}
