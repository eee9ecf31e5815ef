//! The command line: what operators type, one file a subcommand.

mod audit;
mod drain;
mod entry;
mod explain;
mod explain_log;
mod load_summary;
mod rules;
mod serve;
mod settings;
mod status;
mod target;
mod word;

use std::ffi::OsString;
use std::io::Write;

use lexopt::Parser;
use lexopt::prelude::*;

use word::Word;

const HELP: &str = "\
jaypin, a request scheduler for unlike engines

usage: jaypin COMMAND ...

  serve           run an entry host
  entry           run an entry host on a platform that keeps the configuration
  settings check  check a settings file
  rules           check, diff, apply, show, log, who: the rule file
  audit           show and verify the audit trail of rule changes
  status          show what a host knows of itself and the fleet
  explain         say why a request was decided as it was
  drain           let a host finish what it has and leave

`jaypin COMMAND --help` says more. `--version` names the release.
exit codes: 0 done, 1 failed while running, 2 wrong command line, settings or rules";

/// Why a command did not succeed.
#[derive(Debug)]
pub enum Failure {
    /// What it was given is wrong.
    Usage(String),
    /// It failed while running.
    Failed(String),
}

impl From<lexopt::Error> for Failure {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(format!("{error}\ntry `jaypin --help`"))
    }
}

/// What a command gives.
pub type Outcome = Result<(), Failure>;

/// Runs the command that the arguments name.
pub fn run(args: impl IntoIterator<Item = OsString>) -> Outcome {
    let mut parser = Parser::from_args(args);
    let Some(word) = Word::next(&mut parser)? else {
        return help(HELP);
    };
    match word.option() {
        "--help" => help(HELP),
        "--version" => help(concat!("jaypin ", env!("CARGO_PKG_VERSION"))),
        _ => dispatch(&word.place::<()>(None)?, &mut parser),
    }
}

fn dispatch(word: &str, parser: &mut Parser) -> Outcome {
    match word {
        "serve" => serve::run(parser),
        "entry" => entry::run(parser),
        "settings" => settings::run(parser),
        "rules" => rules::run(parser),
        "audit" => audit::run(parser),
        "status" => status::run(parser),
        "explain" => explain::run(parser),
        "drain" => drain::run(parser),
        other => Err(Failure::Usage(format!(
            "no such command: {other}\ntry `jaypin --help`"
        ))),
    }
}

fn help(text: &str) -> Outcome {
    let written = writeln!(std::io::stdout(), "{text}");
    written.map_err(|error| Failure::Failed(error.to_string()))
}

fn required<T>(value: Option<T>, name: &str) -> Result<T, Failure> {
    value.ok_or_else(|| Failure::Usage(format!("{name} is missing")))
}

fn text_value(parser: &mut Parser) -> Result<String, Failure> {
    Ok(parser.value()?.string()?)
}

fn number_value(parser: &mut Parser) -> Result<u64, Failure> {
    Ok(parser.value()?.parse()?)
}

/// Writes a time, given in seconds since the Unix epoch, as RFC 3339.
fn date(seconds: u64) -> String {
    let seconds = i64::try_from(seconds).unwrap_or(i64::MAX);
    let time = jiff::Timestamp::from_second(seconds);
    time.map_or_else(|_| format!("{seconds} s"), |time| time.to_string())
}

/// Prints a value as JSON for programs.
fn print_json(value: &impl serde::Serialize) -> Outcome {
    let text = serde_json::to_string_pretty(value);
    println!(
        "{}",
        text.map_err(|error| Failure::Failed(error.to_string()))?
    );
    Ok(())
}
