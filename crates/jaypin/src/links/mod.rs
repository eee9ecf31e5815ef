//! Links to peers: authenticated WebSocket connections that carry CBOR frames.
//!
//! A link carries messages both ways, whoever dialed it. Links to partners stay; others
//! are made when there is something to say and close when nothing was said for a while.

mod carry;
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
use routes::{Routed, Routes};

/// Pause before a lost link to a partner is tried again.
const KEEP_PAUSE: Duration = Duration::from_secs(1);
/// Time that the peer with the lower name has to dial before the other one does.
const DIAL_TURN: Duration = Duration::from_millis(200);

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
    routes: Mutex<Routes>,
    keep: watch::Sender<BTreeSet<HostId>>,
    counters: Arc<LinkCounters>,
}

impl Links {
    /// Starts without a link; they are made when there is something to say.
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
            keep: watch::Sender::default(),
            counters: Arc::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// What went over all links so far.
    pub fn counters(&self) -> Arc<LinkCounters> {
        self.shared.counters.clone()
    }

    /// Queues a message; a peer that can't be reached is reported.
    pub fn send(&self, to: &HostId, message: Message) {
        let routed = self.shared.routes().send(to, message);
        match routed {
            Routed::Queued => {}
            Routed::Full => log::warn!(peer:% = to; "link queue full, message dropped"),
            Routed::Opened(number, queue) => {
                tokio::spawn(carry::dial(self.shared.clone(), to.clone(), number, queue));
            }
        }
    }

    /// Keeps links to these peers from now on.
    pub fn set_permanent_peers(&self, peers: Vec<HostId>) {
        self.shared.keep.send_replace(peers.into_iter().collect());
    }

    /// Makes kept links that are not there, until the task is dropped.
    pub async fn keep_up(self) {
        let mut changes = self.shared.keep.subscribe();
        loop {
            let kept = changes.borrow_and_update().clone();
            self.ensure(kept.iter().filter(|peer| self.dials_first(peer)));
            sleep(DIAL_TURN).await;
            let kept = changes.borrow_and_update().clone();
            self.ensure(kept.iter());
            tokio::select! {
                _ = changes.changed() => {}
                () = sleep(KEEP_PAUSE) => {}
            }
        }
    }

    /// Meets the fleet through known addresses while no link is open.
    pub async fn meet(self, peers: Vec<SocketAddr>) {
        for address in peers.into_iter().cycle() {
            if self.shared.routes().is_empty() {
                carry::dial_address(&self.shared, address).await;
            }
            sleep(KEEP_PAUSE).await;
        }
    }

    /// Both ends keep the same link; only one of them should make it.
    fn dials_first(&self, peer: &HostId) -> bool {
        self.shared.identity.host < *peer
    }

    fn ensure<'a>(&self, peers: impl Iterator<Item = &'a HostId>) {
        for peer in peers {
            let opened = self.shared.routes().open(peer);
            if let Some((number, queue)) = opened {
                tokio::spawn(carry::dial(
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

    fn tell(&self, event: Event) {
        let _ = self.events.send(event);
    }

    fn address_of(&self, peer: &HostId) -> Option<SocketAddr> {
        let snapshot = self.snapshots.borrow();
        let record = snapshot.hosts.hosts.iter().find(|host| host.id == *peer)?;
        record.link.parse().ok()
    }
}
