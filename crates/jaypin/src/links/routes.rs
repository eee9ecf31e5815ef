//! Which queue leads to which peer.

use std::collections::HashMap;

use jaypin_core::{HostId, Message};
use tokio::sync::mpsc;

/// Messages that may wait for one peer; more are dropped and asked for again.
const QUEUE: usize = 4_096;

/// Receiving end of a route: whoever holds it carries its messages.
pub type Queue = mpsc::Receiver<Message>;

/// The sending ends of all links, by peer.
#[derive(Debug, Default)]
pub struct Routes {
    routes: HashMap<HostId, Route>,
    opened: u64,
}

#[derive(Debug)]
struct Route {
    number: u64,
    tx: mpsc::Sender<Message>,
}

/// What became of a message.
#[derive(Debug)]
pub enum Routed {
    /// It waits for its link.
    Queued,
    /// Too many wait; it was dropped.
    Full,
    /// It waits in a new queue, which somebody has to carry.
    Opened(u64, Queue),
}

impl Routes {
    /// Queues a message, in a new queue when there is none.
    pub fn send(&mut self, to: &HostId, message: Message) -> Routed {
        let mut message = message;
        if let Some(route) = self.routes.get(to) {
            match route.tx.try_send(message) {
                Ok(()) => return Routed::Queued,
                Err(mpsc::error::TrySendError::Full(_)) => return Routed::Full,
                Err(mpsc::error::TrySendError::Closed(unsent)) => message = unsent,
            }
        }
        let (number, queue) = self.replace(to, Some(message));
        Routed::Opened(number, queue)
    }

    /// Opens a queue to a peer that has none.
    pub fn open(&mut self, to: &HostId) -> Option<(u64, Queue)> {
        let open = self
            .routes
            .get(to)
            .is_some_and(|route| !route.tx.is_closed());
        (!open).then(|| self.replace(to, None))
    }

    /// Closes a queue, unless another took its place.
    pub fn close(&mut self, to: &HostId, number: u64) {
        if self
            .routes
            .get(to)
            .is_some_and(|route| route.number == number)
        {
            self.routes.remove(to);
        }
    }

    /// Closes a queue in which nothing waits; says whether it did.
    pub fn close_idle(&mut self, to: &HostId, number: u64, queue: &Queue) -> bool {
        let idle = queue.is_empty();
        if idle {
            self.close(to, number);
        }
        idle
    }

    /// Whether no peer has a queue.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    fn replace(&mut self, to: &HostId, first: Option<Message>) -> (u64, Queue) {
        let (tx, queue) = mpsc::channel(QUEUE);
        if let Some(message) = first {
            let _ = tx.try_send(message);
        }
        self.opened += 1;
        let number = self.opened;
        self.routes.insert(to.clone(), Route { number, tx });
        (number, queue)
    }
}
