//! Snapshots that this host serves to others: the configuration, and the entries of backend servers.
//!
//! They are sent over connections, since both are larger than a datagram and must be complete.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, StatusCode};
use jaypin_router::{Router, StorePoint};
use tokio::net::TcpListener;
use tokio::time::Instant;

use super::wire::{
    ConfigurationSnapshot, EntriesProof, EntryChanges, WireError, encode_configuration,
    encode_entries, encode_entry_changes,
};
use crate::boot_clock::boot_time;
use crate::callers::{HttpResponse, bytes_response, empty_response, serve_responses};
use crate::host::Host;
use crate::ports::Object;

/// Path of the configuration snapshot.
pub(super) const CONFIGURATION_PATH: &str = "/configuration";
/// Path of the snapshot of entries.
pub(super) const ENTRIES_PATH: &str = "/entries";
/// Path of the changes of entries.
pub(super) const ENTRY_CHANGES_PATH: &str = "/entry-changes";
/// Query parameter of [`CONFIGURATION_PATH`]: the requesting host's version.
pub(super) const KNOWN: &str = "known";
/// Query parameter: the time, in milliseconds, for which the response is held until there is
/// something new. Only hosts that watch the store respond to requests with it.
pub(super) const WAIT_MS: &str = "wait_ms";
/// Query parameters of [`ENTRY_CHANGES_PATH`]: the point after which changes are requested.
pub(super) const ERA: &str = "era";
pub(super) const REVISION: &str = "revision";
/// Response header: the time, in milliseconds, for which the response was held.
pub(super) const HELD_MS: &str = "held-ms";
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
    let entries = host.read(|router| {
        let age = router.entries_age(boot_time())?;
        let digest = router.entries_digest();
        Some(EntriesProof { digest, age })
    });
    ConfigurationSnapshot {
        version,
        proof_age,
        object: object.map(|object| Object::clone(&object)),
        entries,
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

/// Returns the current time.
pub(super) fn now() -> std::time::Instant {
    Instant::now().into_std()
}
