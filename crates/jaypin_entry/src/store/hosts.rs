//! Registers this host and discovers the other hosts.

use std::rc::Rc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use jaypin_router::{Event, Router, StorePoint};
use rand::RngExt;
use tokio::time::{Instant, sleep};

use super::client::{StoreClient, StoreError};
use super::listing::Listing;
use super::{Retries, excerpt};
use crate::host::Host;
use crate::ports::{Collection, Freshness, HostRecord, Object};

/// Time between two checks for a live peer that was not listed.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Mean pause between two listings because of such peers.
const LIST_INTERVAL: Duration = Duration::from_secs(3);
/// Random factor on the pause: a new host's reports reach its whole cell at once.
const LIST_SPREAD: std::ops::Range<f64> = 0.3..1.7;

/// Mean time from the first listing of the hosts to the second one. All copies of the store then contain
/// what was written before the first.
const FIRST_REPEAT: Duration = Duration::from_secs(12);
/// Mean time between later listings without a known reason. While no listing was complete, the time
/// doubles up to this one.
const REPEAT_INTERVAL: Duration = Duration::from_mins(5);
/// Random factor on these times: hosts that start together would list all hosts at the same time.
const REPEAT_SPREAD: std::ops::Range<f64> = 0.7..1.3;

/// Pause between a new registration and the first listing, doubled after each listing that lacks it.
const FIRST_COPY_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause between two such listings.
const MAX_COPY_PAUSE: Duration = Duration::from_secs(1);
/// Time after which a host no longer waits for copies of the store that contain its registration.
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
/// that register later list it.
///
/// The hosts are also listed once soon after the start, and seldom from then on, without a known reason.
/// This guards against hosts that missed each other at their start: neither would ever hear of the other.
pub async fn join_fleet(host: Rc<Host>) {
    let mut client = StoreClient::new(&host);
    let mut retries = Retries::default();
    let registration = loop {
        match join(&host, &mut client).await {
            Ok(registration) => break registration,
            Err(error) => retries.back_off(&host, "registered hosts", &error).await,
        }
    };
    let joined_at = Instant::now();
    let mut repeats = Repeats::new();
    let mut era = host.read(Router::store_era);
    loop {
        sleep(spread(LIST_INTERVAL, LIST_SPREAD)).await;
        while !has_unlisted_peer(&host) && era == host.read(Router::store_era) && !repeats.is_due()
        {
            sleep(CHECK_INTERVAL).await;
        }
        let before = std::mem::replace(&mut era, host.read(Router::store_era));
        let may_be_lost =
            before.is_some() && before != era && joined_at.elapsed() < REPLICATION_TIME;
        if may_be_lost
            && let Err(error) = ensure_registered(&host, &mut client, Freshness::AllowStale).await
        {
            era = before;
            retries.back_off(&host, "registration", &error).await;
            continue;
        }
        let is_repeat = repeats.is_due();
        if !is_repeat && !has_unlisted_peer(&host) {
            continue;
        }
        let listed = list_again(&host, &mut client, &registration, is_repeat).await;
        if is_repeat {
            let is_complete = listed.as_ref().is_ok_and(|it| *it);
            repeats.schedule(is_complete);
        }
        if let Err(error) = listed {
            log::info!(error:%; "listing the registered hosts failed; retrying after a pause");
        }
    }
}

/// When the hosts are listed again without a known reason.
#[derive(Debug)]
struct Repeats {
    pause: Duration,
    at: Instant,
}

impl Repeats {
    fn new() -> Self {
        Self {
            pause: FIRST_REPEAT,
            at: Instant::now() + spread(FIRST_REPEAT, REPEAT_SPREAD),
        }
    }

    fn is_due(&self) -> bool {
        Instant::now() >= self.at
    }

    /// Schedules the next listing, sooner if the last one failed or was cut.
    fn schedule(&mut self, is_complete: bool) {
        self.pause = if is_complete {
            REPEAT_INTERVAL
        } else {
            (self.pause * 2).min(REPEAT_INTERVAL)
        };
        self.at = Instant::now() + spread(self.pause, REPEAT_SPREAD);
    }
}

/// Returns a random time around a mean.
fn spread(mean: Duration, factors: std::ops::Range<f64>) -> Duration {
    mean.mul_f64(rand::rng().random_range(factors))
}

/// Lists the registered hosts, and returns whether the listing was complete. A repeated listing also shows
/// whether the store has lost the registration of this host, which is then written again.
async fn list_again(
    host: &Host,
    client: &mut StoreClient<'_>,
    registration: &Registration,
    is_repeat: bool,
) -> Result<bool, StoreError> {
    let listing = list_hosts(host, client, Freshness::AllowStale).await?;
    let is_complete = listing.is_complete;
    let is_lost = is_repeat && registration.is_missing_in(&listing);
    apply_listing(host, listing, registration);
    if is_lost {
        log::warn!(host:% = host.settings.host; "the store has lost the registration of this host; registering again");
        ensure_registered(host, client, Freshness::Newest).await?;
    }
    Ok(is_complete)
}

/// Registers this host, and lists the registered hosts until a listing contains the registration.
///
/// Guards against hosts that start together, never hear of each other, and each act as the whole fleet:
/// reads that may be stale come from different copies of the store, so a listing can lack a
/// registration that another read has shown. A listing that contains the registration of this host
/// contains all earlier ones, so of two hosts the one that registered later lists the other. Copies that
/// never contain it are replaced by the newest state.
async fn join(host: &Host, client: &mut StoreClient<'_>) -> Result<Registration, StoreError> {
    let registration = ensure_registered(host, client, Freshness::AllowStale).await?;
    let started_at = Instant::now();
    let mut pause = FIRST_COPY_PAUSE;
    if registration.is_new {
        sleep(pause).await;
    }
    loop {
        let listing = list_hosts(host, client, Freshness::AllowStale).await?;
        if !listing.is_complete || registration.is_in(&listing) {
            apply_listing(host, listing, &registration);
            return Ok(registration);
        }
        if started_at.elapsed() >= MAX_COPY_LAG {
            break;
        }
        sleep(pause).await;
        pause = (pause * 2).min(MAX_COPY_PAUSE);
    }
    log::warn!(host:% = registration.record.host; "the store's copies lack the registration of this host; reading the newest state");
    let registration = ensure_registered(host, client, Freshness::Newest).await?;
    let listing = list_hosts(host, client, Freshness::Newest).await?;
    apply_listing(host, listing, &registration);
    Ok(registration)
}

fn has_unlisted_peer(host: &Host) -> bool {
    let now = Instant::now().into_std();
    host.read(|router| router.has_unlisted_peer(now))
}

/// The registration of this host.
#[derive(Debug)]
struct Registration {
    record: HostRecord,
    /// Whether it was written just now.
    is_new: bool,
    /// Point before which an object of the same name is a former registration.
    since: StorePoint,
}

impl Registration {
    /// Returns whether the store has lost this registration, if all its copies have had it.
    fn is_missing_in(&self, listing: &Listing<RegisteredHost>) -> bool {
        let mut hosts = listing.items.iter();
        listing.is_complete && !hosts.any(|it| it.record == self.record)
    }

    /// Returns whether each page of a listing was read from a copy that contains this registration.
    fn is_in(&self, listing: &Listing<RegisteredHost>) -> bool {
        let mut hosts = listing.items.iter();
        let own = hosts.find(|it| it.record == self.record && it.point >= self.since);
        own.is_some_and(|own| own.point <= listing.point)
    }
}

/// A registration that was listed.
#[derive(Debug)]
struct RegisteredHost {
    record: HostRecord,
    /// Point in the store's history at which it was written.
    point: StorePoint,
}

/// Returns the registration that this host writes.
fn own_record(host: &Host) -> HostRecord {
    HostRecord {
        host: host.settings.host.clone(),
        peer_address: host.settings.peer_address,
    }
}

/// Registers this host if the store has no current registration of it.
async fn ensure_registered(
    host: &Host,
    client: &mut StoreClient<'_>,
    freshness: Freshness,
) -> Result<Registration, StoreError> {
    let record = own_record(host);
    let known = read_registration(host, client, &record.host, freshness).await?;
    let is_current = |object: &Object| {
        let known = host.platform.parse_host(object);
        known.is_ok_and(|known| known == record)
    };
    if let Some(object) = known.as_ref().filter(|it| is_current(it)) {
        let since = object.point;
        return Ok(Registration {
            record,
            is_new: false,
            since,
        });
    }
    let replaced = known.map(|it| it.point);
    register(host, client, &record, replaced.map(|it| it.revision)).await?;
    let since = replaced.map(|it| StorePoint::new(it.era, it.revision + 1));
    Ok(Registration {
        record,
        is_new: true,
        since: since.unwrap_or_default(),
    })
}

/// Reads the registration of a host.
async fn read_registration(
    host: &Host,
    client: &mut StoreClient<'_>,
    name: &str,
    freshness: Freshness,
) -> Result<Option<Object>, StoreError> {
    let path = host
        .platform
        .object_path(Collection::Hosts, name, freshness);
    match client.get(&path, REGISTRATION_TIMEOUT).await {
        Ok(response) => Ok(Some(
            host.platform.parse_object(&response.body, response.era)?,
        )),
        Err(StoreError::Status { status }) if status == StatusCode::NOT_FOUND => Ok(None),
        Err(error) => Err(error),
    }
}

/// Lists the registered hosts.
async fn list_hosts(
    host: &Host,
    client: &mut StoreClient<'_>,
    freshness: Freshness,
) -> Result<Listing<RegisteredHost>, StoreError> {
    let read = |object: Object| parse_host(host, &object);
    let listing = client.list(Collection::Hosts, freshness, read).await?;
    log::info!(count = listing.items.len(), point:? = listing.point; "registered hosts listed");
    Ok(listing)
}

/// Passes the hosts of a listing to the reducer, as all hosts that registered before this one if the
/// listing is complete and contains its registration.
fn apply_listing(host: &Host, listing: Listing<RegisteredHost>, registration: &Registration) {
    let has_all = listing.is_complete && registration.is_in(&listing);
    let hosts = listing.items.into_iter().map(|it| it.record);
    let hosts = hosts.map(|it| (it.host, it.peer_address)).collect();
    host.apply(if has_all {
        Event::HostsListed(hosts)
    } else {
        Event::HostsFound(hosts)
    });
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
fn parse_host(host: &Host, object: &Object) -> Option<RegisteredHost> {
    let point = object.point;
    match host.platform.parse_host(object) {
        Ok(record) => Some(RegisteredHost { record, point }),
        Err(error) => {
            let (name, error) = (excerpt(&object.name), excerpt(&error.to_string()));
            log::warn!(name, error; "invalid host entry in the store; ignored");
            None
        }
    }
}
