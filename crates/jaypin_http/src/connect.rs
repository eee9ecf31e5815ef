//! Connections that notice when the other side went silent.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Connection, SendRequest, handshake};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Idle time before a keep-alive probe, and pause between two probes.
///
/// The shortest that the system takes. An idle connection costs a packet a second.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is given up: one may be lost.
const PROBES: u32 = 2;

/// Sends requests on a connection.
pub type Sender = SendRequest<Full<Bytes>>;
/// Does the work of a connection; to be spawned by whoever opened it.
pub type Driver = Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// How long the other side may take.
#[derive(Debug, Clone, Copy)]
pub struct ConnectTimeouts {
    /// Longest time to open the connection.
    pub connect: Duration,
    /// Time without an acknowledgement after which an open connection is given up.
    pub unacknowledged: Duration,
}

/// Why no connection was made; no byte of a request left.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// Nothing listens at the address: its process is gone.
    #[snafu(display("the connection was refused"))]
    Refused,
    /// No answer came in time.
    #[snafu(display("no connection in time"))]
    TimedOut,
    /// The connection could not be made for another reason.
    #[snafu(display("{source}"))]
    Failed {
        /// What the system or the HTTP library gave.
        source: io::Error,
    },
}

impl From<io::Error> for ConnectError {
    fn from(source: io::Error) -> Self {
        match source.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            io::ErrorKind::TimedOut => Self::TimedOut,
            _ => Self::Failed { source },
        }
    }
}

/// Opens a connection.
///
/// Guards against connections that go silent for good, because something between the two
/// ends lost track of them: no reset arrives, and a call on one would wait until its
/// deadline. Unacknowledged bytes and unanswered probes end the connection instead.
///
/// # Errors
/// Says why there is none.
pub async fn connect(
    address: &str,
    limits: ConnectTimeouts,
) -> Result<(Sender, Driver), ConnectError> {
    let opened = timeout(limits.connect, TcpStream::connect(address)).await;
    let stream = opened.map_err(|_| ConnectError::TimedOut)??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(limits.unacknowledged))?;
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_PAUSE)
        .with_interval(PROBE_PAUSE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    let made = handshake(TokioIo::new(stream)).await;
    Ok(made.map_err(io::Error::other)?)
}
