//! `jaypin rules`: commands on the rule file.

mod apply;
mod check;
mod diff;
mod log;
mod show;
mod wait;
mod who;

use std::path::Path;

use jaypin_rules::{Mistake, RuleSet};
use lexopt::Parser;

use super::{Failure, Outcome, help, required};
use crate::cli::argument::Argument;

const HELP: &str = "\
usage: jaypin rules COMMAND ...

  check FILE         list every mistake in a rule file
  diff FILE [OTHER]  compare a file with the rules in force, or with another file
  apply FILE         put a file in force on every host
  show               print the rules in force
  log                list the last changes
  who LINE [FILE]    show who asked for the rule in a line

`jaypin rules COMMAND --help` describes a command.";

/// Runs a command on rules.
pub fn run(parser: &mut Parser) -> Outcome {
    let command = match Argument::next(parser)? {
        None => return Err(Failure::Usage(HELP.to_owned())),
        Some(arg) if arg.option() == "--help" => return help(HELP),
        Some(arg) => arg.positional::<()>(None)?,
    };
    match command.as_str() {
        "check" => check::run(parser),
        "diff" => diff::run(parser),
        "apply" => apply::run(parser),
        "show" => show::run(parser),
        "log" => log::run(parser),
        "who" => who::run(parser),
        other => Err(Failure::Usage(format!(
            "no such command: rules {other}\ntry `jaypin rules --help`"
        ))),
    }
}

fn read_file(file: &Path) -> Result<String, Failure> {
    let text = std::fs::read_to_string(file);
    text.map_err(|error| Failure::Usage(format!("{}: {error}", file.display())))
}

fn parse(file: &Path, text: &str) -> Result<RuleSet, Failure> {
    jaypin_rules::parse(text).map_err(|mistakes| Failure::Usage(list(file, &mistakes)))
}

/// Formats mistakes, one per line. The text is also stored in the audit trail.
fn list(file: &Path, mistakes: &[Mistake]) -> String {
    let lines: Vec<String> = mistakes
        .iter()
        .map(|mistake| format!("{}: {mistake}", file.display()))
        .collect();
    format!(
        "{} mistakes, nothing was changed\n{}",
        lines.len(),
        lines.join("\n")
    )
}
