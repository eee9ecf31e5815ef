//! Answers that are read whole before they are passed on.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Response, StatusCode};

/// Largest answer that is no stream, in bytes. Plain services answer with a few kilobytes;
/// a host has memory for some hundred of these at once.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// An answer of a backend server.
#[derive(Debug)]
pub struct BufferedResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its header.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// Reads an answer to its end; gives nothing when it is cut.
pub async fn read_response(response: Response<Incoming>) -> Option<BufferedResponse> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES)
        .collect()
        .await
        .ok()?;
    Some(BufferedResponse {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}
