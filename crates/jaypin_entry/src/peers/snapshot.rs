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
use jaypin_router::EntryChange;
use rand::seq::IndexedRandom;
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout};

use super::wire::{decode_entries, decode_object, encode_entries, encode_object};
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
/// Path of the entries.
const ENTRIES: &str = "/entries";

/// Answers peers until the task is dropped.
///
/// A configuration holds credentials, so only addresses of hosts that the store lists get
/// an answer.
pub async fn serve_snapshots(host: Rc<Host>, listener: TcpListener) {
    let is_host = |host: &Host, from: SocketAddr| host.look(|router| router.is_host(from.ip()));
    serve_answers(host, listener, is_host, answer).await;
}

fn answer(host: &Host, req: &Request<Incoming>) -> AnswerResponse {
    let encoded = match req.uri().path() {
        CONFIGURATION => host.configuration().map(|object| encode_object(&object)),
        ENTRIES => Some(encode_entries(
            &host.look(jaypin_router::Router::entry_snapshot),
        )),
        _ => None,
    };
    match encoded {
        Some(Ok(bytes)) => bytes_answer(bytes),
        Some(Err(error)) => {
            log::error!(error:%; "a snapshot can't be encoded");
            empty_answer(StatusCode::INTERNAL_SERVER_ERROR)
        }
        None => empty_answer(StatusCode::NOT_FOUND),
    }
}

/// Asks peers for the newest configuration; gives nothing where none gave one.
pub async fn ask_configuration(host: &Host) -> Option<Object> {
    let holders = host.look(|router| router.configuration_holders(now()));
    let bytes = ask_some(&holders, CONFIGURATION).await?;
    let object = decode_object(&bytes);
    object
        .inspect_err(|error| log::warn!(error:%; "a peer's configuration makes no sense"))
        .ok()
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
