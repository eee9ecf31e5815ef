//! Handshake in which both ends of a connection prove possession of the fleet key.
//!
//! The listener first sends only a nonce, so that an unauthenticated dialer learns neither
//! its name nor its version nor its incarnation. A proof covers the nonces of both ends,
//! which prevents the replay of a recorded hello and proof. It also covers the role of its
//! sender, which prevents its reflection to that sender.

use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, KeyInit, Mac};
use jaypin_core::HostId;
use jaypin_wire::{Frame, Hello, LINK_VERSION, decode, encode};
use sha2::Sha256;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message as WsMessage;

use super::error::LinkError;

/// A connection between two hosts.
pub type Socket = WebSocketStream<TcpStream>;

/// Identity of this host on its links.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Id of this host.
    pub host: HostId,
    /// Incarnation of this host's process.
    pub incarnation: u64,
    /// Secret key shared by all hosts of the fleet.
    pub fleet_key: String,
}

/// Authenticates this host to a listener, then checks the listener's proof; returns the
/// listener's hello.
pub async fn handshake_as_dialer(
    socket: &mut Socket,
    identity: &Identity,
) -> Result<Hello, LinkError> {
    let Frame::Challenge(challenge) = next_frame(socket).await? else {
        return Err(LinkError::UnexpectedFrame);
    };
    let own = hello(identity);
    let proof = proof(identity, b"dialer", &challenge, &[&own])?;
    send_frame(socket, &Frame::Hello(own.clone())).await?;
    send_frame(socket, &Frame::Proof(tag(proof))).await?;
    let other = next_hello(socket).await?;
    let expected = self::proof(identity, b"listener", &challenge, &[&own, &other])?;
    verify_proof(socket, expected).await?;
    Ok(other)
}

/// Checks a dialer's proof, then authenticates this host to it; returns the dialer's hello.
pub async fn handshake_as_listener(
    socket: &mut Socket,
    identity: &Identity,
) -> Result<Hello, LinkError> {
    let challenge: [u8; 16] = rand::random();
    send_frame(socket, &Frame::Challenge(challenge)).await?;
    let other = next_hello(socket).await?;
    let expected = proof(identity, b"dialer", &challenge, &[&other])?;
    verify_proof(socket, expected).await?;
    let own = hello(identity);
    let proof = proof(identity, b"listener", &challenge, &[&other, &own])?;
    send_frame(socket, &Frame::Hello(own)).await?;
    send_frame(socket, &Frame::Proof(tag(proof))).await?;
    Ok(other)
}

fn hello(identity: &Identity) -> Hello {
    Hello {
        version: LINK_VERSION,
        host: identity.host.clone(),
        incarnation: identity.incarnation,
        nonce: rand::random(),
    }
}

/// Computes the MAC of a proof over role, challenge and hellos.
fn proof(
    identity: &Identity,
    role: &[u8],
    challenge: &[u8],
    hellos: &[&Hello],
) -> Result<Hmac<Sha256>, LinkError> {
    let mut mac = Hmac::<Sha256>::new_from_slice(identity.fleet_key.as_bytes())
        .map_err(|_| LinkError::NotAuthenticated)?;
    mac.update(role);
    mac.update(challenge);
    for hello in hellos {
        mac.update(&encode(hello)?);
    }
    Ok(mac)
}

fn tag(mac: Hmac<Sha256>) -> Vec<u8> {
    mac.finalize().into_bytes().to_vec()
}

/// Receives a proof and compares it with the expected one.
async fn verify_proof(socket: &mut Socket, expected: Hmac<Sha256>) -> Result<(), LinkError> {
    let Frame::Proof(proof) = next_frame(socket).await? else {
        return Err(LinkError::UnexpectedFrame);
    };
    expected
        .verify_slice(&proof)
        .map_err(|_| LinkError::NotAuthenticated)
}

/// Receives a hello and checks its link version.
async fn next_hello(socket: &mut Socket) -> Result<Hello, LinkError> {
    let Frame::Hello(hello) = next_frame(socket).await? else {
        return Err(LinkError::UnexpectedFrame);
    };
    if hello.version != LINK_VERSION {
        return Err(LinkError::Version {
            version: hello.version,
        });
    }
    Ok(hello)
}

async fn send_frame(socket: &mut Socket, frame: &Frame) -> Result<(), LinkError> {
    socket.send(WsMessage::binary(encode(frame)?)).await?;
    Ok(())
}

async fn next_frame(socket: &mut Socket) -> Result<Frame, LinkError> {
    match socket.next().await {
        Some(Ok(WsMessage::Binary(bytes))) => Ok(decode(&bytes)?),
        Some(Ok(_)) => Err(LinkError::UnexpectedFrame),
        Some(Err(error)) => Err(error.into()),
        None => Err(LinkError::Closed),
    }
}
