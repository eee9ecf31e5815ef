//! A bound on the memory that bodies take in a host.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use snafu::Snafu;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use super::caller_connection::Eviction;
use super::connection_table::{AdmittedConnection, ConnectionTable};
use super::held_body::{BodyBuffer, HeldBody};
use super::waiting_bodies::WaitingBodies;

/// Size, in bytes, up to which a body needs no reservation, so that large bodies never delay small ones.
/// The limit of open connections bounds the sum of these.
pub(super) const FREE_BYTES: usize = 16 * 1024;
/// Time between two attempts to reserve memory.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Why a body was not read whole.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body is larger than the limit for one.
    #[snafu(display("the body is larger than {max_bytes} bytes"))]
    TooLarge {
        /// The limit.
        max_bytes: usize,
    },
    /// The connection ended before the body did.
    #[snafu(display("the connection ended before the body did"))]
    Cut,
    /// Other bodies take the memory.
    #[snafu(display("other bodies take the memory for bodies"))]
    NoMemory,
    /// The body arrived too slowly.
    #[snafu(display("the body arrived too slowly"))]
    TooSlow,
}

impl BodyError {
    /// Returns the name for metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::TooLarge { .. } => "too-large",
            Self::Cut => "cut",
            Self::NoMemory => "no-memory",
            Self::TooSlow => "too-slow",
        }
    }
}

/// The memory for bodies of callers' requests and backend servers' responses, of all requests of a host
/// together.
///
/// Guards against a host that is killed because many bodies, each within its own limit, arrive at once.
#[derive(Debug)]
pub struct BodyMemory {
    total: usize,
    shared: Arc<Shared>,
    /// Connections whose bodies give way if they make no progress.
    callers: Rc<ConnectionTable>,
    freed_at: Cell<Option<Instant>>,
    waiting: WaitingBodies,
}

/// How long a body may wait for memory.
#[derive(Debug, Clone, Copy)]
pub struct MemoryWait {
    /// The longest wait.
    pub limit: Duration,
    /// When the response of its request is due. Of the bodies that wait and find room, the one whose
    /// response is due first gets it.
    pub due: Instant,
}

/// State that reservations, which outlive their request, share.
#[derive(Debug, Default)]
struct Shared {
    used: AtomicUsize,
    freed: Notify,
}

/// Memory of one body, which is free again when this is dropped.
#[derive(Debug, Default)]
pub struct Reservation {
    shared: Option<Arc<Shared>>,
    bytes: usize,
}

/// A part of a body with its memory.
struct HeldSegment {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldSegment {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyMemory {
    /// Creates the memory for bodies, of this many bytes. The bodies on these connections give way.
    pub fn new(total: usize, callers: Rc<ConnectionTable>) -> Self {
        Self {
            total,
            shared: Arc::default(),
            callers,
            freed_at: Cell::default(),
            waiting: WaitingBodies::default(),
        }
    }

    /// Returns the bytes that bodies take now.
    pub fn held_bytes(&self) -> usize {
        self.shared.used.load(Ordering::Relaxed)
    }

    /// Reads the body of a caller's request, of at most `max_bytes`. It waits for memory: for all of it if it
    /// states its length, else for what arrives. The memory is free again when the returned body is dropped.
    ///
    /// # Errors
    /// Fails if the body is too large, cut or too slow, or if other bodies take the memory.
    pub async fn read_request(
        &self,
        connection: &AdmittedConnection,
        body: &mut Incoming,
        max_bytes: usize,
        wait: MemoryWait,
    ) -> Result<HeldBody, BodyError> {
        connection.begin_body();
        tokio::select! {
            read = self.read(body, max_bytes, wait, Some(connection)) => read,
            eviction = connection.state().request_evicted() => match eviction {
                Eviction::Memory => NoMemorySnafu.fail(),
                _ => TooSlowSnafu.fail(),
            },
        }
    }

    /// Reads the body of a response, of at most `max_bytes`. Where it states its length, this waits for the
    /// memory of all of it; where it doesn't, memory is reserved as it arrives.
    ///
    /// # Errors
    /// Fails if the body is too large or cut, or if other bodies take the memory.
    pub async fn read_response(
        &self,
        body: &mut Incoming,
        max_bytes: usize,
        wait: MemoryWait,
    ) -> Result<HeldBody, BodyError> {
        self.read(body, max_bytes, wait, None).await
    }

    async fn read(
        &self,
        body: &mut Incoming,
        max_bytes: usize,
        mut wait: MemoryWait,
        caller: Option<&AdmittedConnection>,
    ) -> Result<HeldBody, BodyError> {
        let stated = body.size_hint().exact();
        let stated = stated.map(|it| usize::try_from(it).unwrap_or(usize::MAX));
        let known = stated.unwrap_or_default();
        snafu::ensure!(known <= max_bytes, TooLargeSnafu { max_bytes });
        let mut reservation = Reservation::default();
        self.reserve(&mut reservation, known, wait, caller).await?;
        if caller.is_none() {
            // A response of unknown length that waited with a part would keep others from theirs.
            wait.limit = Duration::ZERO;
        }
        let mut buf = BodyBuffer::new(stated);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Cut)?;
            let data = frame.into_data().unwrap_or_default();
            let length = buf.len() + data.len();
            snafu::ensure!(length <= max_bytes, TooLargeSnafu { max_bytes });
            if stated.is_none() {
                let needed = buf.memory_with(data.len());
                self.reserve(&mut reservation, needed, wait, caller).await?;
            }
            buf.push(data);
        }
        Ok(buf.hold(reservation))
    }

    /// Waits for the memory of a body of this size. Meanwhile stalled bodies give way.
    async fn reserve(
        &self,
        reservation: &mut Reservation,
        bytes: usize,
        wait: MemoryWait,
        caller: Option<&AdmittedConnection>,
    ) -> Result<(), BodyError> {
        let missing = self.missing_bytes(reservation, bytes);
        let free = || self.total.saturating_sub(self.held_bytes());
        let may_go_first = missing == 0 || !self.waiting.has_earlier(wait.due, free());
        if !may_go_first || self.try_reserve(reservation, bytes).is_err() {
            if let Some(caller) = caller {
                caller.begin_wait();
            }
            let turn = self.waiting.enter(wait.due, missing);
            let end = Instant::now() + wait.limit;
            while !turn.is_first(free()) || self.try_reserve(reservation, bytes).is_err() {
                self.make_room(missing);
                let now = Instant::now();
                snafu::ensure!(now < end, NoMemorySnafu);
                let pause = ROOM_CHECK_INTERVAL.min(end - now);
                let _ = timeout(pause, self.shared.freed.notified()).await;
            }
            if let Some(caller) = caller {
                caller.end_wait();
            }
        }
        if let Some(caller) = caller {
            caller.state().hold(reservation.bytes);
        }
        Ok(())
    }

    /// Makes stalled bodies give way, at most once in [`ROOM_CHECK_INTERVAL`].
    fn make_room(&self, bytes: usize) {
        let now = Instant::now();
        let is_due = |at: Instant| now.duration_since(at) >= ROOM_CHECK_INTERVAL;
        if self.freed_at.get().is_none_or(is_due) {
            self.freed_at.set(Some(now));
            self.callers.free_memory(bytes);
        }
    }

    /// Reserves memory for a body of this size now. One of up to 16 KiB takes none.
    ///
    /// # Errors
    /// Fails if other bodies take the memory.
    pub fn try_reserve(
        &self,
        reservation: &mut Reservation,
        bytes: usize,
    ) -> Result<(), BodyError> {
        let missing = self.missing_bytes(reservation, bytes);
        if missing == 0 {
            return Ok(());
        }
        let used = self.held_bytes() + missing;
        snafu::ensure!(used <= self.total, NoMemorySnafu);
        self.shared.used.store(used, Ordering::Relaxed);
        reservation.shared = Some(self.shared.clone());
        reservation.bytes += missing;
        Ok(())
    }

    /// Returns the memory that a body of this size needs besides its own. One that is larger than the memory
    /// of all needs all of it.
    fn missing_bytes(&self, reservation: &Reservation, bytes: usize) -> usize {
        let needed = if bytes <= FREE_BYTES {
            0
        } else {
            bytes.min(self.total)
        };
        needed.saturating_sub(reservation.bytes)
    }
}

impl Reservation {
    /// Takes up to this many bytes out of the reservation.
    pub(super) fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self {
            shared: self.shared.clone().filter(|_| bytes > 0),
            bytes,
        }
    }

    /// Returns bytes whose memory is reserved until their last copy is dropped.
    pub(super) fn hold(self, bytes: Bytes) -> Bytes {
        if self.shared.is_none() {
            return bytes;
        }
        Bytes::from_owner(HeldSegment {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(shared) = &self.shared {
            shared.used.fetch_sub(self.bytes, Ordering::Relaxed);
            shared.freed.notify_waiters();
        }
    }
}
