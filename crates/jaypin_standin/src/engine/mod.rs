//! A continuous-batching engine: slots, prefill, a prefix cache, resumable streams.

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
use stream::{Stream, events, whole};

use crate::http::{Body, bind, json, query_number, serve, unix_ms};
use crate::prefix_cache::PrefixCache;

/// Text that crashes an engine which is set to be poisoned by it.
const POISON: &str = "POISON";

/// One request that the engine took up.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Execution {
    /// Id that the caller of the engine gave.
    pub id: String,
    /// When it came, in milliseconds since 1970.
    #[serde(default)]
    pub began_ms: u64,
    /// Tokens prefilled, without those found in the cache.
    pub prefilled: u64,
    /// Tokens found in the cache.
    pub cached: u64,
    /// Tokens prefilled although another engine of the service held them.
    #[serde(default)]
    pub recomputed: u64,
    /// Tokens generated so far.
    pub generated: u64,
    /// Whether it was cancelled.
    pub cancelled: bool,
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
    server: JoinHandle<()>,
}

#[derive(Debug)]
struct State {
    cfg: EngineConfig,
    admit: Semaphore,
    prefill: tokio::sync::Mutex<()>,
    inner: Mutex<Inner>,
    crash: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    streams: HashMap<String, Arc<Stream>>,
    executions: Vec<Execution>,
    cache: PrefixCache,
    loads: VecDeque<(Option<Instant>, Load)>,
    running: u32,
    waiting: u32,
    slowdown: f64,
    greatest_fence: (u64, u64),
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
    /// When the address can't be bound.
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
            admit: Semaphore::new(cfg.slots),
            prefill: tokio::sync::Mutex::new(()),
            inner: Mutex::new(inner),
            crash: Notify::new(),
            cfg,
        });
        let server = tokio::spawn(run(state.clone(), listener, address));
        Ok(Self {
            address,
            state,
            server,
        })
    }

    /// Everything it took up, in order.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.state.lock().executions.clone()
    }

    /// Makes every step take `factor` times as long.
    pub fn slow_down(&self, factor: f64) {
        self.state.lock().slowdown = factor;
    }

    /// Says in its load reports that it is leaving.
    pub fn announce_leaving(&self) {
        self.state.lock().leaving = true;
    }

    /// Crashes it: connections are cut, streams and cache lost; it comes back empty.
    pub fn crash(&self) {
        self.state.crash.notify_one();
    }

    /// Ends it at once, cutting all connections.
    pub fn kill(&self) {
        self.server.abort();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// Serves, and after a crash is gone for a while and starts empty at the same address.
async fn run(state: Arc<State>, listener: tokio::net::TcpListener, address: SocketAddr) {
    let mut listener = Some(listener);
    loop {
        let Some(current) = listener.take() else {
            return;
        };
        let shared = state.clone();
        let server = AbortOnDrop(serve(current, move |req| handle(shared.clone(), req)));
        state.crash.notified().await;
        drop(server);
        state.forget();
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

    fn forget(&self) {
        let mut inner = self.lock();
        for stream in inner.streams.values() {
            stream.cancelled.notify_one();
        }
        inner.streams.clear();
        inner.cache.clear();
    }

    fn gap(&self) -> Duration {
        let inner = self.lock();
        let running = usize::try_from(inner.running).unwrap_or(usize::MAX);
        self.cfg.gap_with(running).mul_f64(inner.slowdown)
    }

    fn report(&self) -> Load {
        let mut inner = self.lock();
        let now = Instant::now();
        let fresh = Load {
            running: inner.running,
            waiting: inner.waiting,
            leaving: inner.leaving,
            age_ms: 0,
        };
        inner.loads.push_back((Some(now), fresh));
        let lag = self.cfg.report_lag;
        let old = |entry: Option<&(Option<Instant>, Load)>| {
            entry
                .and_then(|(at, _)| *at)
                .is_some_and(|at| now.duration_since(at) >= lag)
        };
        while old(inner.loads.get(1)) {
            inner.loads.pop_front();
        }
        let (at, load) = inner.loads.front().copied().unwrap_or((None, fresh));
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
        (Method::GET, "/load") => json(StatusCode::OK, &state.report()),
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
    if state.cfg.checks_fencing && !fence_is_new(&state, &req) {
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
    let stream = begin(&state, &id, &call, &text);
    if state.cfg.crash_downtime.is_some() && text.contains(POISON) {
        state.crash.notify_one();
        std::future::pending::<()>().await;
    }
    tokio::spawn(generate(state, stream.clone(), text));
    if call.stream {
        events(stream, 0)
    } else {
        whole(stream, &call.model).await
    }
}

fn header<'a>(req: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

/// A fencing number is `incarnation.sequence`; a smaller incarnation is an old holder's.
fn fence_is_new(state: &State, req: &Request<Incoming>) -> bool {
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
    let new = number.0 >= inner.greatest_fence.0;
    inner.greatest_fence = inner.greatest_fence.max(number);
    new
}

fn begin(state: &State, id: &str, call: &Call, text: &str) -> Arc<Stream> {
    let mut inner = state.lock();
    let stream = Arc::new(Stream {
        total: call.max_tokens,
        seed: xxh3_64(text.as_bytes()),
        index: inner.executions.len(),
        made: watch::Sender::new(0),
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
        permit = state.admit.acquire() => permit,
        () = stream.cancelled.notified() => {
            state.lock().waiting -= 1;
            return end(&state, &stream, true);
        }
    };
    {
        let mut inner = state.lock();
        inner.waiting -= 1;
        inner.running += 1;
    }
    let cancelled = tokio::select! {
        () = produce(&state, &stream, &text) => false,
        () = stream.cancelled.notified() => true,
    };
    state.lock().running -= 1;
    drop(permit);
    end(&state, &stream, cancelled);
}

fn end(state: &State, stream: &Stream, cancelled: bool) {
    if let Some(execution) = state.lock().executions.get_mut(stream.index) {
        execution.cancelled = cancelled;
    }
}

async fn produce(state: &State, stream: &Stream, text: &str) {
    let turn = state.prefill.lock().await;
    let (prefilled, slowdown) = {
        let mut inner = state.lock();
        let found = inner.cache.take_up(text);
        if let Some(execution) = inner.executions.get_mut(stream.index) {
            execution.prefilled = found.prefilled;
            execution.cached = found.cached;
            execution.recomputed = found.recomputed;
        }
        (found.prefilled, inner.slowdown)
    };
    #[expect(clippy::cast_precision_loss, reason = "token counts are small")]
    let seconds = prefilled as f64 / state.cfg.prefill_rate * slowdown;
    sleep(Duration::from_secs_f64(seconds)).await;
    drop(turn);
    for made in 1..=stream.total {
        if made > 1 {
            sleep(state.gap()).await;
        }
        if let Some(execution) = state.lock().executions.get_mut(stream.index) {
            execution.generated = made;
        }
        stream.made.send_replace(made);
    }
}

fn resume(state: &State, id: &str, offset: u64) -> Response<Body> {
    let stream = state.lock().streams.get(id).cloned();
    match stream {
        Some(stream) => events(stream, offset),
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
