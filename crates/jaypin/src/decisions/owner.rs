//! The host that owns a request, as read from the request's id.

/// Host that owns a request and incarnation of its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestOwner<'a> {
    /// Id of the host.
    pub host: &'a str,
    /// Incarnation of the host's process that accepted the request.
    pub incarnation: u64,
}

impl<'a> RequestOwner<'a> {
    /// Parses an id of the form `HOST-INCARNATION-COUNT`, in which the host may contain
    /// dashes.
    pub fn from_request_id(id: &'a str) -> Option<Self> {
        let mut parts = id.rsplitn(3, '-');
        parts.next()?.parse::<u64>().ok()?;
        let incarnation = parts.next()?.parse().ok()?;
        let host = parts.next().filter(|host| !host.is_empty())?;
        Some(Self { host, incarnation })
    }
}
