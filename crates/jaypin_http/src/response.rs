//! Checks of responses, and their bodies.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use hyper::body::Incoming;

/// Returns whether a status can be that of a final response (RFC 9110, section 15). Callers of this crate
/// ask for no other protocol, so that `101` is none.
#[must_use]
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Reads a body to its end. Returns `None` if it is cut, or longer than `max_bytes`.
///
/// Guards against a server that sends bytes without end: they would be kept until the memory is used up.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Option<Bytes> {
    let read = Limited::new(body, max_bytes).collect().await.ok()?;
    Some(read.to_bytes())
}
