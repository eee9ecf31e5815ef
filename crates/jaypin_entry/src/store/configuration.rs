//! Follows what operators configure, and proves that it is the newest.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jaypin_router::{BootTime, Event, RouteTable, Router, StorePoint};
use tokio::time::{Instant, sleep};

use super::client::{StoreClient, StoreError};
use super::{Retries, WATCH_PAUSE, now, wait_until};
use crate::boot_clock::boot_time;
use crate::host::Host;
use crate::peers::fetch_configuration;
use crate::ports::{Collection, Freshness, Object};

/// How long one watch waits. The proof that a configuration is the newest is as old as the
/// last answer, so this bounds its age; each watch has its price.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Time by which a watch may lag behind what was written: a store that drops its history
/// tells watches nothing for up to a second before.
const WATCH_LAG: Duration = Duration::from_millis(1_200);

/// Bound on a configuration within which all hosts have to ask the store themselves as soon as
/// their proofs are old.
const IMMEDIATE_CONVERGENCE: Duration = Duration::from_secs(2);
/// Time between two hosts that ask the store once proofs are old, and the longest such wait:
/// proofs hold for 1.4 s longer.
const STAGGER_STEP: Duration = Duration::from_millis(40);
const MAX_STAGGER: Duration = Duration::from_millis(900);

/// Pause after a version that was told of was not to be had.
const UNAVAILABLE_VERSION_PAUSE: Duration = Duration::from_millis(500);

/// Follows the configuration until the task is dropped: by watches if this host is to
/// watch, else by asking for it when a peer knows a newer one.
pub async fn follow_configuration(host: Rc<Host>) {
    let mut client = StoreClient::new(&host);
    let mut retries = Retries::default();
    loop {
        match follow(&host, &mut client).await {
            Ok(()) => retries.record_success(),
            Err(error) => retries.back_off(&host, "configuration", &error).await,
        }
    }
}

async fn follow(host: &Host, client: &mut StoreClient<'_>) -> Result<(), StoreError> {
    wait_until(host, |router| { must_watch(router) || router.is_configuration_outdated()
    }).await;
    stagger(host).await;
    if !host.read(|router| must_watch(router) || router.is_configuration_outdated()) {
        return Ok(());
    }
    // One that the store turns away takes what its peers have, also if it should watch.
    let reads_store = host.read(|router| router.is_watcher(now()) && !router.last_store_call_failed());
    if !reads_store && fetch_from_peer(host).await {
        return Ok(());
    }
    let mut point = read(host, client).await?;
    recover_lost_configuration(host).await;
    while host.read(must_watch) {
        let requested = (boot_time(), Instant::now());
        let Some(updates) = client
            .watch(Collection::Configuration, point, WATCH_TIMEOUT)
            .await?
        else {
            return Ok(());
        };
        for change in updates.changes.iter().filter(|it| !it.is_removed) {
            apply(host, &change.object);
        }
        point = updates.point;
        host.apply(Event::ConfigurationProved(proved_at(requested)));
        recover_lost_configuration(host).await;
        if !updates.changes.is_empty() {
            sleep(WATCH_PAUSE).await;
        }
    }
    if host.read(Router::is_configuration_outdated) {
        // A peer told of a version that nobody has.
        sleep(UNAVAILABLE_VERSION_PAUSE).await;
    }
    Ok(())
}

/// Takes a newer configuration from a peer where the store has none.
///
/// Guards against a store that came back from an older copy: a host that reads it first would
/// accept credentials that were withdrawn since, until operators have written again.
async fn recover_lost_configuration(host: &Host) {
    if host.read(Router::is_configuration_outdated) {
        fetch_from_peer(host).await;
    }
}

/// Whether this host shall ask the store, and watch it.
fn must_watch(router: &Router) -> bool {
    router.should_watch(now(), boot_time())
}

/// Lets hosts that go before this one ask the store first.
///
/// Guards against all hosts of a large fleet asking at once: their proofs grow old in the same
/// moment, as they come from the same hosts. Where the bound on a configuration leaves time,
/// the first ones ask and tell the others.
async fn stagger(host: &Host) {
    let slack = host.settings.bounds.convergence_limit.saturating_sub(IMMEDIATE_CONVERGENCE);
    let until = Instant::now() + host.read(|router| stagger_delay(router, slack));
    let has_waited = |router: &Router| {
        Instant::now() >= until || router.table().is_none() || !router.is_stale(boot_time())
    };
    wait_until(host, has_waited).await;
}

fn stagger_delay(router: &Router, slack: Duration) -> Duration {
    let position = u32::try_from(router.store_probe_rank(now())).unwrap_or(u32::MAX);
    if router.probes_store_first(now()) || !router.is_stale(boot_time()) {
        return Duration::ZERO;
    }
    STAGGER_STEP.saturating_mul(position).min(slack).min(MAX_STAGGER)
}

/// Takes the newest configuration from a peer, or its word that this host has it; says
/// whether that was all that this host needs.
async fn fetch_from_peer(host: &Host) -> bool {
    let Some(from_peer) = fetch_configuration(host).await else {
        return false;
    };
    let known = known_version(host);
    if let Some(object) = &from_peer.object {
        apply(host, object);
    }
    if known_version(host) == from_peer.version
        && let Some(at) = from_peer.proved_at
    {
        host.apply(Event::ConfirmedByPeer(at));
    }
    let is_up_to_date = !host.read(must_watch) && !host.read(Router::is_configuration_outdated);
    // One that is newer still is asked for next.
    is_up_to_date || known_version(host) > known
}

async fn read(host: &Host, client: &mut StoreClient<'_>) -> Result<StorePoint, StoreError> {
    let requested_at = boot_time();
    let (objects, point) = client
        .list(Collection::Configuration, Freshness::Newest)
        .await?;
    for object in &objects {
        apply(host, object);
    }
    host.apply(Event::ConfigurationProved(requested_at));
    Ok(point)
}

/// The time at which a watch's answer was surely the newest.
///
/// It was asked before and may tell of that moment only; an answer that came later tells
/// of what was at most a lag before it came. A suspended host's steady clock stands still,
/// so only the time of asking holds for it.
fn proved_at((requested_boot, requested): (BootTime, Instant)) -> BootTime {
    let waited = requested.elapsed();
    let now = boot_time();
    let was_suspended = now.saturating_sub(requested_boot) > waited + WATCH_LAG;
    if was_suspended {
        return requested_boot;
    }
    requested_boot.max(now.saturating_sub(WATCH_LAG))
}

fn apply(host: &Host, object: &Object) {
    match host.platform.parse_configuration(object) {
        Ok(configuration) => {
            let version = configuration.version;
            let known = known_version(host);
            if version > known {
                log::info!(version, known; "configuration");
                let table = Arc::new(RouteTable::new(configuration));
                host.set_configuration(object.clone());
                host.apply(Event::ConfigurationLoaded(table));
            }
        }
        Err(error) => {
            log::warn!(name = object.name, error:%; "an object that is no configuration");
        }
    }
}

fn known_version(host: &Host) -> u64 {
    host.read(|router| {
        let table = router.table();
        table.map_or(0, |table| table.configuration().version)
    })
}
