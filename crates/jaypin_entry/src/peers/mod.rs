//! What hosts tell and ask each other.
//!
//! Reports are datagrams, since one that is late is worth nothing: the next one says more. A
//! connection would hold reports back behind a lost one.

mod live_peers;
mod snapshot;
mod wire;

pub use live_peers::LivePeers;
pub use snapshot::{fetch_configuration, fetch_entries, serve_snapshots};
pub use wire::{
    ConfigurationSnapshot, WireError, decode_configuration, decode_entries, decode_report,
    encode_configuration, encode_entries, encode_report,
};

use std::net::SocketAddr;
use std::rc::Rc;

use jaypin_router::{Event, Report};
use tokio::net::UdpSocket;

use crate::boot_clock::boot_time;
use crate::host::Host;

/// Largest datagram: the load of 600 backend servers takes 10 KB.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Where reports come and go.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
}

impl PeerSocket {
    /// Opens it.
    ///
    /// # Errors
    /// Gives what the system gave.
    pub async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket })
    }

    /// Tells a report; what can't be sent now is not sent.
    pub fn send(&self, to: &[SocketAddr], report: &Report) {
        let bytes = match encode_report(report) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(error:%; "a report can't be encoded");
                return;
            }
        };
        for address in to {
            if let Err(error) = self.socket.try_send_to(&bytes, *address) {
                log::debug!(peer:% = address, error:%; "a report was not sent");
            }
        }
    }
}

/// Takes peers' reports until the task is dropped.
pub async fn receive_reports(host: Rc<Host>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match host.peers.socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:%; "a report was not received");
                continue;
            }
        };
        match decode_report(&buf[..length]) {
            Ok(report) => {
                let (report, boot_time) = (Box::new(report), boot_time());
                host.apply(Event::ReportReceived { report, boot_time });
            }
            Err(error) => log::warn!(peer:% = from, error:%; "a report makes no sense"),
        }
    }
}
