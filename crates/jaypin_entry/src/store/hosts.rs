//! Registers this host and finds the others.

use std::rc::Rc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use jaypin_router::{Event, Router};
use rand::RngExt;
use tokio::time::{Instant, sleep};

use super::Retries;
use super::client::{StoreClient, StoreError};
use crate::host::Host;
use crate::ports::{Collection, Freshness, HostRecord, Object};

/// Pause between two looks at whether a peer is heard that was not listed.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between two listings for the sake of such peers, and its spread: a new host is heard
/// by its whole cell at once.
const LIST_INTERVAL: Duration = Duration::from_secs(3);
const LIST_SPREAD: std::ops::Range<f64> = 0.3..1.7;

/// Age of a registration from which on each copy of the store has it: copies are seconds old.
const REPLICATION_TIME: Duration = Duration::from_mins(1);

/// Registers this host, then reads who else has registered, and again when a peer is heard
/// that was not listed. A store that came back from an older copy may have lost a young
/// registration, which is then written again.
///
/// Nobody watches these entries: each host tells those that it finds, and who registers
/// later finds it. Of two hosts that start together at least one sees the other's entry,
/// since both write before they read.
pub async fn join_fleet(host: Rc<Host>) {
    let mut client = StoreClient::new(&host);
    let mut retries = Retries::default();
    while let Err(error) = ensure_registered(&host, &mut client).await {
        retries.back_off(&host, "registration", &error).await;
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
        let may_be_lost = before.is_some() && before != era && joined_at.elapsed() < REPLICATION_TIME;
        if may_be_lost && let Err(error) = ensure_registered(&host, &mut client).await {
            era = before;
            retries.back_off(&host, "registration", &error).await;
            continue;
        }
        if !has_unlisted_peer(&host) {
            continue;
        }
        match client.list(Collection::Hosts, Freshness::AllowStale).await {
            Ok((objects, _)) => record_hosts(&host, &objects),
            Err(error) => log::info!(error:%; "hosts could not be listed again"),
        }
    }
}

fn has_unlisted_peer(host: &Host) -> bool {
    let now = Instant::now().into_std();
    host.read(|router| router.has_unlisted_peer(now))
}

async fn ensure_registered(host: &Host, client: &mut StoreClient<'_>) -> Result<(), StoreError> {
    let own = HostRecord {
        host: host.settings.host.clone(),
        peer_address: host.settings.peer_address,
    };
    // One that has been there for long lists all that matter also if it lags.
    let (objects, _) = client.list(Collection::Hosts, Freshness::AllowStale).await?;
    let registered = objects.iter().find(|it| *it.name == *own.host);
    let is_current = registered.is_some_and(|it| {
        let record = host.platform.parse_host(it);
        record.is_ok_and(|record| record == own)
    });
    // Known at once, however long it takes to register: each host gives out its part of
    // the quotas by how many there are.
    record_hosts(host, &objects);
    if is_current {
        return Ok(());
    }
    register(host, client, &own, registered.map(|it| it.point.revision)).await?;
    let (objects, _) = client.list(Collection::Hosts, Freshness::Newest).await?;
    record_hosts(host, &objects);
    Ok(())
}

async fn register(
    host: &Host,
    client: &mut StoreClient<'_>,
    own: &HostRecord,
    replaces: Option<u64>,
) -> Result<(), StoreError> {
    let platform = &host.platform;
    let body = platform.host_body(own, replaces);
    let path = platform.object_path(Collection::Hosts, &own.host);
    let written = if replaces.is_some() {
        client.write(Method::PUT, &path, body).await
    } else {
        let kind = platform.list_path(Collection::Hosts, None, Freshness::Newest);
        client.write(Method::POST, &kind, body).await
    };
    match written {
        // An earlier try whose answer was lost, or this host's process before this one.
        Err(StoreError::Status { status }) if status == StatusCode::CONFLICT => Ok(()),
        other => other.map(drop),
    }
}

fn record_hosts(host: &Host, objects: &[Object]) {
    let records = objects.iter().filter_map(|object| {
        let record = host.platform.parse_host(object);
        if let Err(error) = &record {
            log::warn!(name = object.name, error:%; "an entry that is no host");
        }
        record.ok()
    });
    let hosts: Vec<_> = records.map(|it| (it.host, it.peer_address)).collect();
    log::info!(count = hosts.len(); "hosts listed");
    host.apply(Event::HostsListed(hosts));
}
