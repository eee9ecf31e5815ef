//! A test double of a continuous-batching inference engine with a limited number of slots, prefill
//! time, a prefix cache and resumable streams.

mod call;
mod config;
mod stream;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::xxh3_64;

use call::Call;
pub use config::EngineConfig;
pub use stream::expected_answer;
use stream::{Stream, event_stream, whole_response};

use crate::http::{Body, bind, json, query_number, serve, unix_ms};
use crate::prefix_cache::PrefixCache;

/// Prompt text that crashes an engine if `EngineConfig::crash_downtime` is set.
const POISON: &str = "POISON";

/// One request that the engine accepted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Execution {
    /// Request ID from the header `x-request-id`, `unnamed` if there is none.
    pub id: String,
    /// Arrival time in milliseconds since the Unix epoch.
    #[serde(default)]
    pub began_ms: u64,
    /// Number of tokens prefilled, without those found in the cache.
    pub prefilled: u64,
    /// Number of prompt tokens found in the cache.
    pub cached: u64,
    /// Number of tokens prefilled although another engine of the service had them cached.
    #[serde(default)]
    pub recomputed: u64,
    /// Number of tokens generated so far.
    pub generated: u64,
    /// Whether the request was cancelled.
    pub cancelled: bool,
}

/// A running engine; dropping it stops the server.
#[derive(Debug)]
pub struct Engine {
    /// Address on which the engine listens.
    pub address: SocketAddr,
    state: Arc<State>,
    server: JoinHandle<()>,
}

#[derive(Debug)]
struct State {
    cfg: EngineConfig,
    slots: Semaphore,
    /// Locked by the request that is being prefilled; the engine prefills one request at a time.
    prefill: tokio::sync::Mutex<()>,
    inner: Mutex<Inner>,
    /// Notified to crash the engine.
    crash_requested: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    streams: HashMap<String, Arc<Stream>>,
    executions: Vec<Execution>,
    cache: PrefixCache,
    /// Loads at the times of recent load reports, oldest first.
    loads: VecDeque<(Option<Instant>, Load)>,
    running: u32,
    waiting: u32,
    /// Factor by which prefill and token generation are slowed down.
    slowdown: f64,
    /// Highest fencing number received so far, as incarnation and sequence.
    highest_fencing_number: (u64, u64),
    leaving: bool,
}

#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Load {
    running: u32,
    waiting: u32,
    leaving: bool,
    age_ms: u64,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn start(cfg: EngineConfig) -> std::io::Result<Self> {
        let (listener, address) = bind(&cfg.address).await?;
        let inner = Inner {
            slowdown: 1.0,
            cache: PrefixCache::new(
                cfg.cache_blocks,
                cfg.service_blocks.clone(),
                cfg.cache_event_lag,
                cfg.cache_event_loss,
            ),
            ..Inner::default()
        };
        let state = Arc::new(State {
            slots: Semaphore::new(cfg.slots),
            prefill: tokio::sync::Mutex::new(()),
            inner: Mutex::new(inner),
            crash_requested: Notify::new(),
            cfg,
        });
        let server = tokio::spawn(serve_with_restarts(state.clone(), listener, address));
        Ok(Self {
            address,
            state,
            server,
        })
    }

    /// Returns all requests that the engine accepted, in order of arrival.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.state.lock().executions.clone()
    }

    /// Multiplies the prefill time and the gaps between tokens by `factor`; 1.0 is normal speed.
    pub fn slow_down(&self, factor: f64) {
        self.state.lock().slowdown = factor;
    }

    /// Sets `leaving` in the load reports from now on.
    pub fn announce_leaving(&self) {
        self.state.lock().leaving = true;
    }

    /// Crashes the engine: it closes all connections, loses its streams and its cache, and restarts
    /// without them after the configured downtime.
    pub fn crash(&self) {
        self.state.crash_requested.notify_one();
    }

    /// Stops the engine immediately and closes all connections.
    pub fn kill(&self) {
        self.server.abort();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// Serves requests. After a crash, waits for the configured downtime and then serves again at the
/// same address, without streams and with an empty cache.
async fn serve_with_restarts(
    state: Arc<State>,
    listener: tokio::net::TcpListener,
    address: SocketAddr,
) {
    let mut listener = Some(listener);
    loop {
        let Some(current) = listener.take() else {
            return;
        };
        let shared = state.clone();
        let server = AbortOnDrop(serve(current, move |req| handle(shared.clone(), req)));
        state.crash_requested.notified().await;
        drop(server);
        state.discard_streams_and_cache();
        sleep(state.cfg.crash_downtime.unwrap_or_default()).await;
        while listener.is_none() {
            listener = tokio::net::TcpListener::bind(address).await.ok();
            sleep(Duration::from_millis(10)).await;
        }
    }
}

struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn discard_streams_and_cache(&self) {
        let mut inner = self.lock();
        for stream in inner.streams.values() {
            stream.cancelled.notify_one();
        }
        inner.streams.clear();
        inner.cache.clear();
    }

    fn token_gap(&self) -> Duration {
        let inner = self.lock();
        let running = usize::try_from(inner.running).unwrap_or(usize::MAX);
        self.cfg.gap_with(running).mul_f64(inner.slowdown)
    }

    /// Returns the load as it was at the latest report that is at least `report_lag` old, or the
    /// oldest recorded load if no report is that old.
    fn load_report(&self) -> Load {
        let mut inner = self.lock();
        let now = Instant::now();
        let current = Load {
            running: inner.running,
            waiting: inner.waiting,
            leaving: inner.leaving,
            age_ms: 0,
        };
        inner.loads.push_back((Some(now), current));
        let lag = self.cfg.report_lag;
        let exceeds_lag = |entry: Option<&(Option<Instant>, Load)>| {
            entry
                .and_then(|(at, _)| *at)
                .is_some_and(|at| now.duration_since(at) >= lag)
        };
        while exceeds_lag(inner.loads.get(1)) {
            inner.loads.pop_front();
        }
        let (at, load) = inner.loads.front().copied().unwrap_or((None, current));
        let age = at.map_or(Duration::ZERO, |at| now.duration_since(at));
        Load {
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            ..load
        }
    }
}

async fn handle(state: Arc<State>, req: Request<Incoming>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    match (req.method().clone(), path.as_str()) {
        (Method::POST, "/v1/chat/completions" | "/v1/completions") => complete(state, req).await,
        (Method::GET, "/load") => json(StatusCode::OK, &state.load_report()),
        (Method::GET, "/cache-events") => {
            let since = query_number(&req, "since");
            json(StatusCode::OK, &state.lock().cache.events(since))
        }
        (Method::GET, "/executions") => json(StatusCode::OK, &state.lock().executions),
        (Method::GET, other) if other.starts_with("/v1/streams/") => resume(
            &state,
            &other["/v1/streams/".len()..],
            query_number(&req, "offset"),
        ),
        (Method::DELETE, other) if other.starts_with("/v1/streams/") => {
            cancel(&state, &other["/v1/streams/".len()..])
        }
        _ => json(StatusCode::NOT_FOUND, &"no such path"),
    }
}

async fn complete(state: Arc<State>, req: Request<Incoming>) -> Response<Body> {
    if state.cfg.checks_fencing && !has_current_incarnation(&state, &req) {
        return json(StatusCode::CONFLICT, &"old fencing number");
    }
    let id = header(&req, "x-request-id").unwrap_or("unnamed").to_owned();
    let Ok(body) = req.into_body().collect().await else {
        return json(StatusCode::BAD_REQUEST, &"body cut");
    };
    let Ok(call) = serde_json::from_slice::<Call>(&body.to_bytes()) else {
        return json(StatusCode::BAD_REQUEST, &"not a completion request");
    };
    let text = call.text();
    let stream = record_start(&state, &id, &call, &text);
    if state.cfg.crash_downtime.is_some() && text.contains(POISON) {
        state.crash_requested.notify_one();
        std::future::pending::<()>().await;
    }
    tokio::spawn(generate(state, stream.clone(), text));
    if call.stream {
        event_stream(stream, 0)
    } else {
        whole_response(stream, &call.model).await
    }
}

fn header<'a>(req: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

/// Records the fencing number of a request and returns whether its incarnation is current.
///
/// A fencing number is written as `incarnation.sequence`. An incarnation below the highest one
/// received means that a former shard scheduler granted the request. A request without a fencing
/// number passes.
fn has_current_incarnation(state: &State, req: &Request<Incoming>) -> bool {
    let Some((incarnation, sequence)) =
        header(req, "x-fencing-number").and_then(|value| value.split_once('.'))
    else {
        return true;
    };
    let number = (
        incarnation.parse().unwrap_or(0),
        sequence.parse().unwrap_or(0),
    );
    let mut inner = state.lock();
    let is_current = number.0 >= inner.highest_fencing_number.0;
    inner.highest_fencing_number = inner.highest_fencing_number.max(number);
    is_current
}

fn record_start(state: &State, id: &str, call: &Call, text: &str) -> Arc<Stream> {
    let mut inner = state.lock();
    let stream = Arc::new(Stream {
        total: call.max_tokens,
        seed: xxh3_64(text.as_bytes()),
        index: inner.executions.len(),
        generated: watch::Sender::new(0),
        cancelled: Notify::new(),
    });
    inner.executions.push(Execution {
        id: id.to_owned(),
        began_ms: unix_ms(),
        prefilled: 0,
        cached: 0,
        recomputed: 0,
        generated: 0,
        cancelled: false,
    });
    inner.streams.insert(id.to_owned(), stream.clone());
    stream
}

async fn generate(state: Arc<State>, stream: Arc<Stream>, text: String) {
    state.lock().waiting += 1;
    let permit = tokio::select! {
        permit = state.slots.acquire() => permit,
        () = stream.cancelled.notified() => {
            state.lock().waiting -= 1;
            return record_end(&state, &stream, true);
        }
    };
    {
        let mut inner = state.lock();
        inner.waiting -= 1;
        inner.running += 1;
    }
    let cancelled = tokio::select! {
        () = prefill_and_decode(&state, &stream, &text) => false,
        () = stream.cancelled.notified() => true,
    };
    state.lock().running -= 1;
    drop(permit);
    record_end(&state, &stream, cancelled);
}

fn record_end(state: &State, stream: &Stream, cancelled: bool) {
    if let Some(execution) = state.lock().executions.get_mut(stream.index) {
        execution.cancelled = cancelled;
    }
}

async fn prefill_and_decode(state: &State, stream: &Stream, text: &str) {
    let prefill_guard = state.prefill.lock().await;
    let (prefilled, slowdown) = {
        let mut inner = state.lock();
        let usage = inner.cache.insert_prompt(text);
        if let Some(execution) = inner.executions.get_mut(stream.index) {
            execution.prefilled = usage.prefilled;
            execution.cached = usage.cached;
            execution.recomputed = usage.recomputed;
        }
        (usage.prefilled, inner.slowdown)
    };
    #[expect(clippy::cast_precision_loss, reason = "token counts are small")]
    let seconds = prefilled as f64 / state.cfg.prefill_rate * slowdown;
    sleep(Duration::from_secs_f64(seconds)).await;
    drop(prefill_guard);
    for count in 1..=stream.total {
        if count > 1 {
            sleep(state.token_gap()).await;
        }
        if let Some(execution) = state.lock().executions.get_mut(stream.index) {
            execution.generated = count;
        }
        stream.generated.send_replace(count);
    }
}

fn resume(state: &State, id: &str, offset: u64) -> Response<Body> {
    let stream = state.lock().streams.get(id).cloned();
    match stream {
        Some(stream) => event_stream(stream, offset),
        None => json(StatusCode::NOT_FOUND, &"no such stream"),
    }
}

fn cancel(state: &State, id: &str) -> Response<Body> {
    let Some(stream) = state.lock().streams.remove(id) else {
        return json(StatusCode::NOT_FOUND, &"no such stream");
    };
    stream.cancelled.notify_one();
    json(StatusCode::OK, &"cancelled")
}
