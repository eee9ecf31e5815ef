//! jaypin: a request scheduler for unlike engines.
//!
//! One binary. `jaypin serve` runs an entry host; the other subcommands are for
//! operators. See `ARCHITECTURE.md` for the path of a request.

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

/// Exit code when the command line, settings or rules are wrong.
const EXIT_USAGE: u8 = 2;
/// Exit code when something failed while running.
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
