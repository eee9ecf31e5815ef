//! `jaypin serve`

use std::path::PathBuf;

use lexopt::Parser;

use super::argument::Argument;
use super::{Failure, Outcome, help, required, text_value};
use crate::settings::Settings;
use crate::{logging, serve};

const HELP: &str = "\
usage: jaypin serve --settings FILE

Runs an entry host until it is shut down by SIGTERM, SIGINT or `jaypin drain`; it finishes
its requests first. Logs go to standard error; RUST_LOG filters them.";

/// Runs an entry host.
pub fn run(parser: &mut Parser) -> Outcome {
    let mut file = None;
    while let Some(arg) = Argument::next(parser)? {
        match arg.option() {
            "--help" => return help(HELP),
            "--settings" => file = Some(PathBuf::from(text_value(parser)?)),
            _ => return Err(arg.unexpected()),
        }
    }
    let file = required(file, "--settings FILE")?;
    let settings = Settings::load(&file).map_err(Failure::Usage)?;
    logging::start();
    serve::run(settings).map_err(Failure::Failed)
}
