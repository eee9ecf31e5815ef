//! Server for readiness checks, lists of callers' addresses, and metrics.

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
use crate::admission::{MeteredStream, ServingBody};
use crate::boot_clock::boot_time;
use crate::host::Host;
use crate::metrics;

/// Lifetime of an address list. Callers learn of a new or draining host within that time and
/// send one query in it: a hundred callers cost each of thirteen hosts three responses a
/// second.
const ADDRESS_LIST_TTL: Duration = Duration::from_secs(2);
/// Most addresses in one list; callers use no more.
const MAX_ADDRESSES: usize = 64;
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Timeout of a request header, and of the idle time between two requests.
const HEADER_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest header of a query, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Serves readiness checks, address lists and metrics until the task is dropped.
pub async fn serve_queries(host: Rc<Host>, listener: TcpListener) {
    let respond = |host: Rc<Host>, req| async move { respond(&host, &req) };
    serve_responses(host, listener, |_, _| true, respond).await;
}

/// Serves responses that this host generates until the task is dropped. Connections from
/// addresses that `is_admitted` rejects are closed.
pub async fn serve_responses<F>(
    host: Rc<Host>,
    listener: TcpListener,
    is_admitted: fn(&Host, SocketAddr) -> bool,
    respond: impl Fn(Rc<Host>, Request<Incoming>) -> F + Copy + 'static,
) where
    F: Future<Output = HttpResponse> + 'static,
{
    loop {
        let slot = host.admission.queries.room().await;
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(error:%; "accepting a connection for a query failed; retrying after a pause");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if !is_admitted(&host, from) {
            log::warn!(from:%; "connection from an address of no registered host rejected");
            continue;
        }
        let host = host.clone();
        let admitted = Rc::new(slot.admit());
        let served = admitted.clone();
        let service = service_fn(move |req| {
            let served = served.clone();
            served.begin_service();
            let response = respond(host.clone(), req);
            async move { Ok::<_, Infallible>(response.await.map(|it| ServingBody::new(it, served))) }
        });
        let stream = MeteredStream::new(stream, admitted.clone());
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(MAX_HEADER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        spawn_local(async move {
            let ended = tokio::select! {
                ended = connection => ended,
                () = admitted.state().evicted() => return,
            };
            if let Err(error) = ended {
                log::debug!(error:%; "a query connection ended with an error");
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
    let entries_age = host.read(|router| router.entries_age(boot_time()));
    match metrics::render(counts, entries_age, &host.admission, is_ready) {
        Some(text) => Response::new(full_body(text)),
        None => empty_response(StatusCode::NOT_FOUND),
    }
}

/// Returns the address list in random order. A host that knows no ready host responds with
/// 503, and callers query another one.
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
