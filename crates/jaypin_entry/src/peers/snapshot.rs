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
use hyper::{Method, Request, StatusCode};
use jaypin_router::{BootTime, EntryChange, Router};
use rand::seq::IndexedRandom;
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout};

use super::wire::{
    ConfigurationSnapshot, decode_configuration, decode_entries, encode_configuration,
    encode_entries,
};
use crate::boot_clock::boot_time;
use crate::callers::{HttpResponse, bytes_response, empty_response, serve_responses};
use crate::calls::{DEFAULT_TIMEOUTS, connect, read_response};
use crate::host::Host;
use crate::ports::Object;

/// Timeout of a request to a peer.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of peers that are tried before the store is read.
const MAX_PEERS_TRIED: usize = 2;
/// Path of the configuration snapshot.
const CONFIGURATION_PATH: &str = "/configuration";
/// Prefix of the query of [`CONFIGURATION_PATH`]; the requesting host's version follows.
const KNOWN_VERSION_PREFIX: &str = "known=";
/// Path of the snapshot of entries.
const ENTRIES_PATH: &str = "/entries";

/// Serves snapshots to peers until the task is dropped.
///
/// A configuration contains credentials, so only connections from the addresses of registered
/// hosts are served.
pub async fn serve_snapshots(host: Rc<Host>, listener: TcpListener) {
    let is_host =
        |host: &Host, from: SocketAddr| host.read(|router| router.is_registered_host(from.ip()));
    serve_responses(host, listener, is_host, respond).await;
}

fn respond(host: &Host, req: &Request<Incoming>) -> HttpResponse {
    let encoded = match req.uri().path() {
        CONFIGURATION_PATH => encode_configuration(&configuration(host, known_version(req))),
        ENTRIES_PATH => encode_entries(&host.read(Router::entry_snapshot)),
        _ => return empty_response(StatusCode::NOT_FOUND),
    };
    match encoded {
        Ok(bytes) => bytes_response(bytes),
        Err(error) => {
            log::error!(error:%; "encoding a snapshot failed; responding with status 500");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Returns the configuration version that the requesting host has, or 0.
fn known_version(req: &Request<Incoming>) -> u64 {
    let query = req.uri().query().unwrap_or_default();
    let known = query
        .strip_prefix(KNOWN_VERSION_PREFIX)
        .and_then(|it| it.parse().ok());
    known.unwrap_or_default()
}

/// Returns the configuration in use, without the object if the requesting host has it.
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

/// A peer's response to a configuration request.
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
///
/// The age of the proof is counted from the time of the request, which makes the proof older
/// than it is by the time of the exchange. This needs no mapping between the hosts' clocks,
/// which a host that has just started lacks.
pub async fn fetch_configuration(host: &Host) -> Option<PeerConfiguration> {
    let (holders, known) =
        host.read(|router| (router.configuration_holders(now()), router.version()));
    let requested_at = boot_time();
    let bytes = request_from_any(
        &holders,
        &format!("{CONFIGURATION_PATH}?{KNOWN_VERSION_PREFIX}{known}"),
    )
    .await?;
    let snapshot = decode_configuration(&bytes)
        .inspect_err(
            |error| log::warn!(error:%; "invalid configuration snapshot from a peer; ignored"),
        )
        .ok()?;
    let proved_at = snapshot
        .proof_age
        .and_then(|age| requested_at.checked_sub(age));
    Some(PeerConfiguration {
        version: snapshot.version,
        proved_at,
        object: snapshot.object,
    })
}

/// Requests all entries from peers. Returns `None` if no peer responded.
pub async fn fetch_entries(host: &Host) -> Option<Vec<EntryChange>> {
    let holders = host.read(|router| router.entry_holders(now()));
    let bytes = request_from_any(&holders, ENTRIES_PATH).await?;
    let entries = decode_entries(&bytes);
    entries
        .inspect_err(
            |error| log::warn!(error:%; "invalid snapshot of entries from a peer; ignored"),
        )
        .ok()
}

/// Requests a path from up to [`MAX_PEERS_TRIED`] random peers, until one responds.
async fn request_from_any(holders: &[SocketAddr], path: &str) -> Option<Bytes> {
    let chosen: Vec<_> = holders.sample(&mut rand::rng(), MAX_PEERS_TRIED).collect();
    for address in chosen {
        let response = timeout(RESPONSE_TIMEOUT, request(*address, path)).await;
        if let Ok(Some(bytes)) = response {
            return Some(bytes);
        }
        log::info!(peer:% = address, path; "no snapshot from a peer; trying another source");
    }
    None
}

async fn request(address: SocketAddr, path: &str) -> Option<Bytes> {
    let mut connection = connect(&address.to_string(), DEFAULT_TIMEOUTS).await.ok()?;
    let mut req = Request::new(Full::new(Bytes::new()));
    *req.method_mut() = Method::GET;
    *req.uri_mut() = path.parse().ok()?;
    let response = read_response(connection.call(req).await.ok()?).await?;
    response.status.is_success().then_some(response.body)
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
