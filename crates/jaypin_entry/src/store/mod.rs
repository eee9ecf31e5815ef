//! The platform's store: one client, two watches, one registration.

mod backends;
mod client;
mod configuration;
mod hosts;
mod rollouts;

pub use backends::follow_backends;
pub use configuration::follow_configuration;
pub use hosts::join_fleet;
pub use rollouts::{follow_rollouts, write_rollouts};

use std::time::Duration;

use jaypin_router::Router;
use rand::RngExt;
use tokio::time::{Instant, sleep};

use crate::boot_clock::boot_time;
use crate::host::Host;
use client::StoreError;

/// Pause after a call that failed; doubled with each further one.
const FIRST_RETRY: Duration = Duration::from_millis(400);
/// Longest such pause, and its part for each host that is heard. Each call has its price, also
/// a refused one; the first host that finds the store back tells the others, so in a large
/// fleet no single one has to ask often.
const LONGEST_RETRY: Duration = Duration::from_secs(2);
const RETRY_FOR_EACH: Duration = Duration::from_millis(100);
/// Spread of pauses, so that a fleet does not come back in one moment.
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

/// Pauses between tries of one kind of call.
#[derive(Debug, Default)]
struct Retries {
    failures: u32,
    has_ended_well: bool,
}

impl Retries {
    /// A try succeeded.
    fn ended_well(&mut self) {
        self.failures = 0;
        self.has_ended_well = true;
    }

    /// Whether any try succeeded.
    fn has_ended_well(&self) -> bool {
        self.has_ended_well
    }

    /// Logs a failed call, tells the decisions, and waits before the next.
    async fn pause_after(&mut self, host: &Host, what: &str, error: &StoreError) {
        log::warn!(what, error:%; "the store did not answer");
        host.apply(jaypin_router::Event::StoreDisturbed);
        let now = Instant::now().into_std();
        let heard = host.look(|router| router.heard_peers(now).count());
        let heard = u32::try_from(heard).unwrap_or(u32::MAX);
        let longest = RETRY_FOR_EACH.saturating_mul(heard);
        let longest = longest.clamp(FIRST_RETRY, LONGEST_RETRY);
        let pause = FIRST_RETRY.saturating_mul(2_u32.saturating_pow(self.failures));
        self.failures += 1;
        let spread = rand::rng().random_range(RETRY_SPREAD);
        sleep(pause.min(longest).mul_f64(spread)).await;
    }
}
