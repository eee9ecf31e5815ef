//! The platform's store: one client, two watches, one registration.

mod backends;
mod client;
mod configuration;
mod hosts;

pub use backends::follow_backends;
pub use configuration::follow_configuration;
pub use hosts::join_fleet;

use std::time::Duration;

use jaypin_router::Router;
use rand::RngExt;
use tokio::time::{Instant, sleep};

use crate::boot_clock::boot_time;
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

/// Pause between two looks at whether there is a reason to call.
const LOOK_PAUSE: Duration = Duration::from_millis(150);

/// Whether this host shall watch the store.
fn is_watching(host: &Host) -> bool {
    let now = Instant::now().into_std();
    host.look(|router| router.should_watch(now, boot_time()))
}

/// Waits until this host shall watch, or has another reason to read.
async fn wait_for_reason(host: &Host, has_reason: impl Fn(&Router) -> bool) {
    while !is_watching(host) && !host.look(&has_reason) {
        sleep(LOOK_PAUSE).await;
    }
}

/// Logs a failed call, tells the decisions, and waits before the next.
async fn pause_after(host: &Host, what: &str, error: &StoreError) {
    log::warn!(what, error:%; "the store did not answer");
    host.apply(jaypin_router::Event::StoreDisturbed);
    let spread = rand::rng().random_range(RETRY_SPREAD);
    sleep(RETRY_PAUSE.mul_f64(spread)).await;
}
