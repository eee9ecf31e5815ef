//! The mutual proof of the fleet key, before the first message.
//!
//! The listener sends a number used once, and nothing about itself until the dialer
//! proved the key: a stranger learns no name, no version, no incarnation. A proof covers
//! the numbers of both ends, so a recorded hello and proof are worth nothing later, and
//! it covers the side, so a proof can't be sent back to its maker.

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

/// Proves this host to a listener and checks who listens.
pub async fn prove_as_dialer(socket: &mut Socket, identity: &Identity) -> Result<Hello, LinkError> {
    let Frame::Challenge(challenge) = next_frame(socket).await? else {
        return Err(LinkError::UnexpectedFrame);
    };
    let own = hello(identity);
    let proof = proof(identity, b"dialer", &challenge, &[&own])?;
    send_frame(socket, &Frame::Hello(own.clone())).await?;
    send_frame(socket, &Frame::Proof(tag(proof))).await?;
    let other = next_hello(socket).await?;
    let expected = self::proof(identity, b"listener", &challenge, &[&own, &other])?;
    check(socket, expected).await?;
    Ok(other)
}

/// Checks a dialer and then proves this host to it.
pub async fn prove_as_listener(
    socket: &mut Socket,
    identity: &Identity,
) -> Result<Hello, LinkError> {
    let challenge: [u8; 16] = rand::random();
    send_frame(socket, &Frame::Challenge(challenge)).await?;
    let other = next_hello(socket).await?;
    let expected = proof(identity, b"dialer", &challenge, &[&other])?;
    check(socket, expected).await?;
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

fn proof(
    identity: &Identity,
    side: &[u8],
    challenge: &[u8],
    hellos: &[&Hello],
) -> Result<Hmac<Sha256>, LinkError> {
    let mut mac = Hmac::<Sha256>::new_from_slice(identity.fleet_key.as_bytes())
        .map_err(|_| LinkError::Stranger)?;
    mac.update(side);
    mac.update(challenge);
    for hello in hellos {
        mac.update(&encode(hello)?);
    }
    Ok(mac)
}

fn tag(mac: Hmac<Sha256>) -> Vec<u8> {
    mac.finalize().into_bytes().to_vec()
}

async fn check(socket: &mut Socket, expected: Hmac<Sha256>) -> Result<(), LinkError> {
    let Frame::Proof(proof) = next_frame(socket).await? else {
        return Err(LinkError::UnexpectedFrame);
    };
    expected
        .verify_slice(&proof)
        .map_err(|_| LinkError::Stranger)
}

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
