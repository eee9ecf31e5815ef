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
use crate::peers::ask_configuration;
use crate::ports::{Collection, Freshness, Object};

/// How long one watch waits. The proof that a configuration is the newest is as old as the
/// last answer, so this bounds its age; each watch has its price.
const WATCH: Duration = Duration::from_secs(1);
/// Time by which a watch may lag behind what was written: a store that drops its history
/// tells watches nothing for up to a second before.
const WATCH_LAG: Duration = Duration::from_millis(1_200);

/// Bound on a configuration within which all hosts have to ask the store themselves as soon as
/// their proofs are old.
const QUICK_CONVERGE: Duration = Duration::from_secs(2);
/// Time between two hosts that ask the store once proofs are old, and the longest such wait:
/// proofs hold for 1.4 s longer.
const TURN: Duration = Duration::from_millis(40);
const LONGEST_TURN: Duration = Duration::from_millis(900);

/// Pause after a version that was told of was not to be had.
const BEHIND_PAUSE: Duration = Duration::from_millis(500);

/// Follows the configuration until the task is dropped: by watches if this host is to
/// watch, else by asking for it when a peer knows a newer one.
pub async fn follow_configuration(host: Rc<Host>) {
    let mut client = StoreClient::new(&host);
    let mut retries = Retries::default();
    loop {
        match follow(&host, &mut client).await {
            Ok(()) => retries.ended_well(),
            Err(error) => retries.pause_after(&host, "configuration", &error).await,
        }
    }
}

async fn follow(host: &Host, client: &mut StoreClient<'_>) -> Result<(), StoreError> {
    wait_until(host, |router| {
        is_needed(router) || router.is_configuration_outdated()
    })
    .await;
    wait_for_turn(host).await;
    if !host.look(|router| is_needed(router) || router.is_configuration_outdated()) {
        return Ok(());
    }
    // One that the store turns away takes what its peers have, also if it should watch.
    let asks_store =
        host.look(|router| router.is_watcher(now()) && !router.last_store_call_failed());
    if !asks_store && take_from_peer(host).await {
        return Ok(());
    }
    let mut point = read(host, client).await?;
    take_what_store_lost(host).await;
    while host.look(is_needed) {
        let asked = (boot_time(), Instant::now());
        let Some(news) = client
            .watch(Collection::Configuration, point, WATCH)
            .await?
        else {
            return Ok(());
        };
        for change in news.changes.iter().filter(|it| !it.is_removed) {
            take(host, &change.object);
        }
        point = news.point;
        host.apply(Event::ConfigurationProved(proved_at(asked)));
        take_what_store_lost(host).await;
        if !news.changes.is_empty() {
            sleep(WATCH_PAUSE).await;
        }
    }
    if host.look(Router::is_configuration_outdated) {
        // A peer told of a version that nobody has.
        sleep(BEHIND_PAUSE).await;
    }
    Ok(())
}

/// Takes a newer configuration from a peer where the store has none.
///
/// Guards against a store that came back from an older copy: a host that reads it first would
/// accept credentials that were withdrawn since, until operators have written again.
async fn take_what_store_lost(host: &Host) {
    if host.look(Router::is_configuration_outdated) {
        take_from_peer(host).await;
    }
}

/// Whether this host shall ask the store, and watch it.
fn is_needed(router: &Router) -> bool {
    router.should_watch(now(), boot_time())
}

/// Lets hosts that go before this one ask the store first.
///
/// Guards against all hosts of a large fleet asking at once: their proofs grow old in the same
/// moment, as they come from the same hosts. Where the bound on a configuration leaves time,
/// the first ones ask and tell the others.
async fn wait_for_turn(host: &Host) {
    let room = host
        .settings
        .bounds
        .convergence_limit
        .saturating_sub(QUICK_CONVERGE);
    let until = Instant::now() + host.look(|router| turn(router, room));
    let has_waited = |router: &Router| {
        Instant::now() >= until || router.table().is_none() || !router.is_stale(boot_time())
    };
    wait_until(host, has_waited).await;
}

fn turn(router: &Router, room: Duration) -> Duration {
    let place = u32::try_from(router.store_probe_rank(now())).unwrap_or(u32::MAX);
    if router.probes_store_first(now()) || !router.is_stale(boot_time()) {
        return Duration::ZERO;
    }
    TURN.saturating_mul(place).min(room).min(LONGEST_TURN)
}

/// Takes the newest configuration from a peer, or its word that this host has it; says
/// whether that was all that this host needs.
async fn take_from_peer(host: &Host) -> bool {
    let Some(word) = ask_configuration(host).await else {
        return false;
    };
    let known = known_version(host);
    if let Some(object) = &word.object {
        take(host, object);
    }
    if known_version(host) == word.version
        && let Some(at) = word.proved_at
    {
        host.apply(Event::ConfirmedByPeer(at));
    }
    let is_satisfied = !host.look(is_needed) && !host.look(Router::is_configuration_outdated);
    // One that is newer still is asked for next.
    is_satisfied || known_version(host) > known
}

async fn read(host: &Host, client: &mut StoreClient<'_>) -> Result<StorePoint, StoreError> {
    let asked_at = boot_time();
    let (objects, point) = client
        .list(Collection::Configuration, Freshness::Newest)
        .await?;
    for object in &objects {
        take(host, object);
    }
    host.apply(Event::ConfigurationProved(asked_at));
    Ok(point)
}

/// The time at which a watch's answer was surely the newest.
///
/// It was asked before and may tell of that moment only; an answer that came later tells
/// of what was at most a lag before it came. A suspended host's steady clock stands still,
/// so only the time of asking holds for it.
fn proved_at((asked_boot, asked): (BootTime, Instant)) -> BootTime {
    let waited = asked.elapsed();
    let now = boot_time();
    let was_suspended = now.saturating_sub(asked_boot) > waited + WATCH_LAG;
    if was_suspended {
        return asked_boot;
    }
    asked_boot.max(now.saturating_sub(WATCH_LAG))
}

fn take(host: &Host, object: &Object) {
    match host.platform.parse_configuration(object) {
        Ok(configuration) => {
            let version = configuration.version;
            let known = known_version(host);
            if version > known {
                log::info!(version, known; "configuration");
                let table = Arc::new(RouteTable::new(configuration));
                host.keep_configuration(object.clone());
                host.apply(Event::ConfigurationLoaded(table));
            }
        }
        Err(error) => {
            log::warn!(name = object.name, error:%; "an object that is no configuration");
        }
    }
}

fn known_version(host: &Host) -> u64 {
    host.look(|router| {
        let table = router.table();
        table.map_or(0, |table| table.configuration().version)
    })
}
