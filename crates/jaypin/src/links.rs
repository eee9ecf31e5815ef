//! Links to peers: authenticated WebSocket connections that carry CBOR frames.
//!
//! Each host dials the peers it has something to say to; a connection carries
//! messages from its dialer only. Both ends prove that they hold the fleet key before
//! the first message.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crossbeam::channel::Sender;
use futures_util::{SinkExt, Stream, StreamExt};
use hmac::{Hmac, KeyInit, Mac};
use jaypin_core::{Event, HostId, Message};
use jaypin_wire::{Frame, Hello, LINK_VERSION, decode, encode};
use sha2::Sha256;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{interval, timeout};
use tokio_tungstenite::tungstenite::Message as WsMessage;
use tokio_tungstenite::{WebSocketStream, accept_async, client_async};

use crate::metrics;
use crate::snapshot::Snapshot;

/// Messages that may wait for one peer; more are dropped and asked for again.
const QUEUE: usize = 4_096;
/// Longest time to connect and prove each other.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a link is pinged.
const PING_INTERVAL: Duration = Duration::from_millis(300);
/// Time without a byte after which a link is taken for silent.
const SILENT_AFTER: Duration = Duration::from_secs(1);

/// Who this host is on its links.
#[derive(Debug, Clone)]
pub struct Identity {
    /// This host.
    pub host: HostId,
    /// This run of its process.
    pub incarnation: u64,
    /// Key shared by the fleet.
    pub fleet_key: String,
}

/// The sending ends of all links.
#[derive(Debug, Clone)]
pub struct Links {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    identity: Identity,
    snapshots: watch::Receiver<Arc<Snapshot>>,
    events: Sender<Event>,
    peers: Mutex<HashMap<HostId, mpsc::Sender<Message>>>,
}

impl Links {
    /// Starts without a link; they are made when there is something to say.
    pub fn new(
        identity: Identity,
        snapshots: watch::Receiver<Arc<Snapshot>>,
        events: Sender<Event>,
    ) -> Self {
        let peers = Mutex::default();
        Self {
            shared: Arc::new(Shared {
                identity,
                snapshots,
                events,
                peers,
            }),
        }
    }

    /// Queues a message; a peer that can't be reached is reported as lost.
    pub fn send(&self, to: &HostId, message: Message) {
        let mut peers = self
            .shared
            .peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let unsent = match peers.get(to) {
            Some(tx) => match tx.try_send(message) {
                Ok(()) => return,
                Err(mpsc::error::TrySendError::Full(_)) => {
                    log::warn!(peer:% = to; "link queue full, message dropped");
                    return;
                }
                Err(mpsc::error::TrySendError::Closed(message)) => message,
            },
            None => message,
        };
        self.open(&mut peers, to, unsent);
    }

    fn open(
        &self,
        peers: &mut HashMap<HostId, mpsc::Sender<Message>>,
        to: &HostId,
        first: Message,
    ) {
        let (tx, rx) = mpsc::channel(QUEUE);
        let _ = tx.try_send(first);
        peers.insert(to.clone(), tx);
        tokio::spawn(dial(self.shared.clone(), to.clone(), rx));
    }

    /// Accepts peers until the task is dropped.
    pub async fn accept(self, listener: TcpListener) {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                continue;
            };
            let shared = self.shared.clone();
            tokio::spawn(async move {
                if let Err(error) = serve_peer(&shared, stream).await {
                    log::warn!(from:% = from, error; "link turned away");
                }
            });
        }
    }
}

async fn dial(shared: Arc<Shared>, peer: HostId, mut rx: mpsc::Receiver<Message>) {
    let address = {
        let snapshot = shared.snapshots.borrow();
        let record = snapshot.hosts.hosts.iter().find(|host| host.id == peer);
        record.and_then(|host| host.link.parse().ok())
    };
    let result = match address {
        Some(address) => run_dialed(&shared, &peer, address, &mut rx).await,
        None => Err("not in the host list".to_owned()),
    };
    if let Err(error) = result {
        log::info!(peer:% = peer, error; "link lost");
        let _ = shared.events.send(Event::PeerLost(peer));
    }
}

async fn run_dialed(
    shared: &Shared,
    peer: &HostId,
    address: SocketAddr,
    rx: &mut mpsc::Receiver<Message>,
) -> Result<(), String> {
    let connect = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| error.to_string())?;
        let _ = stream.set_nodelay(true);
        let (mut socket, _) = client_async(format!("ws://{address}/"), stream)
            .await
            .map_err(|error| error.to_string())?;
        let met = prove(&mut socket, &shared.identity, Side::Dialer).await?;
        if met.host != *peer {
            return Err(format!("met {} instead", met.host));
        }
        Ok(socket)
    };
    let mut socket = match timeout(HANDSHAKE_TIMEOUT, connect).await {
        Ok(socket) => socket?,
        Err(_) => return Err("no handshake in time".to_owned()),
    };
    let _ = shared.events.send(Event::PeerBack(peer.clone()));
    let mut pings = interval(PING_INTERVAL);
    let mut heard = tokio::time::Instant::now();
    loop {
        tokio::select! {
            message = rx.recv() => {
                let Some(message) = message else { return Ok(()) };
                let bytes = encode(&Frame::Message(message.into()))
                    .map_err(|error| error.to_string())?;
                metrics::link_sent(bytes.len());
                socket.feed(WsMessage::binary(bytes)).await.map_err(|error| error.to_string())?;
                if rx.is_empty() {
                    socket.flush().await.map_err(|error| error.to_string())?;
                }
            }
            frame = socket.next() => {
                match frame {
                    Some(Ok(_)) => heard = tokio::time::Instant::now(),
                    Some(Err(error)) => return Err(error.to_string()),
                    None => return Err("closed".to_owned()),
                }
            }
            _ = pings.tick() => {
                // Guards against a connection that something in between lost track of:
                // it shows as silence, and a dead link is closed so that a new one works.
                if heard.elapsed() > SILENT_AFTER {
                    return Err("silent".to_owned());
                }
                let ping = WsMessage::Ping(Vec::new().into());
                socket.send(ping).await.map_err(|error| error.to_string())?;
            }
        }
    }
}

async fn serve_peer(shared: &Shared, stream: TcpStream) -> Result<(), String> {
    let _ = stream.set_nodelay(true);
    let handshake = async {
        let mut socket = accept_async(stream)
            .await
            .map_err(|error| error.to_string())?;
        let hello = prove(&mut socket, &shared.identity, Side::Listener).await?;
        Ok::<_, String>((socket, hello))
    };
    let (mut socket, hello) = match timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(met) => met?,
        Err(_) => return Err("no handshake in time".to_owned()),
    };
    let _ = shared.events.send(Event::PeerBack(hello.host.clone()));
    while let Ok(Some(Ok(frame))) = timeout(SILENT_AFTER, socket.next()).await {
        let WsMessage::Binary(bytes) = frame else {
            continue;
        };
        metrics::link_received(bytes.len());
        match decode(&bytes) {
            Ok(Frame::Message(wire)) => {
                let event = Event::Link {
                    from: hello.host.clone(),
                    message: wire.into(),
                };
                if shared.events.send(event).is_err() {
                    return Ok(());
                }
            }
            Ok(_) => return Err("a handshake frame after the handshake".to_owned()),
            Err(error) => return Err(error.to_string()),
        }
    }
    Ok(())
}

/// Which end of a link proves itself; a proof of one side is none for the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    Dialer,
    Listener,
}

/// Exchanges hellos and proofs. The listener speaks second, so that a stranger learns
/// nothing from it before proving the key.
async fn prove<S>(
    socket: &mut WebSocketStream<S>,
    identity: &Identity,
    side: Side,
) -> Result<Hello, String>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    let own = Hello {
        version: LINK_VERSION,
        host: identity.host.clone(),
        incarnation: identity.incarnation,
        nonce: rand::random(),
    };
    send_frame(socket, &Frame::Hello(own.clone())).await?;
    let Frame::Hello(other) = next_frame(socket).await? else {
        return Err("no hello".to_owned());
    };
    if other.version != LINK_VERSION {
        return Err(format!(
            "link version {} is not {LINK_VERSION}",
            other.version
        ));
    }
    let (dialer, listener) = match side {
        Side::Dialer => (&own, &other),
        Side::Listener => (&other, &own),
    };
    let expected = mac(&identity.fleet_key, b"dialer", dialer, listener)?;
    let answer = mac(&identity.fleet_key, b"listener", dialer, listener)?;
    if side == Side::Dialer {
        send_frame(
            socket,
            &Frame::Proof(expected.finalize().into_bytes().to_vec()),
        )
        .await?;
        check(socket, answer).await?;
    } else {
        check(socket, expected).await?;
        send_frame(
            socket,
            &Frame::Proof(answer.finalize().into_bytes().to_vec()),
        )
        .await?;
    }
    Ok(other)
}

async fn check<S>(socket: &mut WebSocketStream<S>, expected: Hmac<Sha256>) -> Result<(), String>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    let Frame::Proof(proof) = next_frame(socket).await? else {
        return Err("no proof".to_owned());
    };
    expected
        .verify_slice(&proof)
        .map_err(|_| "the peer does not hold the fleet key".to_owned())
}

fn mac(key: &str, role: &[u8], dialer: &Hello, listener: &Hello) -> Result<Hmac<Sha256>, String> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key.as_bytes()).map_err(|error| error.to_string())?;
    mac.update(role);
    for hello in [dialer, listener] {
        mac.update(&encode(hello).map_err(|error| error.to_string())?);
    }
    Ok(mac)
}

async fn send_frame<S>(socket: &mut WebSocketStream<S>, frame: &Frame) -> Result<(), String>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    let bytes = encode(frame).map_err(|error| error.to_string())?;
    socket
        .send(WsMessage::binary(bytes))
        .await
        .map_err(|error| error.to_string())
}

async fn next_frame(
    socket: &mut (impl Stream<Item = Result<WsMessage, tokio_tungstenite::tungstenite::Error>> + Unpin),
) -> Result<Frame, String> {
    match socket.next().await {
        Some(Ok(WsMessage::Binary(bytes))) => decode(&bytes).map_err(|error| error.to_string()),
        Some(Ok(_)) => Err("not a frame".to_owned()),
        Some(Err(error)) => Err(error.to_string()),
        None => Err("closed".to_owned()),
    }
}
