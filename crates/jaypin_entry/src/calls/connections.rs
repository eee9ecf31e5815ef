//! Connections to backend servers and to the store, kept for the next call.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{CONNECTION, HeaderName};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// Longest time to open a connection. Three network delays at the largest distance of
/// today's fleets are 20 ms; a lost opening packet is sent again only after a second, and
/// another backend server is found sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without an acknowledgement after which a connection is given up.
///
/// Guards against connections that go silent for good: no reset arrives, and a call on one
/// would wait until its deadline.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before a keep-alive probe, and pause between probes.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is given up.
const KEEPALIVE_PROBES: u32 = 2;
/// Time for which an idle connection is used again when its backend server states none.
const UNSTATED_IDLE: Duration = Duration::from_millis(500);
/// Time by which a stated idle time is cut: the backend server counts from when it sent
/// its answer, and the next request is on its way for some milliseconds.
const IDLE_MARGIN: Duration = Duration::from_millis(400);
/// Header with a stated idle time.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Options of a new connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionOptions {
    /// Longest time to open it.
    pub timeout: Duration,
}

impl Default for ConnectionOptions {
    fn default() -> Self {
        Self {
            timeout: CONNECT_TIMEOUT,
        }
    }
}

/// An open connection with no call on it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    address: String,
    expires: Option<Instant>,
    /// Whether it served a call before.
    pub is_reused: bool,
}

/// What became of a call that got no answer.
#[derive(Debug)]
pub enum CallError {
    /// No byte of it left.
    NotSent,
    /// It may have arrived.
    Broken,
}

impl Connection {
    /// Makes one call.
    ///
    /// # Errors
    /// Says whether the call may have arrived.
    pub async fn call(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        match self.sender.try_send_request(req).await {
            Ok(response) => Ok(response),
            Err(error) if error.message().is_some() => Err(CallError::NotSent),
            Err(_) => Err(CallError::Broken),
        }
    }

    /// Whether the other end has not closed it, as far as is known.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Notes until when the other end keeps it open.
    pub fn note_answer(&mut self, headers: &HeaderMap) {
        let closes = headers
            .get(CONNECTION)
            .and_then(|value| value.to_str().ok());
        let now = Instant::now();
        if closes.is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
            self.expires = Some(now);
            return;
        }
        let stated = headers.get(KEEP_ALIVE).and_then(stated_timeout);
        let idle = stated.map_or(UNSTATED_IDLE, |it| it.saturating_sub(IDLE_MARGIN));
        self.expires = Some(now + idle);
    }
}

fn stated_timeout(value: &hyper::header::HeaderValue) -> Option<Duration> {
    let mut parts = value.to_str().ok()?.split(',');
    let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}

/// Idle connections, by address.
#[derive(Debug, Default)]
pub struct Connections {
    idle: RefCell<HashMap<String, Vec<Connection>>>,
}

impl Connections {
    /// Takes an idle connection, or opens one.
    ///
    /// # Errors
    /// Gives what connecting gave.
    pub async fn take(&self, address: &str) -> io::Result<Connection> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        connect(address, ConnectionOptions::default()).await
    }

    fn take_idle(&self, address: &str) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let of_address = idle.get_mut(address)?;
        let now = Instant::now();
        while let Some(connection) = of_address.pop() {
            let is_fresh = connection.expires.is_none_or(|at| now < at);
            if is_fresh && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose call ended with a whole answer.
    pub fn give_back(&self, mut connection: Connection) {
        let is_fresh = connection.expires.is_none_or(|at| Instant::now() < at);
        if is_fresh && !connection.sender.is_closed() {
            connection.is_reused = true;
            let mut idle = self.idle.borrow_mut();
            let address = connection.address.clone();
            idle.entry(address).or_default().push(connection);
        }
    }

    /// Closes what has been idle for too long.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, of_address| {
            of_address.retain(|it| it.expires.is_none_or(|at| now < at) && !it.sender.is_closed());
            !of_address.is_empty()
        });
    }
}

/// Opens a connection.
///
/// # Errors
/// Gives what connecting gave, or `TimedOut`.
pub async fn connect(address: &str, options: ConnectionOptions) -> io::Result<Connection> {
    let stream = timeout(options.timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(error:%; "a connection broke off");
        }
    });
    Ok(Connection {
        sender,
        address: address.to_owned(),
        expires: None,
        is_reused: false,
    })
}
