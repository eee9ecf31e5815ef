//! Transfers the messages of a link over its connection, and replaces lost connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use jaypin_core::{Event, HostId, Message};
use jaypin_wire::{Frame, decode, encode};
use tokio::net::TcpStream;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout};
use tokio_tungstenite::client_async_with_config;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Bytes, Message as WsMessage};

use super::Shared;
use super::error::LinkError;
use super::handshake::{Socket, handshake_as_dialer};
use super::routes::Queue;

/// Log target of this module, which operators filter by.
const LOG_TARGET: &str = "jaypin::links::carry";
/// Longest time to connect to a peer and to complete the handshake.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between heartbeats on a connection that sends no messages.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a received frame after which a connection counts as lost; also the longest
/// time to send a frame.
const PEER_TIMEOUT: Duration = Duration::from_millis(550);
/// Time without a message after which a link that is not permanent is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest frame between hosts, in bytes: the largest rule file with room for its envelope.
const MAX_FRAME_BYTES: usize = 10 << 20;

/// Returns the WebSocket settings of connections between hosts.
pub fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

/// Why an established connection ended.
#[derive(Debug)]
pub enum ConnectionEnd {
    /// One end closed it because it was idle, or its queue was closed.
    Idle,
    /// It failed or became unresponsive.
    Lost(LinkError),
}

/// Dials a peer and runs the link until it is idle or the peer can't be reached.
pub async fn dial_and_run(shared: Arc<Shared>, peer: HostId, number: u64, mut queue: Queue) {
    if let Err(error) = dial_until_idle(&shared, &peer, number, &mut queue).await {
        shared.routes().close(&peer, number);
        report_lost(&shared, peer, &error);
    }
}

/// Reports to the reducer whether an unreachable peer exited or is unresponsive.
fn report_lost(shared: &Shared, peer: HostId, error: &LinkError) {
    log::info!(target: LOG_TARGET, peer:% = peer, error:%; "could not reach the peer");
    shared.send_event(if error.shows_peer_exited() {
        Event::PeerExited(peer)
    } else {
        Event::PeerUnresponsive(peer)
    });
}

/// Dials a peer and replaces each lost connection at once; fails when a dial fails.
///
/// A device on the path can drop the state of a connection, which then goes silent although
/// a new connection works. The peer therefore counts as lost only if a new connection fails
/// too.
async fn dial_until_idle(
    shared: &Shared,
    peer: &HostId,
    number: u64,
    queue: &mut Queue,
) -> Result<(), LinkError> {
    loop {
        let address = shared.address_of(peer).ok_or(LinkError::NoAddress)?;
        let (socket, host, incarnation) = connect(shared, address).await?;
        if host != *peer {
            return Err(LinkError::AnotherHost { host });
        }
        shared.send_event(Event::PeerConnected { host, incarnation });
        match run_connection(shared, peer, socket, queue, true).await {
            ConnectionEnd::Idle if shared.routes().close_idle(peer, number, queue) => return Ok(()),
            ConnectionEnd::Idle => {}
            ConnectionEnd::Lost(error) => {
                log::info!(
                    target: LOG_TARGET, peer:% = peer, error:%;
                    "link connection lost; reconnecting"
                );
            }
        }
    }
}

/// Dials the address of an unknown host, which then sends what it knows of the fleet.
pub async fn dial_address(shared: &Arc<Shared>, address: SocketAddr) {
    match connect(shared, address).await {
        Ok((_, host, _)) if host == shared.identity.host => {}
        Ok((socket, host, incarnation)) => {
            let opened = shared.routes().open(&host);
            let Some((number, queue)) = opened else {
                return;
            };
            shared.send_event(Event::PeerConnected {
                host: host.clone(),
                incarnation,
            });
            tokio::spawn(run_link(shared.clone(), host, number, socket, queue));
        }
        Err(error) => {
            log::info!(
                target: LOG_TARGET, address:%, error:%;
                "could not connect to a configured peer address"
            );
        }
    }
}

/// Runs a link over an established connection, and over new ones when that is lost.
pub async fn run_link(
    shared: Arc<Shared>,
    peer: HostId,
    number: u64,
    socket: Socket,
    mut queue: Queue,
) {
    match run_connection(&shared, &peer, socket, &mut queue, false).await {
        ConnectionEnd::Idle if shared.routes().close_idle(&peer, number, &queue) => return,
        ConnectionEnd::Idle => {}
        ConnectionEnd::Lost(error) => {
            log::info!(
                target: LOG_TARGET, peer:% = peer, error:%;
                "link connection lost; reconnecting"
            );
        }
    }
    dial_and_run(shared, peer, number, queue).await;
}

/// Connects to an address; returns the connection with the host and the incarnation that the
/// other end proved.
async fn connect(shared: &Shared, address: SocketAddr) -> Result<(Socket, HostId, u64), LinkError> {
    let connecting = async {
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
        let url = format!("ws://{address}/");
        let (mut socket, _) = client_async_with_config(url, stream, Some(socket_config())).await?;
        let hello = handshake_as_dialer(&mut socket, &shared.identity).await?;
        Ok((socket, hello.host, hello.incarnation))
    };
    let connected = timeout(DIAL_TIMEOUT, connecting).await;
    connected.unwrap_or(Err(LinkError::Timeout))
}

/// Sends the queued messages and receives the peer's until the connection ends; `closes_idle`
/// is whether this end closes the connection when it is idle.
pub async fn run_connection(
    shared: &Shared,
    peer: &HostId,
    mut socket: Socket,
    queue: &mut Queue,
    closes_idle: bool,
) -> ConnectionEnd {
    shared.counters.opened();
    let mut heartbeat = interval(HEARTBEAT_INTERVAL);
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut last_received, mut last_message, mut last_sent) =
        (Instant::now(), Instant::now(), Instant::now());
    loop {
        let result = tokio::select! {
            frame = socket.next() => {
                last_received = Instant::now();
                match handle_frame(shared, peer, frame) {
                    Ok(FrameKind::Message) => { last_message = last_received; Ok(()) }
                    Ok(FrameKind::Heartbeat) => Ok(()),
                    Ok(FrameKind::Close) => return ConnectionEnd::Idle,
                    Err(error) => Err(error),
                }
            }
            message = queue.recv() => {
                let Some(message) = message else { return ConnectionEnd::Idle };
                (last_message, last_sent) = (Instant::now(), Instant::now());
                send(shared, &mut socket, message, queue).await
            }
            () = sleep_until(last_received + PEER_TIMEOUT) => Err(LinkError::Unresponsive),
            _ = heartbeat.tick() => {
                if closes_idle
                    && last_message.elapsed() > IDLE_TIMEOUT
                    && !is_permanent(shared, peer)
                {
                    let _ = timeout(PEER_TIMEOUT, socket.close(None)).await;
                    return ConnectionEnd::Idle;
                } else if last_sent.elapsed() >= HEARTBEAT_INTERVAL / 2 {
                    send_heartbeat(shared, &mut socket).await
                } else {
                    Ok(())
                }
            }
        };
        if let Err(error) = result {
            return ConnectionEnd::Lost(error);
        }
    }
}

fn is_permanent(shared: &Shared, peer: &HostId) -> bool {
    shared.permanent_peers.borrow().contains(peer)
}

/// Kind of a received frame.
enum FrameKind {
    Message,
    Heartbeat,
    Close,
}

/// Counts a received frame and forwards a message in it to the reducer.
fn handle_frame(
    shared: &Shared,
    peer: &HostId,
    frame: Option<Result<WsMessage, tokio_tungstenite::tungstenite::Error>>,
) -> Result<FrameKind, LinkError> {
    let bytes = match frame {
        Some(Ok(WsMessage::Binary(bytes))) => bytes,
        Some(Ok(WsMessage::Close(_))) => return Ok(FrameKind::Close),
        Some(Ok(other)) => {
            shared.counters.received(other.len(), false);
            return Ok(FrameKind::Heartbeat);
        }
        Some(Err(error)) => return Err(error.into()),
        None => return Err(LinkError::Closed),
    };
    shared.counters.received(bytes.len(), true);
    let Frame::Message(wire) = decode(&bytes)? else {
        return Err(LinkError::UnexpectedFrame);
    };
    shared.send_event(Event::Link {
        from: peer.clone(),
        message: wire.into(),
    });
    Ok(FrameKind::Message)
}

/// Sends a message; flushes only when the queue is empty, so that queued messages go out
/// together.
async fn send(
    shared: &Shared,
    socket: &mut Socket,
    message: Message,
    queue: &Queue,
) -> Result<(), LinkError> {
    let bytes = encode(&Frame::Message(message.into()))?;
    shared.counters.sent(bytes.len(), true);
    let sending = async {
        socket.feed(WsMessage::binary(bytes)).await?;
        if queue.is_empty() {
            socket.flush().await?;
        }
        Ok(())
    };
    let sent = timeout(PEER_TIMEOUT, sending).await;
    sent.unwrap_or(Err(LinkError::Unresponsive))
}

/// Sends an unsolicited pong as a heartbeat, which takes half the packets of a ping that is
/// answered.
async fn send_heartbeat(shared: &Shared, socket: &mut Socket) -> Result<(), LinkError> {
    shared.counters.sent(0, false);
    let sending = socket.send(WsMessage::Pong(Bytes::new()));
    match timeout(PEER_TIMEOUT, sending).await {
        Ok(sent) => Ok(sent?),
        Err(_) => Err(LinkError::Unresponsive),
    }
}
