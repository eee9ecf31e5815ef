//! Admission: limits on what callers make a host hold, and who gives way at a limit.
//!
//! Counted are open connections, each with its buffers and what the system holds unread for it, and
//! bodies. A limit closes nothing until it is reached; then the connection that has made no progress for
//! longest gives way. `docs/design/admission.md` states the limits.

mod body_memory;
mod caller_connection;
mod connection_table;
mod held_body;
mod idle_time;
mod limits;
mod metered_stream;
mod running_clock;
mod serving_body;
mod waiting_bodies;

pub use body_memory::{BodyError, BodyMemory, MemoryWait, Reservation};
pub use caller_connection::Eviction;
pub use connection_table::{AdmittedConnection, ConnectionTable};
pub use held_body::HeldBody;
pub use idle_time::{IdleTime, MIN_IDLE_TIME};
pub use limits::AdmissionLimits;
pub use metered_stream::{MeteredStream, RECEIVE_BUFFER_BYTES};
pub use serving_body::ServingBody;

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

/// Time between two checks for requests that arrive too slowly.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of refused requests whose bodies are read on at a time.
const MAX_LINGERING: usize = 16;
/// Number of such checks between two log lines.
const CHECKS_PER_LOG_LINE: u32 = 4;

/// What callers make a host hold.
#[derive(Debug)]
pub struct Admission {
    /// Callers' connections with requests to backend servers.
    pub callers: Rc<ConnectionTable>,
    /// Connections with queries that this host answers itself.
    pub queries: Rc<ConnectionTable>,
    /// Memory for bodies of requests and responses.
    pub bodies: BodyMemory,
    /// How long callers' connections may be without a request.
    pub idle_time: IdleTime,
    lingering: Rc<()>,
}

/// A refused request whose body is read on, until this is dropped.
#[derive(Debug)]
pub struct Lingering {
    _count: Rc<()>,
}

impl Admission {
    /// Creates the admission of a host that holds nothing yet.
    pub fn new(limits: &AdmissionLimits) -> Self {
        let callers = Rc::new(ConnectionTable::new(limits.caller_connections));
        Self {
            queries: Rc::new(ConnectionTable::new(limits.query_connections)),
            bodies: BodyMemory::new(limits.body_bytes, callers.clone()),
            callers,
            idle_time: IdleTime::default(),
            lingering: Rc::default(),
        }
    }

    /// Returns whether the body of a refused request may be read on, so that its caller reads the response
    /// before the connection closes. Of a crowd only a few are, since that takes the time of others.
    pub fn begin_lingering(&self) -> Option<Lingering> {
        let others = Rc::strong_count(&self.lingering) - 1;
        (others < MAX_LINGERING).then(|| Lingering {
            _count: self.lingering.clone(),
        })
    }

    /// Ends requests that arrive too slowly, and logs what gave way, until the task is dropped.
    pub async fn run(&self) {
        let mut checks = 0;
        loop {
            sleep(CHECK_INTERVAL).await;
            self.callers.end_slow_requests();
            self.queries.end_slow_requests();
            checks += 1;
            if checks == CHECKS_PER_LOG_LINE {
                checks = 0;
                self.log_evictions();
            }
        }
    }

    /// Logs what gave way since the last call, in one line: a crowd is evicted by the thousand.
    fn log_evictions(&self) {
        let (callers, queries) = (self.callers.take_evictions(), self.queries.take_evictions());
        if callers.is_empty() && queries.is_empty() {
            return;
        }
        let open = self.callers.len();
        let held_bytes = self.bodies.held_bytes();
        log::warn!(open, held_bytes, callers:%, queries:%; "callers reach a limit of this host; connections without progress give way");
    }
}
