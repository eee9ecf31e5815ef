//! Bounds on callers' connections; connections without a request are closed first.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

/// Largest number of open connections; beyond it new ones are closed at once.
const MAX_OPEN: usize = 6_000;
/// Largest number of open connections that never sent a request.
const MAX_SILENT: usize = 1_000;

/// All open connections of the callers' listener.
///
/// Callers that connect and send nothing hold open sockets without a request, and would
/// keep others out once the process reaches its limit of connections. Beyond
/// [`MAX_SILENT`], the oldest silent connection is closed for each new one. A proper caller
/// sends its header at once and is silent for a moment only.
#[derive(Debug, Clone, Default)]
pub struct Connections {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    next: u64,
    open: usize,
    silent: BTreeMap<u64, Arc<Notify>>,
}

/// One open connection, which stops counting when it is dropped.
#[derive(Debug)]
pub struct Connection {
    number: u64,
    closed: Arc<Notify>,
    all: Connections,
}

impl Connections {
    /// Registers a new connection, or returns `None` if too many are open.
    pub fn admit(&self) -> Option<Connection> {
        let mut inner = self.lock();
        if inner.silent.len() >= MAX_SILENT
            && let Some((_, oldest)) = inner.silent.pop_first()
        {
            oldest.notify_one();
        }
        if inner.open >= MAX_OPEN {
            return None;
        }
        inner.open += 1;
        inner.next += 1;
        let number = inner.next;
        let closed = Arc::new(Notify::new());
        inner.silent.insert(number, closed.clone());
        Some(Connection {
            number,
            closed,
            all: self.clone(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Records that the caller sent a request, so that the connection is not evicted as
    /// silent.
    pub fn mark_active(&self) {
        self.all.lock().silent.remove(&self.number);
    }

    /// Completes when the connection is evicted in favour of a newer one.
    pub async fn evicted(&self) {
        self.closed.notified().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut inner = self.all.lock();
        inner.open -= 1;
        inner.silent.remove(&self.number);
    }
}
