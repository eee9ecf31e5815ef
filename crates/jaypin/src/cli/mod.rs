//! The command line: argument parsing, help texts and one module for each subcommand.

mod argument;
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

use std::ffi::OsString;
use std::io::Write;

use lexopt::Parser;
use lexopt::prelude::*;

use argument::Argument;

const HELP: &str = "\
jaypin, a request scheduler for heterogeneous inference engines

usage: jaypin COMMAND ...

  serve           run an entry host
  entry           run an entry host on a platform that stores the configuration
  settings check  check a settings file
  rules           check, diff, apply, show, log, who: the rule file
  audit           show and verify the audit trail of rule changes
  status          show the state of a host and the fleet as the host knows it
  explain         explain how a request was scheduled or why it was refused
  drain           let a host finish its requests and shut down

`jaypin COMMAND --help` describes a command. `--version` prints the release.
exit codes: 0 success, 1 failed while running, 2 invalid command line, settings or rules";

/// The reason why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// The command line, the settings or the rules are invalid.
    Usage(String),
    /// The command failed while running.
    Failed(String),
}

impl From<lexopt::Error> for Failure {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(format!("{error}\ntry `jaypin --help`"))
    }
}

/// The result of a command.
pub type Outcome = Result<(), Failure>;

/// Runs the command given by the arguments.
pub fn run(args: impl IntoIterator<Item = OsString>) -> Outcome {
    let mut parser = Parser::from_args(args);
    let Some(arg) = Argument::next(&mut parser)? else {
        return help(HELP);
    };
    match arg.option() {
        "--help" => help(HELP),
        "--version" => help(concat!("jaypin ", env!("CARGO_PKG_VERSION"))),
        _ => dispatch(&arg.positional::<()>(None)?, &mut parser),
    }
}

fn dispatch(command: &str, parser: &mut Parser) -> Outcome {
    match command {
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

/// Prints a help text to standard output.
fn help(text: &str) -> Outcome {
    let written = writeln!(std::io::stdout(), "{text}");
    written.map_err(|error| Failure::Failed(error.to_string()))
}

/// Returns the value of an argument, or an error that names the missing argument.
fn required<T>(value: Option<T>, name: &str) -> Result<T, Failure> {
    value.ok_or_else(|| Failure::Usage(format!("{name} is missing")))
}

fn text_value(parser: &mut Parser) -> Result<String, Failure> {
    Ok(parser.value()?.string()?)
}

fn number_value(parser: &mut Parser) -> Result<u64, Failure> {
    Ok(parser.value()?.parse()?)
}

/// Formats a time, given in seconds since the Unix epoch, as RFC 3339.
fn date(seconds: u64) -> String {
    let seconds = i64::try_from(seconds).unwrap_or(i64::MAX);
    let time = jiff::Timestamp::from_second(seconds);
    time.map_or_else(|_| format!("{seconds} s"), |time| time.to_string())
}

/// Prints a value as JSON.
fn print_json(value: &impl serde::Serialize) -> Outcome {
    let text = serde_json::to_string_pretty(value);
    println!(
        "{}",
        text.map_err(|error| Failure::Failed(error.to_string()))?
    );
    Ok(())
}
