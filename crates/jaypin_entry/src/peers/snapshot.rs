//! What hosts ask each other for: the configuration, and all entries of backend servers.
//!
//! Over connections, since both are larger than a datagram and must be whole.

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
    ConfigurationSnapshot, decode_configuration, decode_entries, encode_configuration, encode_entries,
};
use crate::boot_clock::boot_time;
use crate::callers::{HttpResponse, bytes_response, empty_response, serve_responses};
use crate::calls::{DEFAULT_TIMEOUTS, connect, read_response};
use crate::host::Host;
use crate::ports::Object;

/// Time for an answer; the store is asked instead after it.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// Peers that are asked before the store is.
const MAX_PEERS_ASKED: usize = 2;
/// Path of the configuration.
const CONFIGURATION_PATH: &str = "/configuration";
/// What its query begins with: the version that the asking host has follows.
const KNOWN_VERSION_PREFIX: &str = "known=";
/// Path of the entries.
const ENTRIES_PATH: &str = "/entries";

/// Answers peers until the task is dropped.
///
/// A configuration holds credentials, so only addresses of hosts that the store lists get
/// an answer.
pub async fn serve_snapshots(host: Rc<Host>, listener: TcpListener) {
    let is_host = |host: &Host, from: SocketAddr| host.read(|router| router.is_registered_host(from.ip()));
    serve_responses(host, listener, is_host, respond).await;
}

fn respond(host: &Host, req: &Request<Incoming>) -> HttpResponse {
    let encoded = match req.uri().path() {
        CONFIGURATION_PATH => encode_configuration(&configuration(host, known(req))),
        ENTRIES_PATH => encode_entries(&host.read(Router::entry_snapshot)),
        _ => return empty_response(StatusCode::NOT_FOUND),
    };
    match encoded {
        Ok(bytes) => bytes_response(bytes),
        Err(error) => {
            log::error!(error:%; "a snapshot can't be encoded");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// The version that an asking host has.
fn known(req: &Request<Incoming>) -> u64 {
    let query = req.uri().query().unwrap_or_default();
    let known = query.strip_prefix(KNOWN_VERSION_PREFIX).and_then(|it| it.parse().ok());
    known.unwrap_or_default()
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

/// A configuration that a peer gave, or its word that this host has the newest.
#[derive(Debug)]
pub struct PeerConfiguration {
    /// The version.
    pub version: u64,
    /// When it was the newest for sure, on this host's clock.
    pub proved_at: Option<BootTime>,
    /// The store's object, if it is newer than what this host has.
    pub object: Option<Object>,
}

/// Asks peers for the newest configuration; gives nothing where none gave one.
///
/// A proof is taken as older than it is by the time that the question was under way, so it
/// needs no map between clocks: a host that has just started has none.
pub async fn fetch_configuration(host: &Host) -> Option<PeerConfiguration> {
    let (holders, known) =
        host.read(|router| (router.configuration_holders(now()), router.version()));
    let requested_at = boot_time();
    let bytes = request_from_any(&holders, &format!("{CONFIGURATION_PATH}?{KNOWN_VERSION_PREFIX}{known}"),).await?;
    let snapshot = decode_configuration(&bytes)
        .inspect_err(|error| log::warn!(error:%; "a peer's configuration makes no sense"))
        .ok()?;
    let proved_at = snapshot.proof_age.and_then(|age| requested_at.checked_sub(age));
    Some(PeerConfiguration {
        version: snapshot.version,
        proved_at,
        object: snapshot.object,
    })
}

/// Asks peers for all entries; gives nothing where none gave them.
pub async fn fetch_entries(host: &Host) -> Option<Vec<EntryChange>> {
    let holders = host.read(|router| router.entry_holders(now()));
    let bytes = request_from_any(&holders, ENTRIES_PATH).await?;
    let entries = decode_entries(&bytes);
    entries
        .inspect_err(|error| log::warn!(error:%; "a peer's entries make no sense"))
        .ok()
}

async fn request_from_any(holders: &[SocketAddr], path: &str) -> Option<Bytes> {
    let chosen: Vec<_> = holders.sample(&mut rand::rng(), MAX_PEERS_ASKED).collect();
    for address in chosen {
        let response = timeout(RESPONSE_TIMEOUT, request(*address, path)).await;
        if let Ok(Some(bytes)) = response {
            return Some(bytes);
        }
        log::info!(peer:% = address, path; "a peer gave no snapshot");
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
