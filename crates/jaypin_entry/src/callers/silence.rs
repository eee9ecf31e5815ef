//! Silence of the recipient of a call.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// Time for which nothing arrived on a call until it was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Silence {
    /// The whole time.
    pub(super) time: Duration,
    /// Time by which this host noticed the end of the limit late.
    pub(super) lateness: Duration,
}

/// Awaits a step of a call, with a time limit if there is one.
pub(super) async fn within<T>(
    limit: Option<Duration>,
    step: impl Future<Output = T>,
) -> Result<T, Silence> {
    let Some(limit) = limit else {
        return Ok(step.await);
    };
    let start = Instant::now();
    tokio::select! {
        biased;
        done = step => Ok(done),
        () = sleep_until(start + limit) => {
            let time = start.elapsed();
            let lateness = time.saturating_sub(limit);
            Err(Silence { time, lateness })
        }
    }
}
