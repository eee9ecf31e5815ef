//! Access to the platform's store: the client, and the tasks that watch collections, register
//! this host and write the states of rollouts.

mod backends;
mod client;
mod configuration;
mod hosts;
mod listing;
mod rollouts;

pub use backends::follow_backends;
pub use configuration::{fetch_reported_configurations, follow_configuration};
pub use hosts::join_fleet;
pub use rollouts::{follow_rollouts, write_rollouts};

use std::time::Duration;

use jaypin_router::Router;
use rand::RngExt;
use tokio::time::{Instant, sleep};

use crate::boot_clock::boot_time;
use crate::host::Host;
use crate::ports::DecodeError;
use client::StoreError;

/// Pause after a failed call, doubled with each further failure.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause in a fleet of any size. The limit of the pause grows with the number of live
/// peers, by [`RETRY_PAUSE_PER_PEER`]: each call has a cost, also a rejected one, and the first host
/// that reaches the store again reports it to its peers, so in a large fleet no single host
/// has to retry often.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(8);
/// Limit of the pause per live peer.
const RETRY_PAUSE_PER_PEER: Duration = Duration::from_millis(100);
/// Limit of the pause per live peer in a large fleet. Nearly all calls would come from hosts that
/// need not call, since other hosts retry first and report to them.
const LARGE_FLEET_RETRY_PAUSE_PER_PEER: Duration = Duration::from_millis(220);
/// Number of live peers from which on a fleet counts as large.
const LARGE_FLEET: u32 = 20;
/// Longest pause of the hosts that retry first, in a large fleet.
const MAX_PRIORITY_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// Longest pause of a host before its first successful call: no other host reads the backend
/// servers for it.
const MAX_STARTUP_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Random factor on pauses, so that the hosts of a fleet do not retry at the same moment.
const RETRY_SPREAD: std::ops::Range<f64> = 0.7..1.3;

/// Pause after a watch that returned changes.
///
/// Changes come in groups: backend servers register within a second of each other, and a
/// configuration follows another. After the pause one call returns several changes. The
/// tightest bound on applying any of them is two seconds.
const WATCH_PAUSE: Duration = Duration::from_millis(300);

/// Time for which a relay reads the store itself once no watcher of another cell responds.
const RELAY_FALLBACK_TIME: Duration = Duration::from_secs(10);

/// Time between two checks whether the store has to be called.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// The same for a host that has just started in a fleet of several cells: it refuses all requests until
/// it has a configuration and entries, each of which takes two such checks in a row.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Longest text of an entry that hosts report to each other, in bytes. A report with the greatest number
/// of changes fits into a datagram.
const MAX_REPORTED_TEXT: usize = 256;
/// Longest part of a text in the store that is logged, in characters.
const MAX_LOGGED_CHARS: usize = 200;

/// Checks the texts of an entry that hosts report to each other.
///
/// Guards against an entry of another writer that makes reports larger than a datagram: none of them
/// could be sent, and hosts would take each other for dead.
fn check_reported_texts(texts: &[&str]) -> Result<(), DecodeError> {
    let longest = texts.iter().map(|it| it.len()).max().unwrap_or_default();
    if longest <= MAX_REPORTED_TEXT {
        return Ok(());
    }
    Err(DecodeError::new(format!(
        "expected texts of {MAX_REPORTED_TEXT} bytes at most, found {longest}"
    )))
}

/// Returns the beginning of a text that another writer may have written, for logs.
///
/// Guards against lines without bound in the queue of a log that nobody reads.
fn excerpt(text: &str) -> String {
    text.chars().take(MAX_LOGGED_CHARS).collect()
}

/// Waits until a condition on the reducer's state holds.
async fn wait_until(host: &Host, holds: impl Fn(&Router) -> bool) {
    while !host.read(&holds) {
        sleep(host.read(check_interval)).await;
    }
}

/// Returns the time until the next check whether the store has to be called.
///
/// In a fleet of one cell, frequent checks would make each starting host read the store before the
/// first ones can report what they have read.
fn check_interval(router: &Router) -> Duration {
    if router.is_of_many_cells() && router.is_joining(now()) {
        JOIN_CHECK_INTERVAL
    } else {
        CHECK_INTERVAL
    }
}

/// Returns whether this host watches the collections besides the configuration. While the
/// configuration is not known to be the newest, reading it takes precedence.
fn follows_store(router: &Router) -> bool {
    router.has_fresh_proof(boot_time()) && router.is_watcher(now())
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

/// Returns the longest pause before this host calls the store again.
fn max_retry_pause(router: &Router) -> Duration {
    let live_peers = u32::try_from(router.live_peers(now()).count()).unwrap_or(u32::MAX);
    let (per_peer, longest) = if live_peers < LARGE_FLEET {
        (RETRY_PAUSE_PER_PEER, MAX_RETRY_PAUSE)
    } else if router.probes_store_first(now()) {
        (LARGE_FLEET_RETRY_PAUSE_PER_PEER, MAX_PRIORITY_RETRY_PAUSE)
    } else {
        (LARGE_FLEET_RETRY_PAUSE_PER_PEER, MAX_RETRY_PAUSE)
    };
    let pause = per_peer.saturating_mul(live_peers);
    pause.clamp(FIRST_RETRY_PAUSE, longest)
}

/// Returns whether a peer has the newest configuration while this host lacks it, so that this
/// host need not wait for the store.
fn can_ask_peer(router: &Router) -> bool {
    !router.has_fresh_proof(boot_time()) && !router.configuration_holders(now()).is_empty()
}

/// Backoff between attempts of one kind of call.
#[derive(Debug, Default)]
struct Retries {
    failures: u32,
    has_succeeded: bool,
}

impl Retries {
    /// Resets the backoff after a success.
    fn record_success(&mut self) {
        self.failures = 0;
        self.has_succeeded = true;
    }

    /// Returns whether any attempt succeeded.
    fn has_succeeded(&self) -> bool {
        self.has_succeeded
    }

    /// Returns whether attempts were made and all of them failed.
    fn has_only_failed(&self) -> bool {
        self.failures > 0 && !self.has_succeeded
    }

    /// Logs a failed call, reports it to the reducer, and waits before the next attempt.
    async fn back_off(&mut self, host: &Host, what: &str, error: &StoreError) {
        if error.was_sent() {
            host.apply(jaypin_router::Event::StoreCallFailed);
        }
        let mut longest = host.read(max_retry_pause);
        if !self.has_succeeded {
            longest = longest.min(MAX_STARTUP_RETRY_PAUSE);
        }
        let pause = FIRST_RETRY_PAUSE.saturating_mul(2_u32.saturating_pow(self.failures));
        self.failures += 1;
        let spread = rand::rng().random_range(RETRY_SPREAD);
        let pause = pause.min(longest).mul_f64(spread);
        log::warn!(what, error:%, pause_ms = pause.as_millis(); "store call failed; retrying after a pause");
        let until = Instant::now() + pause;
        sleep(FIRST_RETRY_PAUSE.mul_f64(spread)).await;
        while Instant::now() < until && !host.read(can_ask_peer) {
            sleep(CHECK_INTERVAL).await;
        }
    }
}
