//! The HTTP server for callers.

mod attempt;
mod delivery;
mod directory;
mod event_timing;
mod read_request;
mod request_task;
mod response;
mod silence;

pub use directory::{serve_queries, serve_responses};
pub use response::{HttpResponse, bytes_response, empty_response};

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::host::Host;
use response::with_connection_close;

/// Length of the queue of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Shortest timeout of a connection without a request, whatever the configuration states.
///
/// The same timer bounds a request header that never ends and the idle time between two
/// requests, and callers reuse connections for most of the configured idle time.
const MIN_IDLE_TIME: Duration = Duration::from_secs(20);
/// Factor on the configured idle time, so that no request is sent while this host closes the
/// connection.
const IDLE_FACTOR: f64 = 1.3;
/// Largest request header before a configuration is known, in bytes.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 * 1024;
/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Pause after a failed accept, in which file descriptors may become free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// Time without an acknowledgement after which a caller's connection is closed.
const USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time before the first keep-alive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Opens a listener.
///
/// # Errors
/// Returns the error of the failed system call.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    // Accepted sockets inherit these options. They end connections whose caller has vanished
    // without a close: writes to it would accumulate.
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Phase of a host's drain, which decides when connections are closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainPhase {
    /// The host does not drain.
    Serving,
    /// Each response closes its connection.
    CloseAfterResponse,
    /// Idle connections are closed.
    CloseIdle,
}

/// Accepts callers' connections until the task is dropped.
pub async fn serve_callers(
    host: Rc<Host>,
    listener: TcpListener,
    phase: watch::Receiver<DrainPhase>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve(host.clone(), stream, phase.clone()));
            }
            Err(error) => {
                log::warn!(error:%; "accepting a caller's connection failed; retrying after a pause");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(host: Rc<Host>, stream: TcpStream, mut phase: watch::Receiver<DrainPhase>) {
    let (header_bytes, idle) = limits(&host);
    let response_phase = phase.clone();
    let service = service_fn(move |req| {
        let (host, phase) = (host.clone(), response_phase.clone());
        async move { Ok::<_, Infallible>(respond(host, req, &phase).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = phase.wait_for(|it| *it == DrainPhase::CloseIdle) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

fn limits(host: &Host) -> (usize, Duration) {
    let limits = host.read(|router| {
        let table = router.table()?;
        let limits = &table.configuration().limits;
        Some((limits.header_bytes, limits.idle_time.mul_f64(IDLE_FACTOR)))
    });
    let (header_bytes, idle) = limits.unwrap_or((DEFAULT_MAX_HEADER_BYTES, MIN_IDLE_TIME));
    (header_bytes, idle.max(MIN_IDLE_TIME))
}

async fn respond(
    host: Rc<Host>,
    req: Request<Incoming>,
    phase: &watch::Receiver<DrainPhase>,
) -> HttpResponse {
    let response = match read_request::read(&host, req).await {
        Ok(received) => request_task::start(host, received).await,
        Err(error) => response::read_error_response(&error),
    };
    if *phase.borrow() == DrainPhase::Serving {
        response
    } else {
        with_connection_close(response)
    }
}
