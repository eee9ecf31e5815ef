//! `jaypin settings`

use std::path::PathBuf;

use lexopt::Parser;

use super::argument::Argument;
use super::{Failure, Outcome, help, required};
use crate::settings::Settings;

const HELP: &str = "\
usage: jaypin settings check FILE

Checks a settings file and lists every mistake with its line; doesn't start a host.";

/// Checks a settings file.
pub fn run(parser: &mut Parser) -> Outcome {
    let (mut command, mut file) = (None, None);
    while let Some(arg) = Argument::next(parser)? {
        match arg.option() {
            "--help" => return help(HELP),
            _ if command.is_none() => command = Some(arg.positional(command.as_ref())?),
            _ => file = Some(PathBuf::from(arg.positional(file.as_ref())?)),
        }
    }
    if command.as_deref() != Some("check") {
        return Err(Failure::Usage(HELP.to_owned()));
    }
    let file = required(file, "FILE")?;
    Settings::load(&file).map_err(Failure::Usage)?;
    println!("{}: good", file.display());
    Ok(())
}
