//! Small questions: which addresses to use, and whether the host is ready.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::seq::SliceRandom;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::response::{HttpResponse, empty_response, full_body};
use crate::boot_clock::boot_time;
use crate::host::Host;
use crate::metrics;

/// How long an entry answer holds. Callers hear of a new or leaving host within that time,
/// and ask once in it: a hundred callers cost each of thirteen hosts three answers a second.
const ADDRESS_LIST_TTL: Duration = Duration::from_secs(2);
/// Addresses in one answer; callers take no more of them.
const MAX_ADDRESSES: usize = 64;
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Time for a header, and between two questions on one connection.
const HEADER_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Answers questions until the task is dropped.
pub async fn serve_queries(host: Rc<Host>, listener: TcpListener) {
    serve_responses(host, listener, |_, _| true, respond).await;
}

/// Serves answers that are at hand, to whom they may go, until the task is dropped.
pub async fn serve_responses(
    host: Rc<Host>,
    listener: TcpListener,
    is_admitted: fn(&Host, SocketAddr) -> bool,
    respond: fn(&Host, &Request<Incoming>) -> HttpResponse,
) {
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(error:%; "can't accept a question");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if !is_admitted(&host, from) {
            log::warn!(from:%; "a stranger was turned away");
            continue;
        }
        let host = host.clone();
        let service = service_fn(move |req| {
            let response = respond(&host, &req);
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(error:%; "a question broke off");
            }
        });
    }
}

fn respond(host: &Host, req: &Request<Incoming>) -> HttpResponse {
    if host.platform.is_readiness_check(req.method(), req.uri()) {
        let is_ready = host.read(|router| router.is_ready(boot_time()));
        return empty_response(if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        });
    }
    if host.platform.is_address_query(req.method(), req.uri()) {
        let now = Instant::now().into_std();
        let addresses = host.read(|router| router.caller_addresses(now, boot_time()));
        return address_list(host, addresses);
    }
    if req.uri().path() == METRICS_PATH {
        return metrics_response(host);
    }
    empty_response(StatusCode::NOT_FOUND)
}

fn metrics_response(host: &Host) -> HttpResponse {
    let now = Instant::now().into_std();
    let counts = host.read(|router| router.counts(now));
    let is_ready = host.read(|router| router.is_ready(boot_time()));
    match metrics::render(counts, is_ready) {
        Some(text) => Response::new(full_body(text)),
        None => empty_response(StatusCode::NOT_FOUND),
    }
}

/// A host that knows of none that is ready answers 503, and callers ask another one.
fn address_list(host: &Host, mut addresses: Vec<SocketAddr>) -> HttpResponse {
    if addresses.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    addresses.shuffle(&mut rand::rng());
    addresses.truncate(MAX_ADDRESSES);
    let valid_for = ADDRESS_LIST_TTL.min(host.settings.max_address_list_ttl);
    let body = host.platform.address_list_body(&addresses, valid_for);
    let mut response = Response::new(full_body(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
