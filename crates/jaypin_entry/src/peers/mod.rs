//! Communication between hosts: reports as datagrams, and snapshots over connections.
//!
//! Reports are datagrams because a late report is worthless: the next one replaces it. A
//! connection would delay reports behind a lost one.

mod live_peers;
mod snapshot;
mod snapshot_client;
mod wire;

pub use live_peers::LivePeers;
pub use snapshot::serve_snapshots;
pub use snapshot_client::{
    PeerConfiguration, fetch_configuration, fetch_entries, watch_configuration, watch_entries,
};
pub use wire::{
    ConfigurationSnapshot, Datagram, EntriesProof, EntryChanges, WireError, decode_configuration,
    decode_datagram, decode_entries, decode_entry_changes, decode_report, encode_account_use,
    encode_configuration, encode_entries, encode_entry_changes, encode_report,
    encode_stream_message,
};

use std::net::SocketAddr;
use std::rc::Rc;

use jaypin_router::{AccountUse, Event, Report, StreamMessage};
use tokio::net::UdpSocket;

use crate::boot_clock::boot_time;
use crate::host::Host;

/// Size of the receive buffer. The load of 600 backend servers takes 10 KB of a report.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// UDP socket on which reports are sent and received.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
}

impl PeerSocket {
    /// Binds the socket.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket })
    }

    /// Sends a report to each address.
    pub fn send(&self, to: &[SocketAddr], report: &Report) {
        self.send_encoded(to, encode_report(report));
    }

    /// Sends the use of accounts to each address.
    pub fn send_account_use(&self, to: &[SocketAddr], account_use: &AccountUse) {
        self.send_encoded(to, encode_account_use(account_use));
    }

    /// Sends a message about the version of a stream to each address.
    pub fn send_stream_message(&self, to: &[SocketAddr], message: &StreamMessage) {
        self.send_encoded(to, encode_stream_message(message));
    }

    /// Sends a datagram to each address. One that can't be sent at once is dropped.
    fn send_encoded(&self, to: &[SocketAddr], encoded: Result<Vec<u8>, WireError>) {
        let bytes = match encoded {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(error:%; "encoding a report failed; it is not sent");
                return;
            }
        };
        for address in to {
            if let Err(error) = self.socket.try_send_to(&bytes, *address) {
                log::debug!(peer:% = address, error:%; "sending a report to a peer failed; it is dropped");
            }
        }
    }
}

/// Receives peers' reports and applies them until the task is dropped.
pub async fn receive_reports(host: Rc<Host>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match host.peers.socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:%; "receiving a report failed");
                continue;
            }
        };
        match decode_datagram(&buf[..length]) {
            Ok(Datagram::Report(report)) => {
                let boot_time = boot_time();
                host.apply(Event::ReportReceived { report, boot_time });
            }
            Ok(Datagram::AccountUse(account_use)) => {
                host.apply(Event::AccountUseReceived(account_use));
            }
            Ok(Datagram::Stream(message)) => {
                host.apply(Event::StreamMessageReceived { from, message });
            }
            Err(error) => log::warn!(peer:% = from, error:%; "invalid report from a peer; ignored"),
        }
    }
}
