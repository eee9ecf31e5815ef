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
const DEFAULT_BODY: usize = 1024 * 1024;
/// Time for a caller to send its body, where it states no patience.
const BODY_TIME: Duration = Duration::from_secs(10);

/// Why a request was turned away before a decision.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// A header makes no sense.
    #[snafu(display("{what}"))]
    Header {
        /// Which one, and why.
        what: String,
    },
    /// The body is too large.
    #[snafu(display("the body is larger than the configuration allows"))]
    TooLarge,
    /// The body did not come whole in time.
    #[snafu(display("the body did not arrive whole in time"))]
    Cut,
}

impl ReadError {
    /// Status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Header { .. } => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Cut => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// The reason in one word.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Header { .. } => "header",
            Self::TooLarge => "too-large",
            Self::Cut => "body-cut",
        }
    }
}

/// A request that was read whole.
#[derive(Debug)]
pub struct CallerCall {
    /// Its method.
    pub method: Method,
    /// Its path and query, as the caller sent them.
    pub uri: Uri,
    /// Its header.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// What its header says.
    pub says: CallerRequest,
    /// Fingerprint of path, caller and body.
    pub fingerprint: u64,
    /// When its header was read.
    pub received_at: Instant,
}

/// Reads a request whole.
///
/// # Errors
/// Says why it is turned away.
pub async fn read(host: &Host, req: Request<Incoming>) -> Result<CallerCall, ReadError> {
    let received_at = Instant::now();
    let (head, body) = req.into_parts();
    let says = host.platform.parse_caller_request(&head.headers);
    let says = says.map_err(|error| ReadError::Header { what: error.what })?;
    let patience = says.timeout.unwrap_or(BODY_TIME);
    let largest = host.look(|router| {
        let table = router.table();
        table.map_or(DEFAULT_BODY, |it| it.configuration().limits.body_bytes)
    });
    let collected = timeout(patience, Limited::new(body, largest).collect()).await;
    let body = match collected {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(ReadError::TooLarge),
        Ok(Err(_)) | Err(_) => return Err(ReadError::Cut),
    };
    let fingerprint = fingerprint(&head.uri, says.credential.as_deref(), &body);
    Ok(CallerCall {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        says,
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
