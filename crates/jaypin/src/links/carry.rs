//! Carries the messages of one peer over connections, one after another.

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
use super::handshake::{Socket, prove_as_dialer};
use super::routes::Queue;

/// Longest time to connect to a peer and prove each other.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// How often a link that has nothing else to say shows that its host runs.
const HEARTBEAT: Duration = Duration::from_millis(200);
/// Time without a byte after which a link is taken for silent.
const SILENT_AFTER: Duration = Duration::from_millis(550);
/// Time without a message after which a link that need not stay is closed.
const IDLE_AFTER: Duration = Duration::from_secs(10);
/// Largest frame between hosts: the largest rule file with room for what is around it.
const MAX_FRAME: usize = 10 << 20;

/// Limits of every connection between hosts.
pub fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME))
        .max_frame_size(Some(MAX_FRAME))
}

/// Why a connection that worked is no more.
#[derive(Debug)]
pub enum End {
    /// One end closed it, since there was nothing to say.
    Idle,
    /// It broke or went silent.
    Lost(LinkError),
}

/// Dials a peer and carries its messages until the link is idle or the peer gone.
pub async fn dial(shared: Arc<Shared>, peer: HostId, number: u64, mut queue: Queue) {
    if let Err(error) = keep_dialing(&shared, &peer, number, &mut queue).await {
        shared.routes().close(&peer, number);
        report_lost(&shared, peer, &error);
    }
}

/// Tells the reducer why a peer can't be reached.
fn report_lost(shared: &Shared, peer: HostId, error: &LinkError) {
    log::info!(peer:% = peer, error:%; "peer not reached");
    shared.tell(if error.is_refusal() {
        Event::PeerExited(peer)
    } else {
        Event::PeerUnresponsive(peer)
    });
}

/// A connection that was lost is made anew at once; only a peer that does not answer the
/// new one either is given up.
///
/// Guards against a connection that something in between lost track of: it shows as
/// silence on the old connection, while a new one works.
async fn keep_dialing(
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
        shared.tell(Event::PeerConnected { host, incarnation });
        match carry(shared, peer, socket, queue, true).await {
            End::Idle if shared.routes().close_idle(peer, number, queue) => return Ok(()),
            End::Idle => {}
            End::Lost(error) => log::info!(peer:% = peer, error:%; "link lost"),
        }
    }
}

/// Dials an address whose host is not known, to be told of the fleet.
pub async fn dial_address(shared: &Arc<Shared>, address: SocketAddr) {
    match connect(shared, address).await {
        Ok((_, host, _)) if host == shared.identity.host => {}
        Ok((socket, host, incarnation)) => {
            let opened = shared.routes().open(&host);
            let Some((number, queue)) = opened else {
                return;
            };
            shared.tell(Event::PeerConnected {
                host: host.clone(),
                incarnation,
            });
            tokio::spawn(carry_on(shared.clone(), host, number, socket, queue));
        }
        Err(error) => log::info!(address:%, error:%; "no peer met"),
    }
}

/// Carries messages over a connection that is there, then over new ones.
pub async fn carry_on(
    shared: Arc<Shared>,
    peer: HostId,
    number: u64,
    socket: Socket,
    mut queue: Queue,
) {
    match carry(&shared, &peer, socket, &mut queue, false).await {
        End::Idle if shared.routes().close_idle(&peer, number, &queue) => return,
        End::Idle => {}
        End::Lost(error) => log::info!(peer:% = peer, error:%; "link lost"),
    }
    dial(shared, peer, number, queue).await;
}

async fn connect(shared: &Shared, address: SocketAddr) -> Result<(Socket, HostId, u64), LinkError> {
    let connecting = async {
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
        let url = format!("ws://{address}/");
        let (mut socket, _) = client_async_with_config(url, stream, Some(socket_config())).await?;
        let met = prove_as_dialer(&mut socket, &shared.identity).await?;
        Ok((socket, met.host, met.incarnation))
    };
    let connected = timeout(DIAL_TIMEOUT, connecting).await;
    connected.unwrap_or(Err(LinkError::Timeout))
}

/// Carries messages both ways until the connection ends.
pub async fn carry(
    shared: &Shared,
    peer: &HostId,
    mut socket: Socket,
    queue: &mut Queue,
    closes_idle: bool,
) -> End {
    shared.counters.opened();
    let mut beat = interval(HEARTBEAT);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut heard, mut used, mut spoke) = (Instant::now(), Instant::now(), Instant::now());
    loop {
        let result = tokio::select! {
            frame = socket.next() => {
                heard = Instant::now();
                match take_frame(shared, peer, frame) {
                    Ok(Taken::Message) => { used = heard; Ok(()) }
                    Ok(Taken::Heartbeat) => Ok(()),
                    Ok(Taken::Farewell) => return End::Idle,
                    Err(error) => Err(error),
                }
            }
            message = queue.recv() => {
                let Some(message) = message else { return End::Idle };
                (used, spoke) = (Instant::now(), Instant::now());
                send(shared, &mut socket, message, queue).await
            }
            () = sleep_until(heard + SILENT_AFTER) => Err(LinkError::Silent),
            _ = beat.tick() => {
                if closes_idle && used.elapsed() > IDLE_AFTER && !is_kept(shared, peer) {
                    let _ = timeout(SILENT_AFTER, socket.close(None)).await;
                    return End::Idle;
                } else if spoke.elapsed() >= HEARTBEAT / 2 {
                    send_heartbeat(shared, &mut socket).await
                } else {
                    Ok(())
                }
            }
        };
        if let Err(error) = result {
            return End::Lost(error);
        }
    }
}

fn is_kept(shared: &Shared, peer: &HostId) -> bool {
    shared.keep.borrow().contains(peer)
}

/// What a frame was.
enum Taken {
    Message,
    Heartbeat,
    Farewell,
}

fn take_frame(
    shared: &Shared,
    peer: &HostId,
    frame: Option<Result<WsMessage, tokio_tungstenite::tungstenite::Error>>,
) -> Result<Taken, LinkError> {
    let bytes = match frame {
        Some(Ok(WsMessage::Binary(bytes))) => bytes,
        Some(Ok(WsMessage::Close(_))) => return Ok(Taken::Farewell),
        Some(Ok(other)) => {
            shared.counters.received(other.len(), false);
            return Ok(Taken::Heartbeat);
        }
        Some(Err(error)) => return Err(error.into()),
        None => return Err(LinkError::Closed),
    };
    shared.counters.received(bytes.len(), true);
    let Frame::Message(wire) = decode(&bytes)? else {
        return Err(LinkError::UnexpectedFrame);
    };
    shared.tell(Event::Link {
        from: peer.clone(),
        message: wire.into(),
    });
    Ok(Taken::Message)
}

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
    let sent = timeout(SILENT_AFTER, sending).await;
    sent.unwrap_or(Err(LinkError::Silent))
}

/// An unsolicited pong is a one-way heartbeat: half the packets of ping and pong.
async fn send_heartbeat(shared: &Shared, socket: &mut Socket) -> Result<(), LinkError> {
    shared.counters.sent(0, false);
    let sending = socket.send(WsMessage::Pong(Bytes::new()));
    match timeout(SILENT_AFTER, sending).await {
        Ok(sent) => Ok(sent?),
        Err(_) => Err(LinkError::Silent),
    }
}
