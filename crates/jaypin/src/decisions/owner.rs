//! Which host owns a request: its id says so.

/// Host and run of its process, as a request's id names them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestOwner<'a> {
    /// The host.
    pub host: &'a str,
    /// The run of its process.
    pub incarnation: u64,
}

impl<'a> RequestOwner<'a> {
    /// Reads the owner from an id, `HOST-INCARNATION-COUNT`; hosts may have dashes.
    pub fn of(id: &'a str) -> Option<Self> {
        let mut parts = id.rsplitn(3, '-');
        parts.next()?.parse::<u64>().ok()?;
        let incarnation = parts.next()?.parse().ok()?;
        let host = parts.next().filter(|host| !host.is_empty())?;
        Some(Self { host, incarnation })
    }
}
