//! A TCP proxy that injects network faults: delays, closed connections and lost bytes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// How the proxy treats connections and the bytes on them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards all bytes.
    #[default]
    Pass,
    /// Forwards bytes after a delay.
    Delay(Duration),
    /// Closes all open connections, and closes new ones as soon as they are accepted.
    Cut,
    /// Keeps connections open and drops bytes from the client. Once a connection has lost a byte,
    /// nothing more is forwarded in that direction, even after the mode changes.
    BlackholeUp,
    /// Like `BlackholeUp`, but drops bytes from the server.
    BlackholeDown,
    /// Keeps existing connections open but drops their bytes in both directions. Once a connection
    /// has lost a byte, nothing more is forwarded in that direction, even after the mode changes.
    /// Connections opened during this mode are forwarded.
    BlackholeOpen,
    /// Holds back the bytes of all connections until the mode changes, then continues without loss.
    Freeze,
}

/// A running proxy; dropping it stops the proxy.
#[derive(Debug)]
pub struct Proxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    mode: Arc<watch::Sender<ProxyMode>>,
    server: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy on `address` that forwards connections to `target`.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn start(address: &str, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(watch::Sender::new(ProxyMode::Pass));
        let server = tokio::spawn(accept_connections(listener, target, mode.clone()));
        Ok(Self {
            address,
            mode,
            server,
        })
    }

    /// Sets the mode for open and new connections.
    pub fn set(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    mode: Arc<watch::Sender<ProxyMode>>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((client, _)) = accepted else { continue };
                connections.spawn(proxy_connection(client, target, mode.subscribe()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn proxy_connection(client: TcpStream, target: SocketAddr, mode: watch::Receiver<ProxyMode>) {
    if *mode.borrow() == ProxyMode::Cut {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let mode_at_open = *mode.borrow();
    let up = forward(
        client_read,
        server_write,
        mode.clone(),
        mode_at_open,
        ProxyMode::BlackholeUp,
    );
    let down = forward(
        server_read,
        client_write,
        mode.clone(),
        mode_at_open,
        ProxyMode::BlackholeDown,
    );
    tokio::select! {
        ((), ()) = async { tokio::join!(up, down) } => {}
        () = wait_for_cut(mode) => {}
    }
}

async fn wait_for_cut(mut mode: watch::Receiver<ProxyMode>) {
    if mode.wait_for(|mode| *mode == ProxyMode::Cut).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut mode: watch::Receiver<ProxyMode>,
    mode_at_open: ProxyMode,
    blackhole: ProxyMode,
) {
    let mut buf = vec![0; 16 * 1024];
    let mut lost_bytes = false;
    while let Ok(count) = from.read(&mut buf).await {
        if count == 0 {
            break;
        }
        if mode
            .wait_for(|mode| *mode != ProxyMode::Freeze)
            .await
            .is_err()
        {
            return;
        }
        let current = *mode.borrow();
        // TCP delivers bytes in order without gaps, so nothing may be forwarded after a lost byte.
        lost_bytes |= current == blackhole;
        lost_bytes |=
            current == ProxyMode::BlackholeOpen && mode_at_open != ProxyMode::BlackholeOpen;
        if lost_bytes {
            continue;
        }
        if let ProxyMode::Delay(delay) = current {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&buf[..count]).await.is_err() {
            break;
        }
    }
    if lost_bytes {
        std::future::pending::<()>().await;
    }
    let _ = to.shutdown().await;
}
