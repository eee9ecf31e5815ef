//! Reading of bodies whose content is not used.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

/// Reads a body of at most `max_bytes` and keeps nothing of it. Returns whether it ended within the time
/// limit, so that its connection can be reused.
pub async fn skip_body(mut body: Incoming, max_bytes: usize, limit: Duration) -> bool {
    let skipped = timeout(limit, async {
        let mut left = max_bytes;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            let length = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(length) else {
                return false;
            };
            left = rest;
        }
        true
    });
    skipped.await.unwrap_or(false)
}
