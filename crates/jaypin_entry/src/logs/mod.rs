//! Structured logs: one JSON object per line on standard output, written without blocking.

mod line;
mod queue;

use env_logger::{Builder, Env, Target};

/// Starts logging to standard output. `RUST_LOG` sets the filter, which is `info` by default.
///
/// # Errors
/// Fails if the writer thread can't be started.
pub fn start() -> std::io::Result<()> {
    let queue = queue::LogQueue::start(std::io::stdout())?;
    Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(queue)))
        .format(line::write)
        .init();
    Ok(())
}
