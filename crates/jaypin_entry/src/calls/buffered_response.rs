//! Responses that are read completely before they are used.

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{HeaderMap, Response, StatusCode};
use jaypin_http::read_body;

/// Largest response that is not a stream, in bytes. Services without streams respond with a
/// few kilobytes; a host has memory for a few hundred responses of this size at once.
pub const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// A response that was read completely.
#[derive(Debug)]
pub struct BufferedResponse<B = Bytes> {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: B,
}

/// Reads a response to its end. Returns `None` if the body is cut or larger than
/// `MAX_RESPONSE_BYTES`.
pub async fn read_response(response: Response<Incoming>) -> Option<BufferedResponse> {
    let (head, body) = response.into_parts();
    let body = read_body(body, MAX_RESPONSE_BYTES).await?;
    Some(BufferedResponse {
        status: head.status,
        headers: head.headers,
        body,
    })
}
