//! Message queues of the links, by peer.

use std::collections::HashMap;

use jaypin_core::{HostId, Message};
use tokio::sync::mpsc;

/// Largest number of messages queued for one peer; further ones are dropped and later
/// requested again.
const QUEUE_CAPACITY: usize = 4_096;

/// Receiving end of a message queue; the task that holds it sends the messages.
pub type Queue = mpsc::Receiver<Message>;

/// Sending ends of the queues of all links, by peer.
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

/// Result of queueing a message.
#[derive(Debug)]
pub enum SendOutcome {
    /// The message is in the queue of an open link.
    Queued,
    /// The queue is full, and the message was dropped.
    Full,
    /// The message is in a new queue with this number, for which the caller has to run a link.
    Opened(u64, Queue),
}

impl Routes {
    /// Queues a message; creates a queue if the peer has none.
    pub fn send(&mut self, to: &HostId, message: Message) -> SendOutcome {
        let mut message = message;
        if let Some(route) = self.routes.get(to) {
            match route.tx.try_send(message) {
                Ok(()) => return SendOutcome::Queued,
                Err(mpsc::error::TrySendError::Full(_)) => return SendOutcome::Full,
                Err(mpsc::error::TrySendError::Closed(unsent)) => message = unsent,
            }
        }
        let (number, queue) = self.replace(to, Some(message));
        SendOutcome::Opened(number, queue)
    }

    /// Creates a queue to a peer; returns `None` if the peer has an open one.
    pub fn open(&mut self, to: &HostId) -> Option<(u64, Queue)> {
        let open = self
            .routes
            .get(to)
            .is_some_and(|route| !route.tx.is_closed());
        (!open).then(|| self.replace(to, None))
    }

    /// Closes the queue with this number, unless it was replaced.
    pub fn close(&mut self, to: &HostId, number: u64) {
        if self
            .routes
            .get(to)
            .is_some_and(|route| route.number == number)
        {
            self.routes.remove(to);
        }
    }

    /// Closes a queue if it is empty, and returns whether it is.
    pub fn close_idle(&mut self, to: &HostId, number: u64, queue: &Queue) -> bool {
        let idle = queue.is_empty();
        if idle {
            self.close(to, number);
        }
        idle
    }

    /// Returns whether no peer has a queue.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Creates the queue of a peer, with a first message if there is one.
    fn replace(&mut self, to: &HostId, first: Option<Message>) -> (u64, Queue) {
        let (tx, queue) = mpsc::channel(QUEUE_CAPACITY);
        if let Some(message) = first {
            let _ = tx.try_send(message);
        }
        self.opened += 1;
        let number = self.opened;
        self.routes.insert(to.clone(), Route { number, tx });
        (number, queue)
    }
}
