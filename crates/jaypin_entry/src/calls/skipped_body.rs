//! Bodies that nobody needs.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

/// Largest body, in bytes, that is read so that its connection can be reused.
const MAX_SKIPPED_BYTES: usize = 16 * 1024;
/// Longest time for which such a body is read.
const SKIP_TIME: Duration = Duration::from_millis(500);

/// Reads a body and keeps nothing of it. Returns whether it ended in time, so that its connection can
/// be reused.
pub async fn skip_body(mut body: Incoming) -> bool {
    let skipped = timeout(SKIP_TIME, async {
        let mut left = MAX_SKIPPED_BYTES;
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
