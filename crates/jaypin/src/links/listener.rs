//! Takes links from peers and turns strangers away.

use std::sync::Arc;
use std::time::Duration;

use jaypin_core::Event;
use jaypin_wire::Hello;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;
use tokio_tungstenite::accept_async_with_config;

use super::carry::{carry, carry_on, socket_config};
use super::error::LinkError;
use super::handshake::{Socket, prove_as_listener};
use super::{Links, Shared};

/// Longest time for a dialer to prove itself.
const PROOF_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections that may be unproved at once; more are closed at once, so that strangers
/// can't fill this host's memory.
const MAX_UNPROVED: usize = 512;

impl Links {
    /// Accepts peers until the task is dropped.
    pub async fn accept(self, listener: TcpListener) {
        let room = Arc::new(Semaphore::new(MAX_UNPROVED));
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                continue;
            };
            let Ok(permit) = room.clone().try_acquire_owned() else {
                continue;
            };
            let shared = self.shared.clone();
            tokio::spawn(async move {
                let met = meet(&shared, stream).await;
                drop(permit);
                match met {
                    Ok((socket, hello)) => serve(shared, hello, socket).await,
                    Err(error) => {
                        shared.counters.turned_away();
                        log::warn!(from:%, error:%; "link turned away");
                    }
                }
            });
        }
    }
}

async fn meet(shared: &Shared, stream: TcpStream) -> Result<(Socket, Hello), LinkError> {
    let _ = stream.set_nodelay(true);
    let meeting = async {
        let mut socket = accept_async_with_config(stream, Some(socket_config())).await?;
        let hello = prove_as_listener(&mut socket, &shared.identity).await?;
        Ok((socket, hello))
    };
    let met = timeout(PROOF_TIMEOUT, meeting).await;
    met.unwrap_or(Err(LinkError::Timeout))
}

/// Answers go back over the same connection, unless another one leads to the peer.
async fn serve(shared: Arc<Shared>, hello: Hello, socket: Socket) {
    let (peer, incarnation) = (hello.host, hello.incarnation);
    let opened = shared.routes().open(&peer);
    // The route comes first: what the reducer says to the peer then finds it.
    shared.tell(Event::PeerConnected {
        host: peer.clone(),
        incarnation,
    });
    if let Some((number, queue)) = opened {
        carry_on(shared, peer, number, socket, queue).await;
    } else {
        let (_held, mut unused) = mpsc::channel(1);
        carry(&shared, &peer, socket, &mut unused, false).await;
    }
}
