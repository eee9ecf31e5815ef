//! By what a response is known to belong to a request.

/// By what a response is known to belong to the request for which it was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attribution {
    /// It bears the id of the request.
    Id,
    /// It bears no id, and its connection carried no other request.
    Connection,
    /// It bears no id, and may be a late response to an earlier request on its connection.
    Unknown,
    /// It bears the id of another request.
    OtherRequest,
}

impl Attribution {
    /// Returns the attribution of a response with the `stated` id to the request with the id `id`.
    pub fn of(stated: Option<&str>, id: &str, is_connection_reused: bool) -> Self {
        match stated {
            Some(stated) if stated == id => Self::Id,
            Some(_) => Self::OtherRequest,
            None if is_connection_reused => Self::Unknown,
            None => Self::Connection,
        }
    }

    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Id => "id",
            Self::Connection => "connection",
            Self::Unknown => "unknown",
            Self::OtherRequest => "other-request",
        }
    }
}
