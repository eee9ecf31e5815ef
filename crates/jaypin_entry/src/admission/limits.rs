//! How much callers may make a host hold, by the limits of its process.

/// File descriptors that files and the system's own uses take.
const FILE_DESCRIPTORS: u64 = 200;
/// Sockets for the store, peers and the listeners.
const OWN_SOCKETS: u64 = 64;
/// One in this many sockets is for queries.
const QUERY_SHARE: u64 = 16;
/// Least number of connections of either kind.
const MIN_CONNECTIONS: u64 = 16;
/// Largest length of the queue of connections that wait to be accepted. What they send takes memory too.
const MAX_BACKLOG: usize = 1_024;
/// The same for queries, which are answered at once.
const MAX_QUERY_BACKLOG: usize = 128;
/// Part of the memory that callers' connections may take, in percent.
const CONNECTION_PERCENT: u64 = 30;
/// Part of the memory that bodies may take, in percent. The process itself and its connections to backend
/// servers, the store and peers need the rest.
const BODY_PERCENT: u64 = 30;
/// Memory of one connection, in bytes: its read buffers, a head, a small body or response, its tasks, and
/// what the system holds unread.
const CONNECTION_BYTES: u64 = 64 * 1024;

/// Limits on what callers make a host hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Maximum number of callers' connections.
    pub caller_connections: usize,
    /// Maximum number of connections with queries.
    pub query_connections: usize,
    /// Length of the queue of callers' connections that wait to be accepted.
    pub caller_backlog: usize,
    /// Length of each queue of connections with queries that wait to be accepted.
    pub query_backlog: usize,
    /// Memory for bodies, in bytes.
    pub body_bytes: usize,
}

impl AdmissionLimits {
    /// Returns the limits of a process that may use this many bytes and open this many files.
    pub fn new(max_memory_bytes: u64, max_open_files: u64) -> Self {
        let sockets = max_open_files.saturating_sub(FILE_DESCRIPTORS);
        let queries = sockets / QUERY_SHARE;
        // Each caller may need a connection to a backend server.
        let callers = sockets.saturating_sub(queries + OWN_SOCKETS) / 2;
        let affordable = max_memory_bytes / 100 * CONNECTION_PERCENT / CONNECTION_BYTES;
        let count = |connections: u64| {
            usize::try_from(connections.max(MIN_CONNECTIONS)).unwrap_or(usize::MAX)
        };
        let body_bytes = max_memory_bytes / 100 * BODY_PERCENT;
        let caller_connections = count(callers.min(affordable));
        Self {
            caller_connections,
            caller_backlog: MAX_BACKLOG.min(caller_connections / 2),
            query_backlog: MAX_QUERY_BACKLOG,
            query_connections: count(queries),
            body_bytes: usize::try_from(body_bytes).unwrap_or(usize::MAX).max(1),
        }
    }
}
