//! What a response of a backend server proves of the request for which it was read.
//!
//! Guards against bytes that follow a response on a reused connection, such as a late or duplicate response:
//! without a check, the next request on it would get another caller's answer, or would count as not run
//! although it runs. Only [`ResponseProof::NotRun`] and [`ResponseProof::Misdirected`] allow a request
//! that may run once to be sent elsewhere, or any to be refused as not run.
//!
//! Also guards against a status that callers read as "not run" although the request ran
//! ([`ResponseProof::FalsePromise`]); it is not forwarded.

use hyper::header::CONTENT_ENCODING;
use hyper::{HeaderMap, StatusCode};

use super::response::promises_not_run;
use crate::calls::Connection;
use crate::ports::BackendResponse;

/// How a response was matched to the request for which it was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Attribution {
    /// It has the id of the request.
    Id,
    /// It has no id, and is the first response on its connection.
    Connection,
    /// It has no id, and may belong to no request or to an earlier one on its connection.
    Unknown,
    /// It has the id of another request.
    OtherRequest,
}

impl Attribution {
    fn of(head: &BackendResponse, id: &str, connection: &Connection) -> Self {
        match head.id.as_deref() {
            Some(stated) if stated == id => Self::Id,
            Some(_) => Self::OtherRequest,
            None if connection.had_response() => Self::Unknown,
            None => Self::Connection,
        }
    }

    /// Returns whether it is the response to the request.
    pub(super) fn is_own(self) -> bool {
        matches!(self, Self::Id | Self::Connection)
    }

    /// Returns the name for logs and metrics.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Id => "id",
            Self::Connection => "connection",
            Self::Unknown => "unknown",
            Self::OtherRequest => "other-request",
        }
    }
}

/// What a response proves of the request for which it was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResponseProof {
    /// The backend server did not run the request.
    NotRun,
    /// Another backend server has the address, and did not run the request.
    Misdirected,
    /// Nothing, but it states a rejection: it can't be matched to the request, which may have run.
    Unproven,
    /// The backend server may have run the request, and this is its response.
    Answered,
    /// The same, but callers would read the status as a promise that the request did not run.
    FalsePromise,
    /// Nothing: it may belong to another request, or lacks what backend servers add to a success. The
    /// request may have run.
    Nothing,
}

impl ResponseProof {
    /// Returns what a response proves of the request with the id `id`, and how it was matched to it. The
    /// response must not have been recorded on its connection yet.
    pub(super) fn of(
        head: &BackendResponse,
        status: StatusCode,
        headers: &HeaderMap,
        id: &str,
        connection: &Connection,
    ) -> (Self, Attribution) {
        let attribution = Attribution::of(head, id, connection);
        let is_unmarked = status.is_success() && (!head.is_from_backend || head.id.is_none());
        let is_encoded = headers.contains_key(CONTENT_ENCODING);
        let is_rejection = head.is_misdirected || head.is_not_run;
        let proof = if attribution == Attribution::Unknown && is_rejection {
            Self::Unproven
        } else if !attribution.is_own() || is_unmarked || is_encoded {
            Self::Nothing
        } else if head.is_misdirected {
            Self::Misdirected
        } else if head.is_not_run {
            Self::NotRun
        } else if promises_not_run(status) {
            Self::FalsePromise
        } else {
            Self::Answered
        };
        (proof, attribution)
    }
}
