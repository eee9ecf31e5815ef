//! Links to peers: authenticated WebSocket connections that carry CBOR frames.
//!
//! A link carries messages both ways, whichever end dialed it. Links to permanent peers stay
//! open; others are opened when there is a message to send and closed when they are idle.

mod connection;
mod counters;
mod error;
mod handshake;
mod listener;
mod routes;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crossbeam::channel::Sender;
use jaypin_core::{Event, HostId, Message};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::snapshot::Snapshot;
pub use counters::LinkCounters;
pub use handshake::Identity;
use routes::{Routes, SendOutcome};

/// Pause between checks for missing permanent links, and between attempts to reach a
/// configured address.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Time for the host with the lower id to dial before its peer does.
const DIAL_HEAD_START: Duration = Duration::from_millis(200);

/// All links of this host.
#[derive(Debug, Clone)]
pub struct Links {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    identity: Identity,
    snapshots: watch::Receiver<Arc<Snapshot>>,
    events: Sender<Event>,
    routes: Mutex<Routes>,
    permanent_peers: watch::Sender<BTreeSet<HostId>>,
    counters: Arc<LinkCounters>,
}

impl Links {
    /// Creates the set without an open link.
    pub fn new(
        identity: Identity,
        snapshots: watch::Receiver<Arc<Snapshot>>,
        events: Sender<Event>,
    ) -> Self {
        let shared = Shared {
            identity,
            snapshots,
            events,
            routes: Mutex::default(),
            permanent_peers: watch::Sender::default(),
            counters: Arc::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the traffic counters of all links.
    pub fn counters(&self) -> Arc<LinkCounters> {
        self.shared.counters.clone()
    }

    /// Queues a message and opens a link if there is none; a peer that can't be reached is
    /// reported to the reducer.
    pub fn send(&self, to: &HostId, message: Message) {
        let outcome = self.shared.routes().send(to, message);
        match outcome {
            SendOutcome::Queued => {}
            SendOutcome::Full => {
                log::warn!(
                    peer:% = to;
                    "dropped a message to the peer because its link queue is full"
                );
            }
            SendOutcome::Opened(number, queue) => {
                tokio::spawn(connection::dial_and_run(
                    self.shared.clone(),
                    to.clone(),
                    number,
                    queue,
                ));
            }
        }
    }

    /// Replaces the set of peers whose links stay open.
    pub fn set_permanent_peers(&self, peers: Vec<HostId>) {
        self.shared
            .permanent_peers
            .send_replace(peers.into_iter().collect());
    }

    /// Opens missing links to permanent peers until the task is dropped.
    pub async fn maintain_permanent_links(self) {
        let mut changes = self.shared.permanent_peers.subscribe();
        loop {
            let peers = changes.borrow_and_update().clone();
            self.open_missing(peers.iter().filter(|peer| self.dials_first(peer)));
            sleep(DIAL_HEAD_START).await;
            let peers = changes.borrow_and_update().clone();
            self.open_missing(peers.iter());
            tokio::select! {
                _ = changes.changed() => {}
                () = sleep(RETRY_PAUSE) => {}
            }
        }
    }

    /// Dials the configured addresses in turn while no link is open, to join the fleet; ends
    /// when the task is dropped.
    pub async fn join_fleet(self, peers: Vec<SocketAddr>) {
        for address in peers.into_iter().cycle() {
            if self.shared.routes().is_empty() {
                connection::dial_address(&self.shared, address).await;
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns whether this host dials first. The link is permanent at both ends, but only one
    /// of them should dial.
    fn dials_first(&self, peer: &HostId) -> bool {
        self.shared.identity.host < *peer
    }

    /// Opens the links to peers that have none.
    fn open_missing<'a>(&self, peers: impl Iterator<Item = &'a HostId>) {
        for peer in peers {
            let opened = self.shared.routes().open(peer);
            if let Some((number, queue)) = opened {
                tokio::spawn(connection::dial_and_run(
                    self.shared.clone(),
                    peer.clone(),
                    number,
                    queue,
                ));
            }
        }
    }
}

impl Shared {
    fn routes(&self) -> MutexGuard<'_, Routes> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn send_event(&self, event: Event) {
        let _ = self.events.send(event);
    }

    /// Returns the link address of a peer from the host list.
    fn address_of(&self, peer: &HostId) -> Option<SocketAddr> {
        let snapshot = self.snapshots.borrow();
        let record = snapshot.hosts.hosts.iter().find(|host| host.id == *peer)?;
        record.link.parse().ok()
    }
}
