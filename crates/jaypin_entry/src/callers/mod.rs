//! HTTP towards callers.

mod answer;
mod attempt;
mod delivery;
mod directory;
mod drive;
mod event_times;
mod read_request;

pub use answer::{AnswerResponse, bytes_answer, empty_answer};
pub use directory::{serve_answers, serve_questions};

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
use answer::closing;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Least time for a connection without a request, whatever the configuration says.
///
/// The same timer bounds a header that never ends and a connection that is idle between
/// two requests, and callers use connections again for most of the configured idle time.
const LEAST_IDLE: Duration = Duration::from_secs(20);
/// Factor on the configured idle time, so that no request crosses our close.
const IDLE_FACTOR: f64 = 1.3;
/// Largest header when no configuration is known yet, in bytes.
const DEFAULT_HEADER: usize = 16 * 1024;
/// Smallest buffer that the HTTP library takes, in bytes.
const LEAST_BUFFER: usize = 8 * 1024;
/// Pause after a connection could not be accepted: descriptors have to come free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// Time without an acknowledgement after which a caller's connection is given up.
const USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time before a keep-alive probe, and pause between probes.
const KEEPALIVE: Duration = Duration::from_secs(5);

/// Opens a listener.
///
/// # Errors
/// Gives what the system gave.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    // Accepted sockets inherit these. They end connections that went silent towards
    // callers: no close arrives, and writes would pile up.
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// How far a host is on its way out, as connections see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leaving {
    /// It stays.
    No,
    /// Each answer closes its connection.
    AnswersClose,
    /// Idle connections are closed.
    IdleCloses,
}

/// Accepts callers until the task is dropped.
pub async fn serve_callers(
    host: Rc<Host>,
    listener: TcpListener,
    leaving: watch::Receiver<Leaving>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve(host.clone(), stream, leaving.clone()));
            }
            Err(error) => {
                log::warn!(error:%; "can't accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(host: Rc<Host>, stream: TcpStream, mut leaving: watch::Receiver<Leaving>) {
    let (header_bytes, idle) = limits(&host);
    let answering = leaving.clone();
    let service = service_fn(move |req| {
        let (host, answering) = (host.clone(), answering.clone());
        async move { Ok::<_, Infallible>(answer(host, req, &answering).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(header_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = leaving.wait_for(|it| *it == Leaving::IdleCloses) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

fn limits(host: &Host) -> (usize, Duration) {
    let limits = host.look(|router| {
        let table = router.table()?;
        let limits = &table.configuration().limits;
        Some((limits.header_bytes, limits.idle_time.mul_f64(IDLE_FACTOR)))
    });
    let (header_bytes, idle) = limits.unwrap_or((DEFAULT_HEADER, LEAST_IDLE));
    (header_bytes, idle.max(LEAST_IDLE))
}

async fn answer(
    host: Rc<Host>,
    req: Request<Incoming>,
    leaving: &watch::Receiver<Leaving>,
) -> AnswerResponse {
    let response = match read_request::read(&host, req).await {
        Ok(call) => drive::start(host, call).await,
        Err(error) => answer::unreadable(&error),
    };
    if *leaving.borrow() == Leaving::No {
        response
    } else {
        closing(response)
    }
}
