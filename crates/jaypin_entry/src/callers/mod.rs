//! The HTTP server for callers.

mod attempt;
mod delivery;
mod directory;
mod event_timing;
mod outgoing_request;
mod read_request;
mod request_task;
mod response;
mod response_proof;
mod response_signals;
mod silence;
mod stream_events;

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
use hyper_util::rt::TokioIo;
use socket2::{Domain, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::admission::{
    AdmittedConnection, MIN_IDLE_TIME, MeteredStream, RECEIVE_BUFFER_BYTES, ServingBody,
};
use crate::host::Host;
use response::with_connection_close;

/// Smallest size, in bytes, to which the buffer of a connection may grow. It is fixed when the
/// connection is accepted, so larger header limits of later configurations apply up to this size.
const MIN_BUFFER_BYTES: usize = 64 * 1024;
/// Pause after a failed accept, in which file descriptors may become free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// Time without an acknowledgement after which a caller's connection is closed.
const USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time before the first keep-alive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Opens a listener with a queue for this many connections that wait to be accepted.
///
/// # Errors
/// Returns the error of the failed system call.
pub fn listen(address: SocketAddr, backlog: usize) -> io::Result<TcpListener> {
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
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(&address.into())?;
    socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
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

/// Accepts callers' connections until idle connections are closed. At the limit of open connections one
/// of them gives way first.
///
/// Each connection holds a receiver of the phase until its last response is written.
pub async fn serve_callers(
    host: Rc<Host>,
    listener: TcpListener,
    mut phase: watch::Receiver<DrainPhase>,
) {
    loop {
        let accept = async {
            let slot = host.admission.callers.room().await;
            (slot, listener.accept().await)
        };
        let (slot, accepted) = tokio::select! {
            accepted = accept => accepted,
            _ = phase.wait_for(|it| *it == DrainPhase::CloseIdle) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let admitted = Rc::new(slot.admit());
                spawn_local(serve(host.clone(), stream, admitted, phase.clone()));
            }
            Err(error) => {
                log::warn!(error:%; "accepting a caller's connection failed; retrying after a pause");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(
    host: Rc<Host>,
    stream: TcpStream,
    admitted: Rc<AdmittedConnection>,
    mut phase: watch::Receiver<DrainPhase>,
) {
    let header_bytes = read_request::max_header_bytes(&host);
    let idle_timer = host.admission.idle_time.timer();
    let response_phase = phase.clone();
    let served = admitted.clone();
    let service = service_fn(move |req| {
        let (host, served, phase) = (host.clone(), served.clone(), response_phase.clone());
        async move {
            let response = respond(host, &served, req, &phase).await;
            Ok::<_, Infallible>(response.map(|body| ServingBody::new(body, served)))
        }
    });
    let stream = MeteredStream::new(stream, admitted.clone());
    let connection = http1::Builder::new()
        .timer(idle_timer)
        .header_read_timeout(MIN_IDLE_TIME)
        .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = admitted.state().evicted() => return,
        _ = phase.wait_for(|it| *it == DrainPhase::CloseIdle) => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection => {}
        () = admitted.state().evicted() => {}
    }
}

async fn respond(
    host: Rc<Host>,
    connection: &AdmittedConnection,
    req: Request<Incoming>,
    phase: &watch::Receiver<DrainPhase>,
) -> HttpResponse {
    let read = read_request::read(&host, connection, req).await;
    connection.begin_service();
    let response = match read {
        Ok(received) => request_task::start(host, received).await,
        Err(error) => response::read_error_response(&error),
    };
    if *phase.borrow() == DrainPhase::Serving {
        response
    } else {
        with_connection_close(response)
    }
}
