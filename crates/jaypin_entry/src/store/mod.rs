//! The platform's store: one client, two watches, one registration.

mod backends;
mod client;
mod configuration;
mod hosts;

pub use backends::follow_backends;
pub use configuration::follow_configuration;
pub use hosts::join_fleet;

use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;

use crate::host::Host;
use client::StoreError;

/// Pause after a call that failed. Each call has its price, also a refused one, and a host
/// needs to know within a second that the store is back.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Spread of that pause, so that a fleet does not come back in one moment.
const RETRY_SPREAD: std::ops::Range<f64> = 0.7..1.3;

/// Pause after a watch that told something.
///
/// Changes come in groups: backend servers register within a second of each other, and a
/// configuration follows another. One call then tells several changes, at the cost of this
/// time; the tightest bound on any of them is two seconds.
const WATCH_PAUSE: Duration = Duration::from_millis(300);

/// Logs a failed call, tells the decisions, and waits before the next.
async fn pause_after(host: &Host, what: &str, error: &StoreError) {
    log::warn!(what, error:%; "the store did not answer");
    host.apply(jaypin_router::Event::StoreDisturbed);
    let spread = rand::rng().random_range(RETRY_SPREAD);
    sleep(RETRY_PAUSE.mul_f64(spread)).await;
}
