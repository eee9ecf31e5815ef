//! Registers this host and discovers the other hosts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use jaypin_core::HostId;
use jaypin_router::{Event, Router};
use rand::RngExt;
use tokio::time::{Instant, sleep};

use super::client::{StoreClient, StoreError};
use super::{Retries, excerpt};
use crate::host::Host;
use crate::ports::{Collection, Freshness, HostRecord, Object};

/// Time between two checks for a live peer that was not listed.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Mean pause between two listings because of such peers.
const LIST_INTERVAL: Duration = Duration::from_secs(3);
/// Random factor on the pause: a new host's reports reach its whole cell at once.
const LIST_SPREAD: std::ops::Range<f64> = 0.3..1.7;

/// Pause before the first check whether a copy of the store contains a new registration, doubled
/// with each further check.
const FIRST_COPY_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause between two such checks.
const MAX_COPY_PAUSE: Duration = Duration::from_secs(1);
/// Longest time for which a copy of the store is waited for.
const MAX_COPY_LAG: Duration = Duration::from_secs(6);
/// Timeout of reading a registration.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Age from which on a registration is contained in every copy of the store: copies are only
/// seconds old.
const REPLICATION_TIME: Duration = Duration::from_mins(1);

/// Registers this host and lists the registered hosts, and lists them again when a live peer is
/// not among them. If the store was restored from an older copy, it may have lost a recent
/// registration, which is then written again.
///
/// No host watches these entries: each host sends reports to the hosts that it lists, and hosts
/// that register later list it. Of two hosts that start together at least one lists the other,
/// since both list from copies that contain their own registration.
pub async fn join_fleet(host: Rc<Host>) {
    let mut client = StoreClient::new(&host);
    let mut retries = Retries::default();
    while let Err(error) = ensure_registered(&host, &mut client).await {
        retries.back_off(&host, "registration", &error).await;
    }
    while let Err(error) = list_hosts(&host, &mut client).await {
        retries.back_off(&host, "registered hosts", &error).await;
    }
    let joined_at = Instant::now();
    let mut era = host.read(Router::store_era);
    loop {
        let spread = rand::rng().random_range(LIST_SPREAD);
        sleep(LIST_INTERVAL.mul_f64(spread)).await;
        while !has_unlisted_peer(&host) && era == host.read(Router::store_era) {
            sleep(CHECK_INTERVAL).await;
        }
        let before = std::mem::replace(&mut era, host.read(Router::store_era));
        let may_be_lost =
            before.is_some() && before != era && joined_at.elapsed() < REPLICATION_TIME;
        if may_be_lost && let Err(error) = ensure_registered(&host, &mut client).await {
            era = before;
            retries.back_off(&host, "registration", &error).await;
            continue;
        }
        if has_unlisted_peer(&host)
            && let Err(error) = list_hosts(&host, &mut client).await
        {
            log::info!(error:%; "listing the registered hosts failed; retrying after a pause");
        }
    }
}

fn has_unlisted_peer(host: &Host) -> bool {
    let now = Instant::now().into_std();
    host.read(|router| router.has_unlisted_peer(now))
}

/// Registers this host if the store has no current registration of it, and waits until the copies
/// of the store from which hosts are listed contain it. A copy that never does is used all the same
/// after [`MAX_COPY_LAG`].
async fn ensure_registered(host: &Host, client: &mut StoreClient<'_>) -> Result<(), StoreError> {
    let own = HostRecord {
        host: host.settings.host.clone(),
        peer_address: host.settings.peer_address,
    };
    let known = read_registration(host, client, &own.host).await?;
    if is_current(host, known.as_ref(), &own) {
        return Ok(());
    }
    register(host, client, &own, known.map(|it| it.point.revision)).await?;
    let registered_at = Instant::now();
    let mut pause = FIRST_COPY_PAUSE;
    while registered_at.elapsed() < MAX_COPY_LAG {
        sleep(pause).await;
        pause = (pause * 2).min(MAX_COPY_PAUSE);
        let copied = read_registration(host, client, &own.host).await?;
        if is_current(host, copied.as_ref(), &own) {
            return Ok(());
        }
    }
    log::warn!(host:% = own.host; "the store's copies lack the registration of this host");
    Ok(())
}

/// Reads the registration of a host from a copy of the store.
async fn read_registration(
    host: &Host,
    client: &mut StoreClient<'_>,
    name: &str,
) -> Result<Option<Object>, StoreError> {
    let path = host
        .platform
        .object_path(Collection::Hosts, name, Freshness::AllowStale);
    match client.get(&path, REGISTRATION_TIMEOUT).await {
        Ok(response) => Ok(Some(
            host.platform.parse_object(&response.body, response.era)?,
        )),
        Err(StoreError::Status { status }) if status == StatusCode::NOT_FOUND => Ok(None),
        Err(error) => Err(error),
    }
}

/// Returns whether an object is the given registration.
fn is_current(host: &Host, object: Option<&Object>, own: &HostRecord) -> bool {
    let record = object.map(|it| host.platform.parse_host(it));
    record.is_some_and(|record| record.is_ok_and(|record| record == *own))
}

/// Lists the registered hosts. A listing that lags suffices: it contains all hosts that registered
/// before this one.
async fn list_hosts(host: &Host, client: &mut StoreClient<'_>) -> Result<(), StoreError> {
    let read = |object: Object| parse_host(host, &object);
    let listing = client.list(Collection::Hosts, Freshness::AllowStale, read);
    let hosts = listing.await?.items;
    log::info!(count = hosts.len(); "registered hosts listed");
    host.apply(Event::HostsListed(hosts));
    Ok(())
}

/// Writes the registration of this host, and replaces the given revision if there is one.
async fn register(
    host: &Host,
    client: &mut StoreClient<'_>,
    own: &HostRecord,
    replaces: Option<u64>,
) -> Result<(), StoreError> {
    let platform = &host.platform;
    let body = platform.host_body(own, replaces);
    let path = platform.object_path(Collection::Hosts, &own.host, Freshness::Newest);
    let written = if replaces.is_some() {
        client.write(Method::PUT, &path, body).await
    } else {
        let kind = platform.list_path(Collection::Hosts, None, Freshness::Newest);
        client.write(Method::POST, &kind, body).await
    };
    match written {
        // An earlier attempt whose response was lost, or a former process of this host, has
        // registered it.
        Err(StoreError::Status { status })
            if status == StatusCode::CONFLICT && replaces.is_none() =>
        {
            Ok(())
        }
        other => other.map(drop),
    }
}

/// Parses a registration, and logs one that is invalid.
fn parse_host(host: &Host, object: &Object) -> Option<(HostId, SocketAddr)> {
    match host.platform.parse_host(object) {
        Ok(record) => Some((record.host, record.peer_address)),
        Err(error) => {
            let (name, error) = (excerpt(&object.name), excerpt(&error.to_string()));
            log::warn!(name, error; "invalid host entry in the store; ignored");
            None
        }
    }
}
