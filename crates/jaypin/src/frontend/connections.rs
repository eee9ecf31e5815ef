//! Bounds on callers' connections: silent ones make room for those that speak.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

/// Connections open at once; a newer one is closed when none can make room for it.
const MAX_OPEN: usize = 6_000;
/// Connections that may be open without ever having sent a request.
const MAX_SILENT: usize = 1_000;

/// All open connections of the callers' listener.
///
/// Guards against callers that connect and send nothing. They show as open sockets
/// without a request, and would keep others out once the process has as many as it may.
/// The oldest silent one is closed for each new one beyond the bound: a caller that means
/// it sends its header at once and counts as silent for a moment only.
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

/// One open connection; dropping it makes room.
#[derive(Debug)]
pub struct Connection {
    number: u64,
    closed: Arc<Notify>,
    all: Connections,
}

impl Connections {
    /// Takes a new connection in, or gives nothing when there is no room.
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
    /// The caller sent a request, so the connection is not silent any more.
    pub fn spoke(&self) {
        self.all.lock().silent.remove(&self.number);
    }

    /// Ends when the connection has to make room for another.
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
