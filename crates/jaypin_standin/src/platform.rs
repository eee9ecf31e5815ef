//! A test double of the platform's object store: versioned values, conditional writes and
//! watches. It counts the calls that it receives.
//!
//! - `GET /objects/KEY` returns the value, with its version in the header `x-version`.
//! - `GET /objects/KEY?after=V&wait_ms=W` waits up to W milliseconds until the version is greater
//!   than V, then returns the value.
//! - `PUT /objects/KEY?if_version=V` writes the value if the version is V; otherwise it returns
//!   status 409 with the current version.
//! - `GET /calls` returns the counts of calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::http::{Body, bind, json, query, query_number, serve};

/// Largest size of a value in bytes, as the real platform guarantees it.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// A fault that the platform simulates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// The platform works normally.
    #[default]
    None,
    /// Every call fails with status 503.
    Unavailable,
    /// Every call is delayed by this duration.
    Slow(Duration),
    /// Writes take effect, but their response is replaced by status 504.
    LoseWriteResponses,
    /// Reads and watches return the version before the current one, if there is one.
    StaleReads,
}

/// Numbers of calls received since the platform started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCalls {
    /// Number of reads.
    pub reads: u64,
    /// Number of writes.
    pub writes: u64,
    /// Number of watches; each request with `wait_ms` counts as one.
    pub watches: u64,
}

/// A running platform server; dropping it stops the server.
#[derive(Debug)]
pub struct Platform {
    /// Address on which the server listens.
    pub address: SocketAddr,
    state: Arc<State>,
    server: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct State {
    inner: Mutex<Inner>,
    /// Number of writes so far; waiting watches are notified when it changes.
    write_count: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Up to the last two versions of each object, oldest first.
    objects: BTreeMap<String, Vec<(u64, Bytes)>>,
    calls: PlatformCalls,
    fault: Fault,
}

impl Platform {
    /// Starts a platform server on `address`.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn start(address: &str) -> std::io::Result<Self> {
        let (listener, address) = bind(address).await?;
        let state = Arc::new(State::default());
        let shared = state.clone();
        let server = serve(listener, move |req| handle(shared.clone(), req));
        Ok(Self {
            address,
            state,
            server,
        })
    }

    /// Sets the fault that applies to all later calls.
    pub fn set_fault(&self, fault: Fault) {
        self.state.lock().fault = fault;
    }

    /// Returns the numbers of calls received so far.
    #[must_use]
    pub fn calls(&self) -> PlatformCalls {
        self.state.lock().calls
    }

    /// Writes an object directly, without counting a call, and returns its new version.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) -> u64 {
        self.state.store(key, value.into())
    }

    /// Reads the version and value of an object directly, without counting a call.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<(u64, Bytes)> {
        self.state.lock().objects.get(key)?.last().cloned()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn store(&self, key: &str, value: Bytes) -> u64 {
        let version = {
            let mut inner = self.lock();
            let history = inner.objects.entry(key.to_owned()).or_default();
            let version = history.last().map_or(0, |(version, _)| *version) + 1;
            history.push((version, value));
            if history.len() > 2 {
                history.remove(0);
            }
            version
        };
        self.write_count.send_modify(|count| *count += 1);
        version
    }

    fn version(&self, key: &str) -> u64 {
        let inner = self.lock();
        inner
            .objects
            .get(key)
            .and_then(|history| history.last())
            .map_or(0, |(version, _)| *version)
    }
}

async fn handle(state: Arc<State>, req: Request<Incoming>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    if path == "/calls" {
        return json(StatusCode::OK, &state.lock().calls);
    }
    let Some(key) = path.strip_prefix("/objects/") else {
        return json(StatusCode::NOT_FOUND, &"no such path");
    };
    let fault = state.lock().fault;
    count_call(&state, &req);
    match fault {
        Fault::Unavailable => return json(StatusCode::SERVICE_UNAVAILABLE, &"the platform is out"),
        Fault::Slow(delay) => tokio::time::sleep(delay).await,
        _ => {}
    }
    match *req.method() {
        Method::GET => get(&state, key, &req, fault).await,
        Method::PUT => put(&state, key, req, fault).await,
        _ => json(StatusCode::METHOD_NOT_ALLOWED, &"GET or PUT"),
    }
}

fn count_call(state: &State, req: &Request<Incoming>) {
    let calls = &mut state.lock().calls;
    if *req.method() == Method::PUT {
        calls.writes += 1;
    } else if query(req, "wait_ms").is_some() {
        calls.watches += 1;
    } else {
        calls.reads += 1;
    }
}

async fn get(state: &State, key: &str, req: &Request<Incoming>, fault: Fault) -> Response<Body> {
    let after = query_number(req, "after");
    let wait = Duration::from_millis(query_number(req, "wait_ms"));
    let mut writes = state.write_count.subscribe();
    let deadline = tokio::time::sleep(wait);
    tokio::pin!(deadline);
    while state.version(key) <= after && !wait.is_zero() {
        tokio::select! {
            _ = writes.changed() => {}
            () = &mut deadline => break,
        }
    }
    let inner = state.lock();
    let history = inner
        .objects
        .get(key)
        .map(Vec::as_slice)
        .unwrap_or_default();
    let offset_from_end = if fault == Fault::StaleReads { 2 } else { 1 };
    let Some((version, value)) = history.get(history.len().saturating_sub(offset_from_end)) else {
        return json(StatusCode::NOT_FOUND, &"no such object");
    };
    let body = Full::new(value.clone())
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut response = Response::new(body);
    response
        .headers_mut()
        .insert("x-version", (*version).into());
    response
}

async fn put(state: &State, key: &str, req: Request<Incoming>, fault: Fault) -> Response<Body> {
    let expected = query(&req, "if_version").and_then(|value| value.parse::<u64>().ok());
    let Ok(body) = req.into_body().collect().await else {
        return json(StatusCode::BAD_REQUEST, &"body cut");
    };
    let value = body.to_bytes();
    if value.len() > MAX_VALUE_BYTES {
        return json(
            StatusCode::PAYLOAD_TOO_LARGE,
            &"a value has up to a megabyte",
        );
    }
    let current = state.version(key);
    if expected.is_some_and(|expected| expected != current) {
        return json(
            StatusCode::CONFLICT,
            &serde_json::json!({ "version": current }),
        );
    }
    let version = state.store(key, value);
    if fault == Fault::LoseWriteResponses {
        return json(StatusCode::GATEWAY_TIMEOUT, &"answer lost");
    }
    json(StatusCode::OK, &serde_json::json!({ "version": version }))
}
