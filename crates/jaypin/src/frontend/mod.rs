//! HTTP server for callers.
//!
//! It uses `hyper` instead of `tiny_http`, so that a caller that never completes its header
//! can't block the host (see `docs/design/http-library.md`).

mod address_list;
mod connections;
mod explain;
mod read_request;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crossbeam::channel::Sender;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use jaypin_core::{Event, HostId, IdempotencyKey, Ran, RequestId};
use jaypin_wire::{EntryAddress, EntryBody};
use socket2::{Domain, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};

use crate::answer::{AnswerBody, CallerGuard, json, refusal, rejected};
use crate::calls::{Caller, Calls, PendingCall};
use crate::decisions::Decisions;
use crate::snapshot::Snapshot;
use address_list::AddressListOrder;
use connections::{Connection, Connections};
use explain::EXPLAIN_PATH;
use read_request::{ReadError, has_key, read_request};

/// Connections that may wait to be accepted, large enough for bursts of callers.
const BACKLOG: i32 = 4_096;
/// Longest time for a caller to send its complete header.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest header, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// Time without an acknowledgement of sent bytes after which a connection is closed.
const USER_TIMEOUT: Duration = Duration::from_secs(20);
/// Idle time before the first keep-alive probe.
const KEEPALIVE: Duration = Duration::from_secs(15);

/// Opens the listening socket for callers.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    // Accepted sockets inherit keep-alive and user timeout. Both close connections that
    // went silent: no FIN arrives on them, writes pile up, and without a timeout the call
    // would never end.
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE)
            .with_interval(KEEPALIVE),
    )?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// HTTP server of one host, which turns callers' requests into events for the reducer.
#[derive(Debug, Clone)]
pub struct Frontend {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    host: HostId,
    incarnation: u64,
    snapshots: watch::Receiver<Arc<Snapshot>>,
    calls: Arc<Calls>,
    decisions: Arc<Decisions>,
    events: Sender<Event>,
    next_id: AtomicU64,
    address_list_order: AddressListOrder,
}

impl Frontend {
    /// Creates a frontend with its connections to the rest of the process.
    pub fn new(
        host: HostId,
        incarnation: u64,
        snapshots: watch::Receiver<Arc<Snapshot>>,
        calls: Arc<Calls>,
        decisions: Arc<Decisions>,
        events: Sender<Event>,
    ) -> Self {
        let next_id = AtomicU64::new(1);
        let shared = Shared {
            host,
            incarnation,
            snapshots,
            calls,
            decisions,
            events,
            next_id,
            address_list_order: AddressListOrder::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Accepts callers until the task is dropped.
    pub async fn accept(self, listener: TcpListener) {
        let connections = Connections::default();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // The process may be out of file descriptors, until other connections close.
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let Some(connection) = connections.admit() else {
                continue;
            };
            tokio::spawn(self.clone().serve(stream, Arc::new(connection)));
        }
    }

    async fn serve(self, stream: TcpStream, connection: Arc<Connection>) {
        let _ = stream.set_nodelay(true);
        let request_connection = connection.clone();
        let service = service_fn(move |req| {
            request_connection.mark_active();
            let frontend = self.clone();
            async move { Ok::<_, Infallible>(frontend.handle(req).await) }
        });
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(MAX_HEADER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            _ = served => {}
            () = connection.evicted() => {}
        }
    }

    /// Handles one HTTP request.
    async fn handle(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        let snapshot = self.shared.snapshots.borrow().clone();
        if req.uri().path() == "/v1/entry" {
            return match *req.method() {
                Method::GET => json(StatusCode::OK, &self.address_list(&snapshot, &req)),
                _ => ReadError::Method.answer(false),
            };
        }
        if req.method() == Method::GET && req.uri().path().starts_with(EXPLAIN_PATH) {
            let path = req.uri().path();
            return self.explain(req.headers(), path, &snapshot).await;
        }
        let may_be_retry = has_key(req.headers());
        match read_request(req, &snapshot, || self.new_id()).await {
            Ok((info, outbound)) => {
                self.shared.decisions.begin(&info, &snapshot);
                self.submit(info, outbound).await
            }
            Err(error) => error.answer(may_be_retry),
        }
    }

    /// Hands a request to the reducer and waits until its response starts.
    async fn submit(
        &self,
        info: jaypin_core::RequestInfo,
        outbound: crate::calls::Outbound,
    ) -> Response<AnswerBody> {
        let id = info.id.clone();
        let (reply, answer) = oneshot::channel();
        // `hyper` drops this future, and so the guard, when the caller disconnects before
        // the response head.
        let mut disconnect_guard = CallerGuard::new(id.clone(), self.shared.events.clone());
        let guard = CallerGuard::new(id.clone(), self.shared.events.clone());
        let call = PendingCall {
            outbound,
            caller: Caller { reply, guard },
        };
        self.shared.calls.insert(id.clone(), call);
        let _ = self.shared.events.send(Event::Arrived(info));
        let answer = answer.await;
        disconnect_guard.disarm();
        let mut response = answer.unwrap_or_else(|_| {
            let lost = jaypin_core::Refusal::after_dispatch(
                jaypin_core::Reason::BackendLost,
                jaypin_core::Ran::Unknown,
            );
            refusal(Some(&id), &lost)
        });
        if let Ok(value) = hyper::header::HeaderValue::from_str(&id) {
            response.headers_mut().insert("x-request-id", value);
        }
        response
    }

    fn new_id(&self) -> RequestId {
        let count = self.shared.next_id.fetch_add(1, Ordering::Relaxed);
        format!("{}-{}-{count}", self.shared.host, self.shared.incarnation).into()
    }

    /// Returns the address list for a caller.
    fn address_list(&self, snapshot: &Snapshot, req: &Request<Incoming>) -> EntryBody {
        let caller = req
            .headers()
            .get("authorization")
            .and_then(|value| value.to_str().ok());
        let near = req.uri().query().and_then(failure_domain);
        let live = &snapshot.live_hosts;
        let ordered = self
            .shared
            .address_list_order
            .order(live, caller.unwrap_or_default(), near);
        let addresses = ordered
            .into_iter()
            .map(|host| EntryAddress {
                host: host.id.to_string(),
                address: host.address.clone(),
            })
            .collect();
        EntryBody {
            addresses,
            valid_for_s: address_list::VALID_FOR.as_secs(),
            host: self.shared.host.to_string(),
            incarnation: self.shared.incarnation.to_string(),
            key_prefix: IdempotencyKey::prefix(
                &self.shared.host,
                self.shared.incarnation,
                snapshot.summary.key_period,
            ),
        }
    }
}

/// Returns the caller's failure domain if its query names one.
fn failure_domain(query: &str) -> Option<&str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find_map(|(name, value)| (name == "failure-domain").then_some(value))
}

impl ReadError {
    /// Returns the response for a request that can't be read.
    ///
    /// A call with an idempotency key may be a retry of one that ran elsewhere, with a
    /// complete body or under newer rules. If the error may concern only this attempt, the
    /// outcome of such a call is therefore unknown instead of "not run".
    fn answer(&self, may_be_retry: bool) -> Response<AnswerBody> {
        let outcome = match self {
            Self::NotReady | Self::BodyIncomplete | Self::Credential | Self::Path
                if may_be_retry =>
            {
                Ran::Unknown
            }
            _ => Ran::NotRun,
        };
        rejected(self.status(), self.reason(), outcome, &self.to_string())
    }
}
