//! A request scheduler for heterogeneous inference engines.
//!
//! `jaypin serve` and `jaypin entry` run an entry host; the other subcommands are tools
//! for operators. `ARCHITECTURE.md` describes the path of a request.

mod answer;
mod backend_call;
mod calls;
mod cli;
mod decisions;
mod frontend;
mod links;
mod logging;
mod metrics;
mod operator;
mod platform;
mod reducer_task;
mod rules_change;
mod runner;
mod serve;
mod settings;
mod snapshot;

use std::process::ExitCode;

/// Exit code for an invalid command line, settings file or rule file.
const EXIT_USAGE: u8 = 2;
/// Exit code for a command that failed while running.
const EXIT_FAILED: u8 = 1;

fn main() -> ExitCode {
    match cli::run(std::env::args_os().skip(1)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cli::Failure::Usage(message)) => {
            eprintln!("jaypin: {message}");
            ExitCode::from(EXIT_USAGE)
        }
        Err(cli::Failure::Failed(message)) => {
            eprintln!("jaypin: {message}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
