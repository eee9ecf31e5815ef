//! Reading and parsing of callers' HTTP requests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use jaypin_router::{ResumedStream, attempt_key};
use snafu::Snafu;
use tokio::time::{Instant, timeout};
use xxhash_rust::xxh3::Xxh3Default;

use crate::host::Host;
use crate::ports::CallerRequest;

/// Largest body before a configuration is known, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 1024 * 1024;
/// Time for a caller to send its body if the request states no timeout.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of parts of a prompt that are passed to the reducer.
const MAX_SHARED_PARTS: usize = 16;
/// Maximum number of parts of a prompt that a log line names.
const MAX_NAMED_PARTS: usize = 8;
/// Maximum number of characters of a part's id in a log line.
const MAX_PART_NAME: usize = 16;

/// Header of a request that a host passes on to another one, which never passes it on again.
///
/// A caller that sends it gains nothing: its requests are served like others, unless the host is
/// cut off.
pub const PASSED_ON: HeaderName = HeaderName::from_static("jaypin-passed-on");

/// Header with which a stream is resumed, as defined for server-sent events.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Why a request was rejected before it reached the reducer.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// A header is invalid.
    #[snafu(display("{message}"))]
    Header {
        /// Which header is invalid, and why.
        message: String,
    },
    /// The body is larger than the configured limit.
    #[snafu(display("the request body is larger than the configured limit"))]
    TooLarge,
    /// The body did not arrive completely in time.
    #[snafu(display("the request body did not arrive completely in time"))]
    Incomplete,
}

impl ReadError {
    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Header { .. } => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Incomplete => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// Returns the reason as written in the response body.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Header { .. } => "header",
            Self::TooLarge => "too-large",
            Self::Incomplete => "body-cut",
        }
    }
}

/// A request that was read completely.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// HTTP method.
    pub method: Method,
    /// Request target, as the caller sent it.
    pub uri: Uri,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Values parsed from the headers.
    pub header: CallerRequest,
    /// Hash of path, credential and body.
    pub fingerprint: u64,
    /// Whether a peer passed it on, which is cut off from the backend servers.
    pub is_passed_on: bool,
    /// Time at which the headers were read.
    pub received_at: Instant,
}

impl ReceivedRequest {
    /// Returns the id of the last event that the caller has received in earlier attempts.
    pub fn last_event_id(&self) -> Option<&str> {
        self.headers.get(LAST_EVENT_ID)?.to_str().ok()
    }

    /// Returns the ids of the parts of the prompt for a log line, separated by spaces.
    pub fn prompt_part_names(&self) -> String {
        let parts = self.header.prompt_parts.iter().take(MAX_NAMED_PARTS);
        // Ids are ASCII.
        let names: Vec<_> = parts.map(|id| &id[..id.len().min(MAX_PART_NAME)]).collect();
        names.join(" ")
    }

    /// Returns hashes of the parts of the prompt that other requests may share: of all but the last.
    pub fn shared_parts(&self) -> Vec<u64> {
        let parts = self.header.prompt_parts.split_last();
        let shared = parts.map_or(&[][..], |(_own, shared)| shared);
        let shared = shared.iter().take(MAX_SHARED_PARTS);
        shared.map(|id| part_fingerprint(id)).collect()
    }

    /// Returns what the request resumes, if it resumes a stream.
    pub fn resumes(&self) -> Option<ResumedStream> {
        let named = self.header.resumed_id.as_deref();
        let is_resumed = named.is_some() || self.headers.contains_key(LAST_EVENT_ID);
        is_resumed.then(|| ResumedStream {
            attempt: named.map(attempt_key),
        })
    }
}

/// Reads a request completely.
///
/// # Errors
/// Fails if a header is invalid, or if the body is too large or does not arrive in time.
pub async fn read(host: &Host, req: Request<Incoming>) -> Result<ReceivedRequest, ReadError> {
    let received_at = Instant::now();
    let (mut head, body) = req.into_parts();
    let is_passed_on = head.headers.remove(&PASSED_ON).is_some();
    let header = host.platform.parse_caller_request(&head.headers);
    let header = header.map_err(|error| ReadError::Header {
        message: error.message,
    })?;
    let body_timeout = header.timeout.unwrap_or(DEFAULT_BODY_TIMEOUT);
    let max_bytes = host.read(|router| {
        let table = router.table();
        table.map_or(DEFAULT_MAX_BODY_BYTES, |it| {
            it.configuration().limits.body_bytes
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
        is_passed_on,
        received_at,
    })
}

/// Returns a hash of a request. The credential is part of it, so that no caller can cause
/// another caller's requests to be refused.
fn fingerprint(uri: &Uri, credential: Option<&str>, body: &[u8]) -> u64 {
    let mut hash = Xxh3Default::new();
    hash.update(credential.unwrap_or_default().as_bytes());
    hash.update(b"\n");
    hash.update(uri.path().as_bytes());
    hash.update(b"\n");
    hash.update(body);
    hash.digest()
}

/// Returns a hash of a part of a prompt, which differs from those of whole requests.
fn part_fingerprint(id: &str) -> u64 {
    let mut hash = Xxh3Default::new();
    hash.update(b"part\n\n");
    hash.update(id.as_bytes());
    hash.digest()
}
