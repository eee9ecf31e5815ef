//! From an HTTP request to what the decisions need to know of it.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use snafu::Snafu;
use tokio::time::{Instant, timeout};
use xxhash_rust::xxh3::Xxh3Default;

use crate::host::Host;
use crate::ports::CallerRequest;

/// Largest body when no configuration is known yet, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 1024 * 1024;
/// Time for a caller to send its body, where it states no patience.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a request was turned away before a decision.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// A header makes no sense.
    #[snafu(display("{message}"))]
    Header {
        /// Which one, and why.
        message: String,
    },
    /// The body is too large.
    #[snafu(display("the body is larger than the configuration allows"))]
    TooLarge,
    /// The body did not come whole in time.
    #[snafu(display("the body did not arrive whole in time"))]
    Incomplete,
}

impl ReadError {
    /// Status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Header { .. } => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Incomplete => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// The reason in one word.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Header { .. } => "header",
            Self::TooLarge => "too-large",
            Self::Incomplete => "body-cut",
        }
    }
}

/// A request that was read whole.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query, as the caller sent them.
    pub uri: Uri,
    /// Its header.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// What its header says.
    pub header: CallerRequest,
    /// Fingerprint of path, caller and body.
    pub fingerprint: u64,
    /// When its header was read.
    pub received_at: Instant,
}

/// Reads a request whole.
///
/// # Errors
/// Says why it is turned away.
pub async fn read(host: &Host, req: Request<Incoming>) -> Result<ReceivedRequest, ReadError> {
    let received_at = Instant::now();
    let (head, body) = req.into_parts();
    let header = host.platform.parse_caller_request(&head.headers);
    let header = header.map_err(|error| ReadError::Header {
        message: error.message, })?;
    let body_timeout = header.timeout.unwrap_or(DEFAULT_BODY_TIMEOUT);
    let max_bytes = host.read(|router| {
        let table = router.table();
        table.map_or(DEFAULT_MAX_BODY_BYTES, |it| { it.configuration().limits.body_bytes
        })
    });
    let collected = timeout(body_timeout, Limited::new(body, max_bytes).collect()).await;
    let body = match collected {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(ReadError::TooLarge),
        Ok(Err(_)) | Err(_) => return Err(ReadError::Incomplete),
    };
    let fingerprint = fingerprint(&head.uri, header.credential.as_deref(), &body);
    Ok(ReceivedRequest {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        header,
        fingerprint,
        received_at,
    })
}

/// Salted by caller, so that no caller can have another's requests refused.
fn fingerprint(uri: &Uri, credential: Option<&str>, body: &[u8]) -> u64 {
    let mut hash = Xxh3Default::new();
    hash.update(credential.unwrap_or_default().as_bytes());
    hash.update(b"\n");
    hash.update(uri.path().as_bytes());
    hash.update(b"\n");
    hash.update(body);
    hash.digest()
}
