//! A TCP fault proxy: passes, delays, cuts, blackholes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// What the proxy does with bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ProxyMode {
    /// Passes them on.
    #[default]
    Pass,
    /// Passes them on after a delay.
    Delay(Duration),
    /// Cuts connections and refuses new ones.
    Cut,
    /// Keeps connections open and drops what comes from the client; a connection that
    /// lost a byte passes nothing more that way, also in a later mode.
    BlackholeUp,
    /// The same for what comes from the server.
    BlackholeDown,
    /// Keeps open connections and passes nothing on, either way, ever again;
    /// connections opened later pass.
    BlackholeOpen,
    /// Passes nothing on, on any connection, until the mode changes; then goes on.
    Freeze,
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    mode: Arc<watch::Sender<ProxyMode>>,
    server: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy before a target.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn start(address: &str, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(watch::Sender::new(ProxyMode::Pass));
        let server = tokio::spawn(accept(listener, target, mode.clone()));
        Ok(Self {
            address,
            mode,
            server,
        })
    }

    /// Changes what it does, for open and new connections.
    pub fn set(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: Arc<watch::Sender<ProxyMode>>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((client, _)) = accepted else { continue };
                connections.spawn(connect(client, target, mode.subscribe()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn connect(client: TcpStream, target: SocketAddr, mode: watch::Receiver<ProxyMode>) {
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
    let opened_in = *mode.borrow();
    let up = pass(
        client_read,
        server_write,
        mode.clone(),
        opened_in,
        ProxyMode::BlackholeUp,
    );
    let down = pass(
        server_read,
        client_write,
        mode.clone(),
        opened_in,
        ProxyMode::BlackholeDown,
    );
    tokio::select! {
        ((), ()) = async { tokio::join!(up, down) } => {}
        () = cut(mode) => {}
    }
}

async fn cut(mut mode: watch::Receiver<ProxyMode>) {
    if mode.wait_for(|mode| *mode == ProxyMode::Cut).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn pass(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut mode: watch::Receiver<ProxyMode>,
    opened_in: ProxyMode,
    blackhole: ProxyMode,
) {
    let mut buf = vec![0; 16 * 1024];
    let mut lost = false;
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
        let now = *mode.borrow();
        // Bytes behind lost ones must never pass: no TCP connection has a hole in it.
        lost |= now == blackhole;
        lost |= now == ProxyMode::BlackholeOpen && opened_in != ProxyMode::BlackholeOpen;
        if lost {
            continue;
        }
        if let ProxyMode::Delay(by) = now {
            tokio::time::sleep(by).await;
        }
        if to.write_all(&buf[..count]).await.is_err() {
            break;
        }
    }
    if lost {
        std::future::pending::<()>().await;
    }
    let _ = to.shutdown().await;
}
