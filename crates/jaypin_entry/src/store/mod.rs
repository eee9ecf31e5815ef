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

/// Pause after a call that failed, at the least; doubled with each further one.
const FIRST_RETRY: Duration = Duration::from_millis(400);
/// Longest such pause, and its part for each host that is heard. Each call has its price, also
/// a refused one; the first host that finds the store back tells the others, so in a large
/// fleet no single one has to ask often.
const MAX_RETRY: Duration = Duration::from_secs(8);
const RETRY_PER_PEER: Duration = Duration::from_millis(100);
/// The same in a fleet in which nearly all calls would come from hosts that need not ask.
const RETRY_IN_LARGE_FLEET: Duration = Duration::from_millis(220);
/// Hosts that are heard from which on a fleet is large in this respect.
const LARGE_FLEET: u32 = 20;
/// Longest pause of the hosts that ask first.
const MAX_PRIORITY_RETRY: Duration = Duration::from_millis(800);
/// Longest pause of a host that has just started: nobody else reads the backend servers for it.
const MAX_STARTUP_RETRY: Duration = Duration::from_secs(2);
/// Spread of pauses, so that a fleet does not come back in one moment.
const RETRY_SPREAD: std::ops::Range<f64> = 0.7..1.3;

/// Pause after a watch that told something.
///
/// Changes come in groups: backend servers register within a second of each other, and a
/// configuration follows another. One call then tells several changes, at the cost of this
/// time; the tightest bound on any of them is two seconds.
const WATCH_PAUSE: Duration = Duration::from_millis(300);

/// Pause between two looks at whether there is a reason to call.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Waits until something holds.
async fn wait_until(host: &Host, holds: impl Fn(&Router) -> bool) {
    while !host.read(&holds) {
        sleep(CHECK_INTERVAL).await;
    }
}

/// Whether it falls to this host to follow what the store has besides the configuration. While
/// no host knows the configuration to be the newest, that is asked for first.
fn follows_store(router: &Router) -> bool {
    router.has_fresh_proof(boot_time()) && router.is_watcher(now())
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

/// Longest pause before this host asks the store again.
fn max_retry(router: &Router) -> Duration {
    let live_peers = u32::try_from(router.live_peers(now()).count()).unwrap_or(u32::MAX);
    let (per_peer, longest) = if live_peers < LARGE_FLEET {
        (RETRY_PER_PEER, MAX_RETRY)
    } else if router.probes_store_first(now()) {
        (RETRY_IN_LARGE_FLEET, MAX_PRIORITY_RETRY)
    } else {
        (RETRY_IN_LARGE_FLEET, MAX_RETRY)
    };
    let pause = per_peer.saturating_mul(live_peers);
    pause.clamp(FIRST_RETRY, longest)
}

/// Whether a peer has what this host lacks, so that it need not wait for the store.
fn can_ask_peer(router: &Router) -> bool {
    !router.has_fresh_proof(boot_time()) && !router.configuration_holders(now()).is_empty()
}

/// Pauses between tries of one kind of call.
#[derive(Debug, Default)]
struct Retries {
    failures: u32,
    has_succeeded: bool,
}

impl Retries {
    /// A try succeeded.
    fn record_success(&mut self) {
        self.failures = 0;
        self.has_succeeded = true;
    }

    /// Whether any try succeeded.
    fn has_succeeded(&self) -> bool {
        self.has_succeeded
    }

    /// Logs a failed call, tells the decisions, and waits before the next.
    async fn back_off(&mut self, host: &Host, what: &str, error: &StoreError) {
        log::warn!(what, error:%; "the store did not answer");
        host.apply(jaypin_router::Event::StoreCallFailed);
        let mut longest = host.read(max_retry);
        if !self.has_succeeded {
            longest = longest.min(MAX_STARTUP_RETRY);
        }
        let pause = FIRST_RETRY.saturating_mul(2_u32.saturating_pow(self.failures));
        self.failures += 1;
        let spread = rand::rng().random_range(RETRY_SPREAD);
        let until = Instant::now() + pause.min(longest).mul_f64(spread);
        sleep(FIRST_RETRY.mul_f64(spread)).await;
        while Instant::now() < until && !host.read(can_ask_peer) {
            sleep(CHECK_INTERVAL).await;
        }
    }
}
