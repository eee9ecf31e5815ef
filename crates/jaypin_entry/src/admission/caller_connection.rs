//! What one caller's connection is doing, and since when it has made no progress.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Time without progress after which a connection counts as stalled at a limit.
const STALL_TIME: Duration = Duration::from_millis(250);
/// The same for a caller that does not read its response.
const UNREAD_TIME: Duration = Duration::from_secs(2);
/// Time that a request which arrives without a stall has at a limit. Without it callers that come again at
/// once would take all the time of a host.
const ARRIVAL_TIME: Duration = Duration::from_millis(500);
/// Bytes a second at which a request has to arrive at a limit.
const RATE_AT_LIMIT: f64 = 64.0 * 1024.0;
/// Time without progress after which a request is given up, whether a limit is reached or not.
const REQUEST_STALL_TIME: Duration = Duration::from_secs(30);
/// Bytes a second at which a request has to arrive in any case.
const REQUEST_RATE: f64 = 16.0 * 1024.0;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It waits for a request.
    Idle,
    /// The head of a request arrives.
    Head,
    /// The body of a request waits for memory; nothing more of it is read.
    Waiting,
    /// The body of a request arrives.
    Body,
    /// Its request arrived whole, and is not answered.
    Serving,
}

/// Why a connection or its request has to give way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Eviction {
    /// It made no progress.
    Stalled,
    /// It was idle between two requests.
    Idle,
    /// A request arrived on it, and no other connection had made less progress.
    Receiving,
    /// Its body held memory that others need, and made no progress.
    Memory,
    /// Its request arrived too slowly, though no limit was reached.
    Slow,
}

impl Eviction {
    /// Number of kinds.
    pub const COUNT: usize = 5;

    /// Returns the name for metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stalled => "stalled",
            Self::Idle => "idle",
            Self::Receiving => "receiving",
            Self::Memory => "memory",
            Self::Slow => "slow",
        }
    }
}

/// A caller's connection, as its tasks and the table of connections see it.
#[derive(Debug)]
pub struct CallerConnection {
    phase: Cell<Phase>,
    /// Whether a request on it was answered.
    is_used: Cell<bool>,
    /// Time at which the current phase began.
    since: Cell<Instant>,
    /// Bytes of the current request that arrived.
    received: Cell<usize>,
    progress_at: Cell<Instant>,
    /// Whether the system takes no more bytes, because the caller does not read.
    is_blocked: Cell<bool>,
    /// Memory that its body holds, in bytes.
    held_bytes: Cell<usize>,
    request_eviction: Cell<Option<Eviction>>,
    request_evicted: Notify,
    is_evicted: Cell<bool>,
    evicted: Notify,
}

impl CallerConnection {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            phase: Cell::new(Phase::Idle),
            is_used: Cell::default(),
            since: Cell::new(now),
            received: Cell::default(),
            progress_at: Cell::new(now),
            is_blocked: Cell::default(),
            held_bytes: Cell::default(),
            request_eviction: Cell::default(),
            request_evicted: Notify::new(),
            is_evicted: Cell::default(),
            evicted: Notify::new(),
        }
    }

    /// Waits until the connection has to be closed.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Waits until the current request has to be refused.
    pub async fn request_evicted(&self) -> Eviction {
        loop {
            if let Some(eviction) = self.request_eviction.take() {
                return eviction;
            }
            self.request_evicted.notified().await;
        }
    }

    /// Records bytes that arrived.
    pub(super) fn record_read(&self, bytes: usize, now: Instant) {
        if self.phase.get() == Phase::Idle {
            self.enter(Phase::Head, now);
            self.received.set(0);
            self.held_bytes.set(0);
        }
        self.received.set(self.received.get() + bytes);
        self.progress_at.set(now);
    }

    /// Records bytes that the system took from the host.
    pub(super) fn record_write(&self, now: Instant) {
        self.is_blocked.set(false);
        self.progress_at.set(now);
    }

    /// Records that the system takes no more bytes.
    pub(super) fn record_blocked_write(&self) {
        self.is_blocked.set(true);
    }

    /// Records that the body of the request is read. Its head may have arrived with the request before.
    pub(super) fn begin_body(&self, now: Instant) {
        if self.phase.get() == Phase::Idle {
            self.record_read(0, now);
        }
        self.phase.set(Phase::Body);
        self.request_eviction.set(None);
    }

    /// Records that the request waits for memory, which is no fault of its caller.
    pub(super) fn begin_wait(&self, now: Instant) {
        self.enter(Phase::Waiting, now);
    }

    /// Records that the body of the request may arrive.
    pub(super) fn end_wait(&self, now: Instant) {
        self.received.set(0);
        self.progress_at.set(now);
        self.enter(Phase::Body, now);
    }

    /// Records that the request arrived whole, or is refused.
    pub(super) fn begin_service(&self, now: Instant) {
        self.enter(Phase::Serving, now);
        self.held_bytes.set(0);
    }

    /// Records the memory of the body that arrives, or of the response that is written.
    pub(super) fn hold(&self, bytes: usize) {
        self.held_bytes.set(bytes);
    }

    /// Records that the response has ended for the host. Parts of it may be unwritten.
    pub(super) fn end_service(&self, now: Instant) {
        self.is_used.set(true);
        self.progress_at.set(now);
        self.enter(Phase::Idle, now);
    }

    fn enter(&self, phase: Phase, now: Instant) {
        self.phase.set(phase);
        self.since.set(now);
    }

    /// Returns when the connection was last as far as it has to be at this rate, in bytes a second.
    fn last_on_schedule(&self, rate: f64) -> Instant {
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let due = Duration::from_secs_f64(self.received.get() as f64 / rate);
        self.progress_at.get().min(self.since.get() + due)
    }

    /// Returns how its eviction at a limit would be counted, and the time by which connections of the
    /// same kind are ordered. None if it may not be evicted.
    pub(super) fn eviction(&self, now: Instant) -> Option<(Eviction, Instant)> {
        if self.is_evicted.get() {
            return None;
        }
        let is_past = |at: Instant, time| now.saturating_duration_since(at) >= time;
        let (progress_at, since) = (self.progress_at.get(), self.since.get());
        if self.is_blocked.get() {
            return is_past(progress_at, UNREAD_TIME).then_some((Eviction::Stalled, progress_at));
        }
        let on_schedule = match self.phase.get() {
            Phase::Serving => return None,
            Phase::Idle if self.is_used.get() => return Some((Eviction::Idle, progress_at)),
            Phase::Idle => progress_at,
            Phase::Head | Phase::Body => self.last_on_schedule(RATE_AT_LIMIT),
            Phase::Waiting => since,
        };
        // The caller of a request that waits can't make progress.
        if self.phase.get() != Phase::Waiting && is_past(on_schedule, STALL_TIME) {
            return Some((Eviction::Stalled, on_schedule));
        }
        is_past(since, ARRIVAL_TIME).then_some((Eviction::Receiving, on_schedule))
    }

    /// Returns the memory, in bytes, that its eviction would free; none if it makes progress or has been
    /// evicted.
    pub(super) fn stalled_bytes(&self, now: Instant) -> Option<usize> {
        let bytes = self.held_bytes.get();
        let is_stalled = || matches!(self.eviction(now), Some((Eviction::Stalled, _)));
        (bytes > 0 && is_stalled()).then_some(bytes)
    }

    /// Returns whether a request arrives too slowly, whether a limit is reached or not.
    pub(super) fn is_slow(&self, now: Instant) -> bool {
        let on_schedule = self.last_on_schedule(REQUEST_RATE);
        let is_late = now.saturating_duration_since(on_schedule) >= REQUEST_STALL_TIME;
        let arrives = matches!(self.phase.get(), Phase::Head | Phase::Body);
        arrives && is_late && !self.is_evicted.get()
    }

    /// Closes the connection.
    pub(super) fn evict(&self) {
        self.is_evicted.set(true);
        self.evicted.notify_one();
    }

    /// Refuses the request whose body arrives; without one, closes the connection.
    pub(super) fn evict_request(&self, eviction: Eviction) {
        self.held_bytes.set(0);
        if self.phase.get() == Phase::Body {
            self.request_eviction.set(Some(eviction));
            self.request_evicted.notify_one();
        } else {
            self.evict();
        }
    }
}
