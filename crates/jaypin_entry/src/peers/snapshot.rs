//! Snapshots that hosts request from each other: the configuration, and all entries of backend
//! servers.
//!
//! They are sent over connections, since both are larger than a datagram and must be complete.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, StatusCode};
use jaypin_router::{BootTime, EntryChange, Router, StorePoint};
use rand::seq::IndexedRandom;
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout};

use super::wire::{
    ConfigurationSnapshot, EntryChanges, WireError, decode_configuration, decode_entries,
    decode_entry_changes, encode_configuration, encode_entries, encode_entry_changes,
};
use crate::boot_clock::boot_time;
use crate::callers::{HttpResponse, bytes_response, empty_response, serve_responses};
use crate::calls::{BufferedResponse, DEFAULT_TIMEOUTS, connect, read_response};
use crate::host::Host;
use crate::ports::Object;

/// Timeout of a request to a peer, without the time for which it is held.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of peers that are tried before the store is read.
const MAX_PEERS_TRIED: usize = 2;
/// Number of hosts that are tried as watchers of the store: those that watch are not known, only
/// those that probably do.
const MAX_WATCHERS_TRIED: usize = 4;
/// Path of the configuration snapshot.
const CONFIGURATION_PATH: &str = "/configuration";
/// Path of the snapshot of entries.
const ENTRIES_PATH: &str = "/entries";
/// Path of the changes of entries.
const ENTRY_CHANGES_PATH: &str = "/entry-changes";
/// Query parameter of [`CONFIGURATION_PATH`]: the requesting host's version.
const KNOWN: &str = "known";
/// Query parameter: the time, in milliseconds, for which the response is held until there is
/// something new. Only hosts that watch the store respond to requests with it.
const WAIT_MS: &str = "wait_ms";
/// Query parameters of [`ENTRY_CHANGES_PATH`]: the point after which changes are requested.
const ERA: &str = "era";
const REVISION: &str = "revision";
/// Response header: the time, in milliseconds, for which the response was held.
const HELD_MS: &str = "held-ms";
/// Longest time for which a response is held.
const MAX_HOLD: Duration = Duration::from_secs(5);

/// Serves snapshots to peers until the task is dropped.
///
/// A configuration contains credentials, so only connections from the addresses of registered
/// hosts are served.
pub async fn serve_snapshots(host: Rc<Host>, listener: TcpListener) {
    let is_host =
        |host: &Host, from: SocketAddr| host.read(|router| router.is_registered_host(from.ip()));
    let respond = |host: Rc<Host>, req: Request<Incoming>| async move {
        let query = req.uri().query().unwrap_or_default();
        match req.uri().path() {
            CONFIGURATION_PATH => respond_with_configuration(&host, query).await,
            ENTRIES_PATH => encoded(encode_entries(&host.read(Router::entry_snapshot))),
            ENTRY_CHANGES_PATH => respond_with_entry_changes(&host, query).await,
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    };
    serve_responses(host, listener, is_host, respond).await;
}

fn encoded(bytes: Result<Vec<u8>, WireError>) -> HttpResponse {
    match bytes {
        Ok(bytes) => bytes_response(bytes),
        Err(error) => {
            log::error!(error:%; "encoding a snapshot failed; responding with status 500");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Returns a number from a query.
fn number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
    let value = pairs.find_map(|(key, value)| (key == name).then_some(value))?;
    value.parse().ok()
}

/// Returns the time for which a response is to be held, if the query states one.
fn hold_time(query: &str) -> Option<Duration> {
    let wait = number(query, WAIT_MS).map(Duration::from_millis);
    wait.map(|wait| wait.min(MAX_HOLD))
}

/// Responds with the configuration in use, without the object if the requesting host has it. A
/// request that waits is answered when the version or its proof is newer than at its arrival.
async fn respond_with_configuration(host: &Host, query: &str) -> HttpResponse {
    let known = number(query, KNOWN).unwrap_or_default();
    let arrived_at = boot_time();
    if let Some(wait) = hold_time(query) {
        if !host.read(|router| router.is_store_watcher(now())) {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        let proved_at = host.read(Router::proved_at);
        let is_new = |router: &Router| router.version() > known || router.proved_at() > proved_at;
        host.watches.wait_until(wait, || host.read(is_new)).await;
    }
    let held = boot_time().saturating_sub(arrived_at);
    let mut response = encoded(encode_configuration(&configuration(host, known)));
    let held = HeaderValue::from(u64::try_from(held.as_millis()).unwrap_or_default());
    response.headers_mut().insert(HELD_MS, held);
    response
}

fn configuration(host: &Host, known: u64) -> ConfigurationSnapshot {
    let (version, proof_age) =
        host.read(|router| (router.version(), router.proof_age(boot_time())));
    let object = host.configuration().filter(|_| version > known);
    ConfigurationSnapshot {
        version,
        proof_age,
        object: object.map(|object| Object::clone(&object)),
    }
}

/// Responds with the entries that changed after the stated point, or with all of them if the query
/// states none or this host no longer remembers all changes since.
async fn respond_with_entry_changes(host: &Host, query: &str) -> HttpResponse {
    let since = number(query, ERA)
        .zip(number(query, REVISION))
        .map(|(era, revision)| StorePoint::new(era, revision));
    if let Some(since) = since
        && let Some(wait) = hold_time(query)
    {
        let has_changes = || {
            let point = host.watches.entries_point();
            let is_ahead = point.is_none_or(|point| point > since);
            is_ahead && host.read(|router| router.has_entry_changes_since(since))
        };
        host.watches.wait_until(wait, has_changes).await;
    }
    let Some(point) = host.watches.entries_point() else {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    };
    let changes = since.and_then(|since| host.read(|router| router.entry_changes_since(since)));
    let is_whole = changes.is_none();
    let changes = changes.unwrap_or_else(|| host.read(Router::entry_snapshot));
    encoded(encode_entry_changes(&EntryChanges {
        point,
        is_whole,
        changes,
    }))
}

/// A host's response to a configuration request.
#[derive(Debug)]
pub struct PeerConfiguration {
    /// Version of the peer's configuration.
    pub version: u64,
    /// Time at which that version was known to be the newest, on this host's clock.
    pub proved_at: Option<BootTime>,
    /// The store's object, if it is newer than this host's version.
    pub object: Option<Object>,
}

/// Requests the newest configuration from peers. Returns `None` if no peer responded.
pub async fn fetch_configuration(host: &Host) -> Option<PeerConfiguration> {
    let (holders, known) =
        host.read(|router| (router.configuration_holders(now()), router.version()));
    let path = format!("{CONFIGURATION_PATH}?{KNOWN}={known}");
    request_configuration(&holders, &path, MAX_PEERS_TRIED, RESPONSE_TIMEOUT).await
}

/// Waits until a host that watches the store has a newer configuration or proof, for up to `wait`.
/// Returns `None` if no such host responded.
pub async fn watch_configuration(host: &Host, wait: Duration) -> Option<PeerConfiguration> {
    let (watchers, known) = host.read(|router| (router.probable_watchers(), router.version()));
    let wait_ms = wait.as_millis();
    let path = format!("{CONFIGURATION_PATH}?{KNOWN}={known}&{WAIT_MS}={wait_ms}");
    let limit = wait + RESPONSE_TIMEOUT;
    request_configuration(&watchers, &path, MAX_WATCHERS_TRIED, limit).await
}

/// Requests a configuration from one of several hosts.
///
/// The age of the proof is counted from the time of the request, and the time for which the
/// response was held. This makes the proof older than it is by the time of the exchange, and needs
/// no mapping between the hosts' clocks, which a host that has just started lacks.
async fn request_configuration(
    holders: &[SocketAddr],
    path: &str,
    max_tried: usize,
    limit: Duration,
) -> Option<PeerConfiguration> {
    let requested_at = boot_time();
    let response = request_from_any(holders, path, max_tried, limit).await?;
    let snapshot = decode_configuration(&response.body)
        .inspect_err(
            |error| log::warn!(error:%; "invalid configuration snapshot from a peer; ignored"),
        )
        .ok()?;
    let held = response.headers.get(HELD_MS);
    let held = held.and_then(|it| it.to_str().ok()?.parse().ok());
    // A peer can't have held the request for longer than this host has waited.
    let held = Duration::from_millis(held.unwrap_or_default());
    let held = held.min(boot_time().saturating_sub(requested_at));
    let proved_at = snapshot
        .proof_age
        .and_then(|age| (requested_at + held).checked_sub(age));
    Some(PeerConfiguration {
        version: snapshot.version,
        proved_at,
        object: snapshot.object,
    })
}

/// Requests all entries from peers. Returns `None` if no peer responded.
pub async fn fetch_entries(host: &Host) -> Option<Vec<EntryChange>> {
    let holders = host.read(|router| router.entry_holders(now()));
    let response =
        request_from_any(&holders, ENTRIES_PATH, MAX_PEERS_TRIED, RESPONSE_TIMEOUT).await?;
    let entries = decode_entries(&response.body);
    entries
        .inspect_err(
            |error| log::warn!(error:%; "invalid snapshot of entries from a peer; ignored"),
        )
        .ok()
}

/// Waits until a host that watches the store knows changes of entries after a point, for up to
/// `wait`; without a point, requests all entries. Returns `None` if no such host responded.
pub async fn watch_entries(
    host: &Host,
    since: Option<StorePoint>,
    wait: Duration,
) -> Option<EntryChanges> {
    let watchers = host.read(Router::probable_watchers);
    let query = since.map(|it| {
        let (era, revision, wait_ms) = (it.era, it.revision, wait.as_millis());
        format!("?{ERA}={era}&{REVISION}={revision}&{WAIT_MS}={wait_ms}")
    });
    let path = format!("{ENTRY_CHANGES_PATH}{}", query.unwrap_or_default());
    let limit = wait + RESPONSE_TIMEOUT;
    let response = request_from_any(&watchers, &path, MAX_WATCHERS_TRIED, limit).await?;
    let changes = decode_entry_changes(&response.body);
    changes
        .inspect_err(|error| log::warn!(error:%; "invalid changes of entries from a peer; ignored"))
        .ok()
}

/// Requests a path from up to `max_tried` random hosts, until one responds within the limit.
async fn request_from_any(
    holders: &[SocketAddr],
    path: &str,
    max_tried: usize,
    limit: Duration,
) -> Option<BufferedResponse> {
    let chosen: Vec<_> = holders.sample(&mut rand::rng(), max_tried).collect();
    for address in chosen {
        let response = timeout(limit, request(*address, path)).await;
        if let Ok(Some(response)) = response {
            return Some(response);
        }
        log::info!(peer:% = address, path; "no snapshot from a peer; trying another source");
    }
    None
}

async fn request(address: SocketAddr, path: &str) -> Option<BufferedResponse> {
    let mut connection = connect(&address.to_string(), DEFAULT_TIMEOUTS).await.ok()?;
    let mut req = Request::new(Full::new(Bytes::new()));
    *req.method_mut() = Method::GET;
    *req.uri_mut() = path.parse().ok()?;
    let response = read_response(connection.call(req).await.ok()?).await?;
    response.status.is_success().then_some(response)
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
