//! Connections that detect when the other side stops responding.

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

/// Idle time before the first keep-alive probe, and time between two probes.
///
/// This is the shortest interval that the system accepts. An idle connection sends one packet
/// per second.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of probes without a response after which a connection is closed, on systems where
/// [`ConnectTimeouts::unacknowledged`] does not decide that.
const PROBES: u32 = 2;

/// Handle that sends requests with bodies of type `B` on a connection.
pub type Sender<B = Full<Bytes>> = SendRequest<B>;
/// Future that drives a connection; the opener has to spawn it.
pub type Driver = Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// Timeouts of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectTimeouts {
    /// Timeout of opening the connection.
    pub connect: Duration,
    /// Time for which sent bytes may stay unacknowledged before the connection is closed.
    ///
    /// On Linux it also decides when unanswered keep-alive probes close an idle connection,
    /// whatever their number: at the first probe that is due this long after the last packet of
    /// the other side.
    pub unacknowledged: Duration,
}

impl ConnectTimeouts {
    /// Returns whether an idle connection outlives the loss of one keep-alive probe.
    #[must_use]
    pub const fn tolerates_a_lost_probe(&self) -> bool {
        self.unacknowledged.as_millis() > 2 * PROBE_INTERVAL.as_millis()
    }
}

/// Why a connection could not be opened. No byte of a request was sent.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// No process listens at the address.
    #[snafu(display("the connection was refused: no process listens at the address"))]
    Refused,
    /// The connection was not established in time.
    #[snafu(display("the connection was not established in time"))]
    TimedOut,
    /// The connection could not be opened for another reason.
    #[snafu(display("{source}"))]
    Failed {
        /// Error of the system or the HTTP library.
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
/// Guards against connections that stop delivering because a device between the two ends has
/// lost their state: no reset arrives, and a call would wait until its deadline. Unacknowledged
/// bytes and unanswered keep-alive probes end the connection instead.
///
/// # Errors
/// Fails if the connection is refused, not established in time, or fails otherwise.
pub async fn connect(
    address: &str,
    limits: ConnectTimeouts,
) -> Result<(Sender, Driver), ConnectError> {
    let stream = open_stream(address, limits).await?;
    let made = handshake(TokioIo::new(stream)).await;
    Ok(made.map_err(io::Error::other)?)
}

/// Opens a stream with the options that [`connect`] sets.
///
/// # Errors
/// Fails if the connection is refused, not established in time, or fails otherwise.
pub async fn open_stream(
    address: &str,
    limits: ConnectTimeouts,
) -> Result<TcpStream, ConnectError> {
    let opened = timeout(limits.connect, TcpStream::connect(address)).await;
    let stream = opened.map_err(|_| ConnectError::TimedOut)??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(limits.unacknowledged))?;
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    Ok(stream)
}
