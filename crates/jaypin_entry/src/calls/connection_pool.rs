//! Connections to backend servers and to the store, which are reused for later calls.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::header::{CONNECTION, HeaderName};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use jaypin_http::{ConnectError, ConnectTimeouts, Sender, TimedWriter, WriteLimit, open_stream};
use jaypin_router::BootTime;
use tokio::sync::OnceCell;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::admission::HeldBody;
use crate::boot_clock::boot_time;
use crate::metrics;

/// Timeouts of a connection to a peer or the store.
///
/// Three network delays at the largest distance within a fleet take 20 ms. A lost SYN packet
/// is retransmitted only after a second; another backend server is connected to sooner.
pub const DEFAULT_TIMEOUTS: ConnectTimeouts = ConnectTimeouts {
    connect: Duration::from_millis(300),
    unacknowledged: ACK_TIMEOUT,
};
/// Timeouts of a connection to a backend server.
///
/// A sound backend server may fall silent for a second or more, in which a keep-alive probe stays
/// unanswered.
pub const BACKEND_TIMEOUTS: ConnectTimeouts = ConnectTimeouts {
    unacknowledged: Duration::from_millis(2_500),
    ..DEFAULT_TIMEOUTS
};
const _: () = assert!(BACKEND_TIMEOUTS.tolerates_a_lost_probe());
/// Time without an acknowledgement after which a connection is closed. Lost bytes are
/// retransmitted several times within it.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which an idle connection is reused if the response has no `keep-alive` timeout.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(500);
/// Time by which a stated idle timeout is reduced: the backend server counts from the end of
/// its response, and the next request takes some milliseconds to arrive.
const IDLE_MARGIN: Duration = Duration::from_millis(400);
/// Time in which a connection that is reset at once has been reset.
const SETTLE_TIME: Duration = Duration::from_millis(15);
/// Time after its begin for which the result of a probe is used.
const PROBE_VALIDITY: Duration = Duration::from_millis(400);
/// Header that states the idle timeout of a connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// An open connection without a call in progress.
#[derive(Debug)]
pub struct Connection {
    sender: Sender<HeldBody>,
    write_limit: WriteLimit,
    address: String,
    expires_at: Option<Instant>,
    /// Whether the connection served a call before.
    pub is_reused: bool,
    /// Whether a response was received on it.
    had_response: bool,
    had_unidentified_response: bool,
}

/// Which connections a call may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Any.
    Any,
    /// Those on which no response was received: the next one can't belong to an earlier call.
    Unanswered,
}

/// Why a call got no response.
#[derive(Debug)]
pub enum CallError {
    /// No byte of the request was sent.
    NotSent,
    /// No byte of the request was sent before the time that [`Connection::limit_write`] set.
    Withheld,
    /// The connection failed after the request was sent; the request may have arrived.
    Interrupted,
}

impl Connection {
    /// Sets the time before which the first byte of the next request has to be written. The task of
    /// the connection writes it some time after [`Self::call`].
    pub fn limit_write(&self, before: BootTime) {
        self.write_limit.set(before);
    }

    /// Sends one request and waits for the head of its response.
    ///
    /// # Errors
    /// Fails if no response arrived; the error states whether the request was sent.
    pub async fn call(&mut self, req: Request<HeldBody>) -> Result<Response<Incoming>, CallError> {
        match self.sender.try_send_request(req).await {
            Ok(response) => Ok(response),
            Err(_) if self.write_limit.is_exceeded() => Err(CallError::Withheld),
            Err(error) if error.message().is_some() => Err(CallError::NotSent),
            Err(_) => Err(CallError::Interrupted),
        }
    }

    /// Checks that the other end has not closed the connection, as far as is known.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Records a response, and whether it has the id of a request.
    pub fn record_response(&mut self, is_identified: bool) {
        self.had_response = true;
        self.had_unidentified_response |= !is_identified;
    }

    /// Returns whether a response was received on it. Further bytes may follow that response, and
    /// without an id they could not be distinguished from the response to another request.
    pub fn had_response(&self) -> bool {
        self.had_response
    }

    /// Sets the time until which the other end keeps the connection open, from the headers of
    /// a response.
    pub fn update_expiry(&mut self, headers: &HeaderMap) {
        let closes = headers
            .get(CONNECTION)
            .and_then(|value| value.to_str().ok());
        let now = Instant::now();
        if closes.is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
            self.expires_at = Some(now);
            return;
        }
        let stated = headers.get(KEEP_ALIVE).and_then(stated_timeout);
        let idle = stated.map_or(DEFAULT_IDLE_TIME, |it| it.saturating_sub(IDLE_MARGIN));
        self.expires_at = Some(now + idle);
    }
}

fn stated_timeout(value: &hyper::header::HeaderValue) -> Option<Duration> {
    let mut parts = value.to_str().ok()?.split(',');
    let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}

/// A pool of idle connections by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<String, Vec<Connection>>>,
    probes: RefCell<HashMap<String, Probe>>,
}

/// A probe of an address, whose result several calls use.
#[derive(Debug, Clone)]
struct Probe {
    started_at: Instant,
    is_accepted: Rc<OnceCell<bool>>,
}

impl ConnectionPool {
    /// Takes an idle connection from the pool, or opens a new one. An idle connection that the call may
    /// not use is closed in its place: a backend server limits the number of connections.
    ///
    /// # Errors
    /// Fails if a new connection can't be opened.
    pub async fn acquire(&self, address: &str, reuse: Reuse) -> Result<Connection, ConnectError> {
        let idle = self.take_idle(address);
        if let Some(connection) = idle.filter(|it| reuse == Reuse::Any || !it.had_response) {
            return Ok(connection);
        }
        metrics::connection();
        connect(address, BACKEND_TIMEOUTS).await
    }

    /// Opens a connection, and keeps it for later calls. Returns whether it was still open a moment
    /// later: some network devices accept a connection and then reset it.
    pub async fn probe(&self, address: &str) -> bool {
        let Ok(connection) = connect(address, BACKEND_TIMEOUTS).await else {
            return false;
        };
        sleep(SETTLE_TIME).await;
        let is_open = connection.is_open();
        self.release(connection);
        is_open
    }

    /// Returns whether an address accepts connections, by a probe that began a moment ago or begins
    /// now. Many calls fall silent together, and one probe serves them all.
    ///
    /// The probe's connection is closed at once: a sound backend server limits the number of
    /// connections, and resets those beyond it.
    pub async fn accepts_connections(&self, address: &str) -> bool {
        let is_accepted = self.recent_probe(address);
        let probe = || async { connect(address, BACKEND_TIMEOUTS).await.is_ok() };
        *is_accepted.get_or_init(probe).await
    }

    fn recent_probe(&self, address: &str) -> Rc<OnceCell<bool>> {
        let mut probes = self.probes.borrow_mut();
        let recent = probes.get(address);
        if let Some(probe) = recent.filter(|it| it.started_at.elapsed() < PROBE_VALIDITY) {
            return probe.is_accepted.clone();
        }
        let probe = Probe {
            started_at: Instant::now(),
            is_accepted: Rc::default(),
        };
        let is_accepted = probe.is_accepted.clone();
        probes.insert(address.to_owned(), probe);
        is_accepted
    }

    fn take_idle(&self, address: &str) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let same_address = idle.get_mut(address)?;
        let now = Instant::now();
        while let Some(connection) = same_address.pop() {
            let is_unexpired = connection.expires_at.is_none_or(|at| now < at);
            if is_unexpired && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response was read completely. A connection that received
    /// a response without an id is closed instead: the next such response could not be attributed.
    pub fn release(&self, mut connection: Connection) {
        let is_unexpired = connection.expires_at.is_none_or(|at| Instant::now() < at);
        let is_usable = is_unexpired && !connection.had_unidentified_response;
        if is_usable && !connection.sender.is_closed() {
            connection.is_reused = true;
            let mut idle = self.idle.borrow_mut();
            let address = connection.address.clone();
            idle.entry(address).or_default().push(connection);
        }
    }

    /// Closes connections that have been idle for too long, and forgets old probes.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut probes = self.probes.borrow_mut();
        probes.retain(|_, it| it.started_at.elapsed() < PROBE_VALIDITY);
        self.idle.borrow_mut().retain(|_, same_address| {
            same_address
                .retain(|it| it.expires_at.is_none_or(|at| now < at) && !it.sender.is_closed());
            !same_address.is_empty()
        });
    }
}

/// Opens a connection and spawns the task that drives it.
///
/// # Errors
/// Fails if the connection can't be opened.
pub async fn connect(address: &str, limits: ConnectTimeouts) -> Result<Connection, ConnectError> {
    let stream = open_stream(address, limits).await?;
    let write_limit = WriteLimit::default();
    let stream = TimedWriter::new(stream, write_limit.clone(), boot_time);
    let made = handshake(TokioIo::new(stream)).await;
    let (sender, driver) = made.map_err(io::Error::other)?;
    spawn_local(async move {
        if let Err(error) = driver.await {
            log::debug!(error:%; "a connection ended with an error");
        }
    });
    Ok(Connection {
        sender,
        write_limit,
        address: address.to_owned(),
        expires_at: None,
        is_reused: false,
        had_response: false,
        had_unidentified_response: false,
    })
}
