//! The command line: what operators type, and what runs for it.

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

use lexopt::prelude::*;

use crate::platform::{PlatformClient, PutOutcome};
use crate::settings::Settings;
use crate::{logging, serve};

const USAGE: &str = "\
jaypin, a request scheduler for unlike engines

usage: jaypin serve --settings FILE
       jaypin settings check FILE
       jaypin rules check FILE
       jaypin rules apply FILE --platform IP:PORT --edited-from VERSION --author NAME
       jaypin --help | --version

exit codes: 0 done, 1 failed while running, 2 wrong command line, settings or rules";

/// A command with its arguments.
#[derive(Debug)]
pub enum Command {
    /// Print the usage.
    Help,
    /// Print the version.
    Version,
    /// Run an entry host.
    Serve {
        /// The settings file.
        settings: PathBuf,
    },
    /// Check a settings file.
    SettingsCheck(PathBuf),
    /// Check a rule file.
    RulesCheck(PathBuf),
    /// Put a rule file in force.
    RulesApply(RulesApply),
}

/// Arguments of `rules apply`.
#[derive(Debug)]
pub struct RulesApply {
    file: PathBuf,
    platform: String,
    edited_from: u64,
    author: String,
}

/// Why a command did not succeed.
#[derive(Debug)]
pub enum Failure {
    /// What it was given is wrong.
    Usage(String),
    /// It failed while running.
    Failed(String),
}

/// Reads the command line.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_args(args);
    let mut words: Vec<String> = Vec::new();
    let mut settings = None;
    let mut platform = None;
    let mut edited_from = 0;
    let mut author = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("help") | Short('h') => return Ok(Command::Help),
            Long("version") | Short('V') => return Ok(Command::Version),
            Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Long("platform") => platform = Some(parser.value()?.string()?),
            Long("edited-from") => edited_from = parser.value()?.parse()?,
            Long("author") => author = Some(parser.value()?.string()?),
            Value(word) => words.push(word.string()?),
            _ => return Err(arg.unexpected()),
        }
    }
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["serve"] => Ok(Command::Serve {
            settings: required(settings, "--settings")?,
        }),
        ["settings", "check", file] => Ok(Command::SettingsCheck(file.into())),
        ["rules", "check", file] => Ok(Command::RulesCheck(file.into())),
        ["rules", "apply", file] => Ok(Command::RulesApply(RulesApply {
            file: file.into(),
            platform: required(platform, "--platform")?,
            edited_from,
            author: required(author, "--author")?,
        })),
        [] => Ok(Command::Help),
        other => Err(format!("no such command: {}", other.join(" ")).into()),
    }
}

fn required<T>(value: Option<T>, name: &str) -> Result<T, lexopt::Error> {
    value.ok_or_else(|| format!("{name} is missing").into())
}

/// Runs a command to its end.
pub fn run(command: Command) -> Result<(), Failure> {
    match command {
        Command::Help => println!("{USAGE}"),
        Command::Version => println!("jaypin {}", env!("CARGO_PKG_VERSION")),
        Command::Serve { settings } => {
            let settings = Settings::load(&settings).map_err(Failure::Usage)?;
            logging::start();
            serve::run(settings).map_err(Failure::Failed)?;
        }
        Command::SettingsCheck(file) => {
            Settings::load(&file).map_err(Failure::Usage)?;
            println!("{}: good", file.display());
        }
        Command::RulesCheck(file) => {
            check_rules(&file)?;
            println!("{}: good", file.display());
        }
        Command::RulesApply(args) => apply_rules(&args)?,
    }
    Ok(())
}

fn check_rules(file: &PathBuf) -> Result<String, Failure> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| Failure::Usage(format!("{}: {error}", file.display())))?;
    jaypin_rules::parse(&text).map_err(|mistakes| {
        let lines: Vec<String> = mistakes
            .iter()
            .map(|mistake| format!("{}: {mistake}", file.display()))
            .collect();
        Failure::Usage(lines.join("\n"))
    })?;
    Ok(text)
}

fn apply_rules(args: &RulesApply) -> Result<(), Failure> {
    let text = check_rules(&args.file)?;
    let client = PlatformClient::new(&args.platform, Duration::from_secs(5));
    let outcome = client
        .put_rules(&text, args.edited_from, &args.author)
        .map_err(Failure::Failed)?;
    match outcome {
        PutOutcome::Written(version) => {
            println!("version {version} is accepted");
            Ok(())
        }
        PutOutcome::Conflict(version) => Err(Failure::Failed(format!(
            "edited from version {}, but version {version} is in force; nothing was changed",
            args.edited_from
        ))),
    }
}
