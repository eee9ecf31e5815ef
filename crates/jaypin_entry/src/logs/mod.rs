//! Structured logs: one JSON object a line on standard output, never waited for.

mod line;
mod queue;

use env_logger::{Builder, Env, Target};

/// Sends logs to standard output; `RUST_LOG` filters them, `info` by default.
///
/// # Errors
/// Gives what starting the writer's thread gave.
pub fn start() -> std::io::Result<()> {
    let queue = queue::LogQueue::start(std::io::stdout())?;
    Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(queue)))
        .format(line::write)
        .init();
    Ok(())
}
