//! Snapshots that this host requests from others: the configuration, and the entries of backend
//! servers.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, Request};
use jaypin_router::{BootTime, EntryChange, Router, StorePoint};
use rand::seq::IndexedRandom;
use tokio::time::timeout;

use super::snapshot::{
    CONFIGURATION_PATH, ENTRIES_PATH, ENTRY_CHANGES_PATH, ERA, HELD_MS, KNOWN, REVISION, WAIT_MS,
    now,
};
use super::wire::{EntryChanges, decode_configuration, decode_entries, decode_entry_changes};
use crate::admission::HeldBody;
use crate::boot_clock::boot_time;
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

/// A host's response to a configuration request.
#[derive(Debug)]
pub struct PeerConfiguration {
    /// Version of the peer's configuration.
    pub version: u64,
    /// Time at which that version was known to be the newest, on this host's clock.
    pub proved_at: Option<BootTime>,
    /// The store's object, if it is newer than this host's version.
    pub object: Option<Object>,
    /// Digest of the peer's entries, and the time at which they were known to be all, on this host's
    /// clock.
    pub entries: Option<(u64, BootTime)>,
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
    let proved_at = |age: Duration| (requested_at + held).checked_sub(age);
    let entries = snapshot.entries;
    let entries = entries.and_then(|it| Some((it.digest, proved_at(it.age)?)));
    Some(PeerConfiguration {
        version: snapshot.version,
        proved_at: snapshot.proof_age.and_then(proved_at),
        object: snapshot.object,
        entries,
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
    let mut req = Request::new(HeldBody::default());
    *req.method_mut() = Method::GET;
    *req.uri_mut() = path.parse().ok()?;
    let response = read_response(connection.call(req).await.ok()?).await?;
    response.status.is_success().then_some(response)
}
