//! Silence of the recipient of a call.

use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

/// Time for which this host must have run before it takes a call for silent.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// Lateness of a timer from which on this host has stood still.
const STALL_LATENESS: Duration = Duration::from_millis(30);

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
    tokio::select! {
        biased;
        done = step => Ok(done),
        silence = silence_after(limit) => Err(silence),
    }
}

async fn silence_after(limit: Duration) -> Silence {
    let start = Instant::now();
    sleep_until(start + limit).await;
    let lateness = start.elapsed().saturating_sub(limit);
    settle().await;
    let time = start.elapsed();
    Silence { time, lateness }
}

/// Waits until this host has run for a moment without a stall.
///
/// A host that was suspended notices expired timers before it has read what arrived meanwhile.
async fn settle() {
    loop {
        let start = Instant::now();
        sleep(SETTLE_TIME).await;
        if start.elapsed() < SETTLE_TIME + STALL_LATENESS {
            return;
        }
    }
}
