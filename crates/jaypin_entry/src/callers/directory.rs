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

use super::answer::{AnswerResponse, empty_answer, full};
use crate::boot_clock::boot_time;
use crate::host::Host;
use crate::metrics;

/// How long an entry answer holds. Callers hear of a new or leaving host within that time,
/// and ask once in it: a hundred callers cost each of thirteen hosts three answers a second.
const ENTRY_TIME: Duration = Duration::from_secs(2);
/// Addresses in one answer; callers take no more of them.
const MOST_ADDRESSES: usize = 64;
/// Path of the metrics.
const METRICS: &str = "/metrics";
/// Time for a header, and between two questions on one connection.
const HEADER_TIME: Duration = Duration::from_secs(20);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Answers questions until the task is dropped.
pub async fn serve_questions(host: Rc<Host>, listener: TcpListener) {
    serve_answers(host, listener, |_, _| true, answer).await;
}

/// Serves answers that are at hand, to whom they may go, until the task is dropped.
pub async fn serve_answers(
    host: Rc<Host>,
    listener: TcpListener,
    is_admitted: fn(&Host, SocketAddr) -> bool,
    answer: fn(&Host, &Request<Incoming>) -> AnswerResponse,
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
            let response = answer(&host, &req);
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIME)
            .serve_connection(TokioIo::new(stream), service);
        spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(error:%; "a question broke off");
            }
        });
    }
}

fn answer(host: &Host, req: &Request<Incoming>) -> AnswerResponse {
    if host.platform.is_readiness_check(req.method(), req.uri()) {
        let is_ready = host.look(|router| router.is_ready(boot_time()));
        return empty_answer(if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        });
    }
    if host.platform.is_address_query(req.method(), req.uri()) {
        let now = Instant::now().into_std();
        let addresses = host.look(|router| router.caller_addresses(now, boot_time()));
        return entry(host, addresses);
    }
    if req.uri().path() == METRICS {
        return metrics(host);
    }
    empty_answer(StatusCode::NOT_FOUND)
}

fn metrics(host: &Host) -> AnswerResponse {
    let now = Instant::now().into_std();
    let counts = host.look(|router| router.counts(now));
    let is_ready = host.look(|router| router.is_ready(boot_time()));
    match metrics::render(counts, is_ready) {
        Some(text) => Response::new(full(text)),
        None => empty_answer(StatusCode::NOT_FOUND),
    }
}

/// A host that knows of none that is ready answers 503, and callers ask another one.
fn entry(host: &Host, mut addresses: Vec<SocketAddr>) -> AnswerResponse {
    if addresses.is_empty() {
        return empty_answer(StatusCode::SERVICE_UNAVAILABLE);
    }
    addresses.shuffle(&mut rand::rng());
    addresses.truncate(MOST_ADDRESSES);
    let valid_for = ENTRY_TIME.min(host.settings.max_address_list_ttl);
    let body = host.platform.address_list_body(&addresses, valid_for);
    let mut response = Response::new(full(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
