//! Follows the configuration, and records when it was known to be the newest.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jaypin_router::{
    BootTime, Configuration, Event, PROOF_INTERVAL, RouteTable, Router, StorePoint,
};
use tokio::time::{Instant, sleep};

use super::client::{StoreClient, StoreError};
use super::{CHECK_INTERVAL, RELAY_FALLBACK_TIME, Retries, WATCH_PAUSE, excerpt, now, wait_until};
use crate::boot_clock::boot_time;
use crate::host::Host;
use crate::peers::{PeerConfiguration, fetch_configuration, watch_configuration};
use crate::ports::{Collection, Freshness, Object};

/// Bound on the time to apply a configuration below which hosts read the store without
/// staggering, as soon as their proofs are old.
const IMMEDIATE_CONVERGENCE: Duration = Duration::from_secs(2);
/// Time between the reads of two hosts once their proofs are old.
const STAGGER_STEP: Duration = Duration::from_millis(40);
/// Longest delay of a staggered read. Proofs remain valid for 1.4 s after they count as old.
const MAX_STAGGER: Duration = Duration::from_millis(900);

/// Pause after a reported version could not be read from any peer, and time after which the store
/// is read for it.
const UNAVAILABLE_VERSION_PAUSE: Duration = Duration::from_millis(500);

/// Fetches configurations that peers report until the task is dropped.
///
/// Guards against a host that answers by an older configuration although its peers have the newer
/// one: the task that calls the store may pause for seconds after failed calls. It also guards
/// against a store that was restored from an older copy: a host that reads it first would accept
/// credentials that were withdrawn since, until operators write again.
pub async fn fetch_reported_configurations(host: Rc<Host>) {
    loop {
        wait_until(&host, |router| {
            router.is_configuration_outdated() && !router.configuration_holders(now()).is_empty()
        })
        .await;
        if !fetch_from_peer(&host).await {
            sleep(UNAVAILABLE_VERSION_PAUSE).await;
        }
    }
}

/// Reads the configuration from the store until the task is dropped: by watches if this host is a
/// watcher, else when its proof is old or no peer returns a version that one reported.
pub async fn follow_configuration(host: Rc<Host>) {
    let mut client = StoreClient::new(&host);
    let mut retries = Retries::default();
    let mut last_point = None;
    loop {
        match follow(&host, &mut client, &mut last_point).await {
            Ok(()) => retries.record_success(),
            Err(error) => retries.back_off(&host, "configuration", &error).await,
        }
    }
}

/// Reads the configuration once it is needed, and watches it for as long as this host has to. A
/// host that becomes a watcher while its proof is fresh watches from `last_point`, up to which it
/// knows all changes, without reading the configuration again.
async fn follow(
    host: &Host,
    client: &mut StoreClient<'_>,
    last_point: &mut Option<StorePoint>,
) -> Result<(), StoreError> {
    let must_read = |router: &Router| {
        !router.awaits_peers(now()) && (must_watch(router) || is_version_unavailable(router))
    };
    wait_until(host, must_read).await;
    stagger(host).await;
    if !host.read(must_read) {
        return Ok(());
    }
    // A watcher whose last call to the store failed fetches from its peers like other hosts.
    let reads_store =
        host.read(|router| router.is_watcher(now()) && !router.last_store_call_failed());
    if !reads_store && !host.read(is_version_unavailable) && fetch_from_peer(host).await {
        return Ok(());
    }
    if host.read(Router::is_relay)
        && !host.read(is_version_unavailable)
        && follow_watchers(host).await
    {
        return Ok(());
    }
    let may_continue = host.read(|router| must_watch(router) && !router.is_stale(boot_time()));
    let mut point = match last_point.take().filter(|_| may_continue) {
        Some(point) => point,
        None => read_from_store(host, client).await?,
    };
    let read_at = Instant::now();
    let is_fallback_over =
        |router: &Router| router.is_relay() && read_at.elapsed() >= RELAY_FALLBACK_TIME;
    while host.read(|router| must_watch(router) && !is_fallback_over(router)) {
        // A response proves nothing about the time after its request: it may have arrived long before this
        // process runs again and reads it. The boot clock also counts time for which the host is suspended.
        let requested_at = boot_time();
        let Some(updates) = client
            .watch(Collection::Configuration, point, PROOF_INTERVAL)
            .await?
        else {
            return Ok(());
        };
        for change in updates.changes.iter().filter(|it| !it.is_removed) {
            apply_object(host, &change.object, Source::Store);
        }
        point = updates.point;
        // The store's revision counts the changes of all collections.
        if host.watches.compare_entries(point) {
            host.apply(Event::EntriesProved(requested_at));
        }
        host.apply(Event::ConfigurationProved(requested_at));
        host.watches.advance();
        if !updates.changes.is_empty() {
            sleep(WATCH_PAUSE).await;
        }
    }
    *last_point = Some(point);
    if host.read(is_version_unavailable) {
        sleep(UNAVAILABLE_VERSION_PAUSE).await;
    }
    Ok(())
}

/// Follows the configuration as watchers of other cells read it, for as long as this host has to
/// watch. Returns `false` if none of them has confirmed it for too long.
async fn follow_watchers(host: &Host) -> bool {
    while host.read(|router| must_watch(router) && router.is_relay()) {
        let is_stale = |router: &Router| router.is_stale(boot_time());
        // A response that is held brings the next proof; a host without a proof needs the last.
        let wait = if host.read(is_stale) {
            Duration::ZERO
        } else {
            PROOF_INTERVAL
        };
        if let Some(from_watcher) = watch_configuration(host, wait).await {
            apply_watched_entries(host, &from_watcher);
            apply_from_host(host, &from_watcher, Event::ConfigurationProved);
            sleep(WATCH_PAUSE).await;
        } else {
            sleep(CHECK_INTERVAL).await;
        }
        if host.read(|router| is_stale(router) && !router.is_joining(now())) {
            log::warn!("no watcher of another cell confirms the configuration; reading the store");
            return false;
        }
    }
    true
}

/// Applies the configuration that another host sent, and its proof if this host then has the same
/// version.
fn apply_from_host(
    host: &Host,
    from_host: &PeerConfiguration,
    proof: impl FnOnce(BootTime) -> Event,
) {
    if let Some(object) = &from_host.object {
        apply_object(host, object, Source::Peer);
    }
    if known_version(host) == from_host.version
        && let Some(at) = from_host.proved_at
    {
        host.apply(proof(at));
    }
}

/// Applies a watcher's proof of entries if this host has the same, and otherwise records that it
/// may lack some.
fn apply_watched_entries(host: &Host, from_watcher: &PeerConfiguration) {
    let Some((digest, proved_at)) = from_watcher.entries else {
        return;
    };
    let is_known = host.read(Router::entries_digest) == digest;
    host.watches.set_entries_lag(!is_known);
    if is_known {
        host.apply(Event::EntriesProved(proved_at));
    }
}

/// Returns whether a peer reported a newer version a while ago and no peer has returned it.
fn is_version_unavailable(router: &Router) -> bool {
    let outdated = router.outdated_for(now());
    outdated.is_some_and(|time| time >= UNAVAILABLE_VERSION_PAUSE)
}

/// Returns whether this host has to read and watch the store.
fn must_watch(router: &Router) -> bool {
    router.should_watch(now(), boot_time())
}

/// Waits until hosts with a higher rank had time to read the store first.
///
/// Guards against simultaneous reads by all hosts of a large fleet: their proofs become old at
/// the same moment, since they come from the same hosts. Where the bound on the time to apply a
/// configuration leaves time, the first hosts read it and report it to the others.
async fn stagger(host: &Host) {
    let slack = host
        .settings
        .bounds
        .convergence_limit
        .saturating_sub(IMMEDIATE_CONVERGENCE);
    let until = Instant::now() + host.read(|router| stagger_delay(router, slack));
    let has_waited = |router: &Router| {
        Instant::now() >= until || router.table().is_none() || !router.is_stale(boot_time())
    };
    wait_until(host, has_waited).await;
}

/// Returns the delay before this host reads the store, from its rank among its live peers.
fn stagger_delay(router: &Router, slack: Duration) -> Duration {
    let position = u32::try_from(router.store_probe_rank(now())).unwrap_or(u32::MAX);
    if router.probes_store_first(now()) || !router.is_stale(boot_time()) {
        return Duration::ZERO;
    }
    STAGGER_STEP
        .saturating_mul(position)
        .min(slack)
        .min(MAX_STAGGER)
}

/// Fetches the newest configuration from a peer, or its confirmation that this host has it.
/// Returns whether the store need not be read.
async fn fetch_from_peer(host: &Host) -> bool {
    let Some(from_peer) = fetch_configuration(host).await else {
        return false;
    };
    let known = known_version(host);
    apply_from_host(host, &from_peer, Event::ConfirmedByPeer);
    let is_up_to_date = !host.read(must_watch) && !host.read(Router::is_configuration_outdated);
    // If a still newer version was reported, it is fetched next.
    is_up_to_date || known_version(host) > known
}

/// Reads the configuration from the store. Returns the point from which to watch.
async fn read_from_store(
    host: &Host,
    client: &mut StoreClient<'_>,
) -> Result<StorePoint, StoreError> {
    let requested_at = boot_time();
    let read = |object: Object| Some((parse_object(host, &object)?, object));
    let listing = client.list(Collection::Configuration, Freshness::Newest, read);
    let listing = listing.await?;
    // The newest configuration may be among the objects that were not listed.
    if !listing.is_complete && listing.items.is_empty() {
        return Err(StoreError::IncompleteListing);
    }
    for (configuration, object) in listing.items {
        apply_configuration(host, configuration, &object, Source::Store);
    }
    host.apply(Event::ConfigurationProved(requested_at));
    host.watches.advance();
    Ok(listing.point)
}

/// Where a configuration was read.
#[derive(Debug, Clone, Copy)]
enum Source {
    Store,
    Peer,
}

/// Applies an object's configuration if it is newer than the one in use.
fn apply_object(host: &Host, object: &Object, source: Source) {
    if let Some(configuration) = parse_object(host, object) {
        apply_configuration(host, configuration, object, source);
    }
}

/// Parses the configuration in an object, and logs one that is invalid.
fn parse_object(host: &Host, object: &Object) -> Option<Configuration> {
    match host.platform.parse_configuration(object) {
        Ok(configuration) => Some(configuration),
        Err(error) => {
            let (name, error) = (excerpt(&object.name), excerpt(&error.to_string()));
            log::warn!(name, error; "invalid configuration in the store or from a peer; ignored");
            None
        }
    }
}

/// Applies a configuration if it is newer than the one in use.
fn apply_configuration(host: &Host, configuration: Configuration, object: &Object, source: Source) {
    let version = configuration.version;
    let known = known_version(host);
    if version <= known {
        return;
    }
    let outdated = host.read(|router| router.outdated_for(now()));
    let outdated_ms = outdated.unwrap_or_default().as_millis();
    log::info!(version, known, source:?, outdated_ms; "new configuration applied");
    let table = Arc::new(RouteTable::new(configuration));
    host.set_configuration(object.clone());
    host.admission.idle_time.set(&table.configuration().limits);
    host.apply(Event::ConfigurationLoaded(table));
}

fn known_version(host: &Host) -> u64 {
    host.read(|router| {
        let table = router.table();
        table.map_or(0, |table| table.configuration().version)
    })
}
