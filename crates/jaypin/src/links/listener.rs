//! Accepts connections from peers and rejects unauthenticated ones.

use std::sync::Arc;
use std::time::Duration;

use jaypin_core::Event;
use jaypin_wire::Hello;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;
use tokio_tungstenite::accept_async_with_config;

use super::connection::{run_connection, run_link, socket_config};
use super::error::LinkError;
use super::handshake::{Socket, handshake_as_listener};
use super::{Links, Shared};

/// Longest time for a dialer to complete the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of connections in the handshake; further ones are closed at once, so that
/// unauthenticated clients can't exhaust this host's memory.
const MAX_IN_HANDSHAKE: usize = 512;

impl Links {
    /// Accepts peers until the task is dropped.
    pub async fn accept(self, listener: TcpListener) {
        let handshakes = Arc::new(Semaphore::new(MAX_IN_HANDSHAKE));
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                continue;
            };
            let Ok(permit) = handshakes.clone().try_acquire_owned() else {
                continue;
            };
            let shared = self.shared.clone();
            tokio::spawn(async move {
                let authenticated = authenticate(&shared, stream).await;
                drop(permit);
                match authenticated {
                    Ok((socket, hello)) => serve(shared, hello, socket).await,
                    Err(error) => {
                        shared.counters.rejected();
                        log::warn!(from:%, error:%; "rejected an incoming link connection");
                    }
                }
            });
        }
    }
}

/// Performs the handshake on an accepted connection.
async fn authenticate(shared: &Shared, stream: TcpStream) -> Result<(Socket, Hello), LinkError> {
    let _ = stream.set_nodelay(true);
    let authenticating = async {
        let mut socket = accept_async_with_config(stream, Some(socket_config())).await?;
        let hello = handshake_as_listener(&mut socket, &shared.identity).await?;
        Ok((socket, hello))
    };
    let authenticated = timeout(HANDSHAKE_TIMEOUT, authenticating).await;
    authenticated.unwrap_or(Err(LinkError::Timeout))
}

/// Runs an authenticated connection, which also sends messages to the peer unless another
/// connection does.
async fn serve(shared: Arc<Shared>, hello: Hello, socket: Socket) {
    let (peer, incarnation) = (hello.host, hello.incarnation);
    let opened = shared.routes().open(&peer);
    // The route is opened first, so that messages that the reducer sends on this event use
    // it.
    shared.send_event(Event::PeerConnected {
        host: peer.clone(),
        incarnation,
    });
    if let Some((number, queue)) = opened {
        run_link(shared, peer, number, socket, queue).await;
    } else {
        let (_sender, mut unused) = mpsc::channel(1);
        run_connection(&shared, &peer, socket, &mut unused, false).await;
    }
}
