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
    HandedConfiguration, decode_configuration, decode_entries, encode_configuration, encode_entries,
};
use crate::boot_clock::boot_time;
use crate::callers::{AnswerResponse, bytes_answer, empty_answer, serve_answers};
use crate::calls::{DEFAULT_LIMITS, connect, read_whole};
use crate::host::Host;
use crate::ports::Object;

/// Time for an answer; the store is asked instead after it.
const ANSWER_TIME: Duration = Duration::from_millis(600);
/// Peers that are asked before the store is.
const MOST_ASKED: usize = 2;
/// Path of the configuration.
const CONFIGURATION: &str = "/configuration";
/// What its query begins with: the version that the asking host has follows.
const KNOWN: &str = "known=";
/// Path of the entries.
const ENTRIES: &str = "/entries";

/// Answers peers until the task is dropped.
///
/// A configuration holds credentials, so only addresses of hosts that the store lists get
/// an answer.
pub async fn serve_snapshots(host: Rc<Host>, listener: TcpListener) {
    let is_host =
        |host: &Host, from: SocketAddr| host.look(|router| router.is_registered_host(from.ip()));
    serve_answers(host, listener, is_host, answer).await;
}

fn answer(host: &Host, req: &Request<Incoming>) -> AnswerResponse {
    let encoded = match req.uri().path() {
        CONFIGURATION => encode_configuration(&configuration(host, known(req))),
        ENTRIES => encode_entries(&host.look(Router::entry_snapshot)),
        _ => return empty_answer(StatusCode::NOT_FOUND),
    };
    match encoded {
        Ok(bytes) => bytes_answer(bytes),
        Err(error) => {
            log::error!(error:%; "a snapshot can't be encoded");
            empty_answer(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// The version that an asking host has.
fn known(req: &Request<Incoming>) -> u64 {
    let query = req.uri().query().unwrap_or_default();
    let known = query.strip_prefix(KNOWN).and_then(|it| it.parse().ok());
    known.unwrap_or_default()
}

fn configuration(host: &Host, known: u64) -> HandedConfiguration {
    let (version, proof_age) =
        host.look(|router| (router.version(), router.proof_age(boot_time())));
    let object = host.configuration().filter(|_| version > known);
    HandedConfiguration {
        version,
        proof_age,
        object: object.map(|object| Object::clone(&object)),
    }
}

/// A configuration that a peer gave, or its word that this host has the newest.
#[derive(Debug)]
pub struct PeerWord {
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
pub async fn ask_configuration(host: &Host) -> Option<PeerWord> {
    let (holders, known) =
        host.look(|router| (router.configuration_holders(now()), router.version()));
    let asked_at = boot_time();
    let bytes = ask_some(&holders, &format!("{CONFIGURATION}?{KNOWN}{known}")).await?;
    let handed = decode_configuration(&bytes)
        .inspect_err(|error| log::warn!(error:%; "a peer's configuration makes no sense"))
        .ok()?;
    let proved_at = handed.proof_age.and_then(|age| asked_at.checked_sub(age));
    Some(PeerWord {
        version: handed.version,
        proved_at,
        object: handed.object,
    })
}

/// Asks peers for all entries; gives nothing where none gave them.
pub async fn ask_entries(host: &Host) -> Option<Vec<EntryChange>> {
    let holders = host.look(|router| router.entry_holders(now()));
    let bytes = ask_some(&holders, ENTRIES).await?;
    let entries = decode_entries(&bytes);
    entries
        .inspect_err(|error| log::warn!(error:%; "a peer's entries make no sense"))
        .ok()
}

async fn ask_some(holders: &[SocketAddr], path: &str) -> Option<Bytes> {
    let chosen: Vec<_> = holders.sample(&mut rand::rng(), MOST_ASKED).collect();
    for address in chosen {
        let asked = timeout(ANSWER_TIME, ask(*address, path)).await;
        if let Ok(Some(bytes)) = asked {
            return Some(bytes);
        }
        log::info!(peer:% = address, path; "a peer gave no snapshot");
    }
    None
}

async fn ask(address: SocketAddr, path: &str) -> Option<Bytes> {
    let mut connection = connect(&address.to_string(), DEFAULT_LIMITS).await.ok()?;
    let mut req = Request::new(Full::new(Bytes::new()));
    *req.method_mut() = Method::GET;
    *req.uri_mut() = path.parse().ok()?;
    let answer = read_whole(connection.call(req).await.ok()?).await?;
    answer.status.is_success().then_some(answer.body)
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
