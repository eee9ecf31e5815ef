//! The open connections of callers, and which of them gives way at their limit.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use super::caller_connection::{CallerConnection, Eviction};
use super::running_clock::RunningClock;
use crate::metrics;

/// Time between two checks for a connection that may give way.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of connections that give way at once, so that a crowd doesn't keep others in the queue of
/// connections that wait to be accepted.
const MAX_EVICTIONS: usize = 32;

/// Identifies an open connection.
type ConnectionKey = u64;

/// Numbers of evictions by kind.
#[derive(Debug, Default, Clone, Copy)]
pub struct Evictions([u32; Eviction::COUNT]);

impl Evictions {
    /// Returns whether there were none.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|count| *count == 0)
    }
}

impl fmt::Display for Evictions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kinds = [
            Eviction::Stalled,
            Eviction::Idle,
            Eviction::Receiving,
            Eviction::Memory,
            Eviction::Slow,
        ];
        let counted = kinds
            .iter()
            .zip(self.0)
            .filter(|(_, count)| *count > 0)
            .map(|(kind, count)| format!("{}:{count}", kind.as_str()));
        f.write_str(&counted.collect::<Vec<_>>().join(" "))
    }
}

/// The open connections of a kind, up to a maximum number.
///
/// Guards against a host whose memory or descriptors are used up by connections: at the maximum, the one
/// that has made no progress for longest is closed before another one is accepted.
#[derive(Debug)]
pub struct ConnectionTable {
    capacity: usize,
    open: RefCell<BTreeMap<ConnectionKey, Rc<CallerConnection>>>,
    next_key: Cell<ConnectionKey>,
    /// Number of slots for connections that are not accepted yet.
    reserved: Cell<usize>,
    freed: Notify,
    clock: RunningClock,
    evictions: Cell<Evictions>,
}

/// Room for a connection that is not accepted yet.
#[derive(Debug)]
pub struct Slot(Rc<ConnectionTable>);

/// An open connection, which leaves its table when this is dropped.
#[derive(Debug)]
pub struct AdmittedConnection {
    table: Rc<ConnectionTable>,
    key: ConnectionKey,
    connection: Rc<CallerConnection>,
}

impl ConnectionTable {
    /// Creates the table of at most this many connections.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            open: RefCell::default(),
            next_key: Cell::default(),
            reserved: Cell::default(),
            freed: Notify::new(),
            clock: RunningClock::default(),
            evictions: Cell::default(),
        }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns the evictions since the last call.
    pub fn take_evictions(&self) -> Evictions {
        self.evictions.take()
    }

    /// Waits until there is room for one more connection. Where there is none, the connection that has
    /// made no progress for longest is closed; without one, this waits until a request is answered.
    pub async fn room(self: &Rc<Self>) -> Slot {
        loop {
            if self.len() + self.reserved.get() < self.capacity {
                self.reserved.set(self.reserved.get() + 1);
                return Slot(self.clone());
            }
            self.make_room();
            // A connection that is evicted leaves the table when its task has ended.
            let _ = timeout(ROOM_CHECK_INTERVAL, self.freed.notified()).await;
        }
    }

    /// Evicts the connection that has made no progress for longest, and some others that are stalled.
    fn make_room(&self) {
        let now = self.now();
        let open = self.open.borrow();
        let candidates = open.values().filter_map(|connection| {
            let (eviction, at) = connection.eviction(now)?;
            Some((eviction, at, connection))
        });
        let mut candidates: Vec<_> = candidates.collect();
        candidates.sort_unstable_by_key(|it| (it.0, it.1));
        for (n, (eviction, _, connection)) in candidates.iter().enumerate() {
            if n > 0 && (*eviction != Eviction::Stalled || n == MAX_EVICTIONS) {
                break;
            }
            connection.evict();
            self.count(*eviction);
        }
    }

    /// Makes stalled connections give way whose bodies hold this much memory together, in bytes, those
    /// with the largest ones first.
    pub(super) fn free_memory(&self, bytes: usize) {
        let now = self.now();
        let open = self.open.borrow();
        let holders = open.values().filter_map(|connection| {
            let held = connection.stalled_bytes(now)?;
            Some((held, connection))
        });
        let mut holders: Vec<_> = holders.collect();
        holders.sort_unstable_by_key(|it| Reverse(it.0));
        let mut freed = 0;
        for (held, connection) in holders {
            if freed >= bytes {
                break;
            }
            freed += held;
            connection.evict_request(Eviction::Memory);
            self.count(Eviction::Memory);
        }
    }

    /// Gives up requests that arrive too slowly.
    pub(super) fn end_slow_requests(&self) {
        let now = self.now();
        for connection in self.open.borrow().values() {
            if connection.is_slow(now) {
                connection.evict_request(Eviction::Slow);
                self.count(Eviction::Slow);
            }
        }
    }

    fn count(&self, eviction: Eviction) {
        metrics::eviction(eviction);
        let mut evictions = self.evictions.get();
        evictions.0[eviction as usize] += 1;
        self.evictions.set(evictions);
    }

    /// Returns the time by which progress is measured.
    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }
}

impl Slot {
    /// Enters the connection that was accepted for this slot.
    pub fn admit(self) -> AdmittedConnection {
        let table = self.0.clone();
        let key = table.next_key.get();
        table.next_key.set(key + 1);
        let connection = Rc::new(CallerConnection::new(table.now()));
        table.open.borrow_mut().insert(key, connection.clone());
        AdmittedConnection {
            table,
            key,
            connection,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.reserved.set(self.0.reserved.get() - 1);
    }
}

impl AdmittedConnection {
    /// Returns the state of the connection.
    pub fn state(&self) -> &CallerConnection {
        &self.connection
    }

    /// Returns the time by which its progress is measured.
    pub(super) fn now(&self) -> Instant {
        self.table.now()
    }

    /// Records that the current request arrived whole.
    pub fn begin_service(&self) {
        self.connection.begin_service(self.now());
    }

    /// Records that the body of the current request is read.
    pub(super) fn begin_body(&self) {
        self.connection.begin_body(self.now());
    }

    /// Records that the body of the current request waits for memory.
    pub(super) fn begin_wait(&self) {
        self.connection.begin_wait(self.now());
    }

    /// Records that the body of the current request may arrive.
    pub(super) fn end_wait(&self) {
        self.connection.end_wait(self.now());
    }
}

impl Drop for AdmittedConnection {
    fn drop(&mut self) {
        self.table.open.borrow_mut().remove(&self.key);
        self.table.freed.notify_waiters();
    }
}
