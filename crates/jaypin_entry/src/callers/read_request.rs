//! Reading and parsing of callers' HTTP requests.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use jaypin_router::{PromptSegment, ResumedStream, attempt_key};
use snafu::Snafu;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};
use xxhash_rust::xxh3::Xxh3Default;

use crate::admission::{AdmittedConnection, BodyError, HeldBody, MemoryWait};
use crate::calls::skip_body;
use crate::host::Host;
use crate::metrics;
use crate::ports::CallerRequest;

/// Largest header before a configuration is known, in bytes.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 * 1024;
/// Header size that is always accepted, in bytes.
const ACCEPTED_HEADER_BYTES: usize = 8 * 1024;
/// Bytes of a header line besides its name and value.
const HEADER_LINE_BYTES: usize = ": \r\n".len();
/// Bytes of the request line besides method and target, and of the empty line after the header.
const REQUEST_LINE_BYTES: usize = "  HTTP/1.1\r\n\r\n".len();
/// Largest body before a configuration is known, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 1024 * 1024;
/// Time for a caller to send its body if the request states no timeout.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time that a caller may state for its body.
const MAX_BODY_TIMEOUT: Duration = Duration::from_hours(1);
/// Longest time for which a body waits for memory.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(800);
/// Time for which the body of a refused request is read on before its connection is closed.
const LINGER_TIME: Duration = Duration::from_secs(2);
/// Time after which a request without memory for its body should come again.
const MEMORY_RETRY_TIME: Duration = Duration::from_secs(1);

/// Maximum number of parts of a prompt that are passed to the reducer.
const MAX_SHARED_PARTS: usize = 16;
/// Maximum number of segments of a prompt that are passed to the reducer: the shared parts and the
/// request's own.
const MAX_SEGMENTS: usize = MAX_SHARED_PARTS + 1;
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
    /// The header is larger than the configured limit.
    #[snafu(display("the request header is larger than the configured limit"))]
    HeaderTooLarge,
    /// The body is larger than the configured limit.
    #[snafu(display("the request body is larger than the configured limit"))]
    TooLarge,
    /// The body did not arrive completely in time.
    #[snafu(display("the request body did not arrive completely in time"))]
    Incomplete,
    /// Other bodies take the memory for bodies.
    #[snafu(display("other bodies take the memory for bodies"))]
    NoMemory,
}

impl ReadError {
    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Header { .. } => StatusCode::BAD_REQUEST,
            Self::HeaderTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Incomplete => StatusCode::REQUEST_TIMEOUT,
            Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the reason as written in the response body.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Header { .. } => "header",
            Self::HeaderTooLarge => "header-too-large",
            Self::TooLarge => "too-large",
            Self::Incomplete => "body-cut",
            Self::NoMemory => "no-memory",
        }
    }

    /// Returns the time after which the caller should send the request again, if it should.
    pub fn retry_after(&self) -> Option<Duration> {
        matches!(self, Self::NoMemory).then_some(MEMORY_RETRY_TIME)
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
    pub body: HeldBody,
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
        let names: Vec<_> = parts
            .map(|part| &part.id[..part.id.len().min(MAX_PART_NAME)])
            .collect();
        names.join(" ")
    }

    /// Returns hashes of the parts of the prompt that other requests may share: of all but the last.
    pub fn shared_parts(&self) -> Vec<u64> {
        let parts = self.header.prompt_parts.split_last();
        let shared = parts.map_or(&[][..], |(_own, shared)| shared);
        let shared = shared.iter().take(MAX_SHARED_PARTS);
        shared.map(|part| part_fingerprint(&part.id)).collect()
    }

    /// Returns all parts of the prompt as segments that engines cache. A prompt with more parts than
    /// are passed to the reducer ends before the first of the others, since engines cache prefixes.
    pub fn segments(&self) -> Vec<PromptSegment> {
        let parts = self.header.prompt_parts.iter().take(MAX_SEGMENTS);
        let segments = parts.map(|part| PromptSegment {
            id: part_fingerprint(&part.id),
            tokens: part.tokens,
        });
        segments.collect()
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
/// Fails if a header is invalid, or if header or body are too large or the body does not arrive in
/// time.
pub async fn read(
    host: &Host,
    connection: &AdmittedConnection,
    req: Request<Incoming>,
) -> Result<ReceivedRequest, ReadError> {
    let received_at = Instant::now();
    let (mut head, mut body) = req.into_parts();
    let is_passed_on = head.headers.remove(&PASSED_ON).is_some();
    if header_bytes(&head) > max_header_bytes(host) {
        return Err(ReadError::HeaderTooLarge);
    }
    let header = host.platform.parse_caller_request(&head.headers);
    let header = header.map_err(|error| ReadError::Header {
        message: error.message,
    })?;
    let body_timeout = header.timeout.unwrap_or(DEFAULT_BODY_TIMEOUT);
    let body_timeout = body_timeout.min(MAX_BODY_TIMEOUT);
    let max_bytes = host.read(|router| {
        let table = router.table();
        table.map_or(DEFAULT_MAX_BODY_BYTES, |it| {
            it.configuration().limits.body_bytes
        })
    });
    let wait = MemoryWait {
        limit: MAX_MEMORY_WAIT.min(body_timeout / 4),
        due: received_at + body_timeout,
    };
    let bodies = &host.admission.bodies;
    let read = bodies.read_request(connection, &mut body, max_bytes, wait);
    let body = match timeout(body_timeout, read).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::TooLarge { .. })) => return Err(ReadError::TooLarge),
        Ok(Err(BodyError::Cut | BodyError::TooSlow)) | Err(_) => return Err(ReadError::Incomplete),
        Ok(Err(error @ BodyError::NoMemory)) => {
            let id = &header.id;
            log::debug!(id, error:%; "no memory for the body of a request; refusing it");
            metrics::body_failure("request", &error);
            // A caller that sends its whole body first could not read the response on a closed
            // connection.
            if let Some(lingering) = host.admission.begin_lingering() {
                spawn_local(async move {
                    skip_body(body, max_bytes, LINGER_TIME).await;
                    drop(lingering);
                });
            }
            return Err(ReadError::NoMemory);
        }
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

/// Returns the largest header that a caller may send, in bytes.
pub fn max_header_bytes(host: &Host) -> usize {
    let limit = host.read(|router| {
        let table = router.table();
        table.map_or(DEFAULT_MAX_HEADER_BYTES, |it| {
            it.configuration().limits.header_bytes
        })
    });
    limit.max(ACCEPTED_HEADER_BYTES)
}

/// Returns the size of a request line and header.
fn header_bytes(head: &Parts) -> usize {
    let target = head.uri.path_and_query().map_or(0, |it| it.as_str().len());
    let lines = head.headers.iter();
    let lines = lines.map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_BYTES);
    REQUEST_LINE_BYTES + head.method.as_str().len() + target + lines.sum::<usize>()
}

/// Returns a hash of a request. The credential is part of it, so that no caller can cause
/// another caller's requests to be refused.
fn fingerprint(uri: &Uri, credential: Option<&str>, body: &HeldBody) -> u64 {
    let mut hash = Xxh3Default::new();
    hash.update(credential.unwrap_or_default().as_bytes());
    hash.update(b"\n");
    hash.update(uri.path().as_bytes());
    hash.update(b"\n");
    for chunk in body.chunks() {
        hash.update(chunk);
    }
    hash.digest()
}

/// Returns a hash of a part of a prompt, which differs from those of whole requests.
fn part_fingerprint(id: &str) -> u64 {
    let mut hash = Xxh3Default::new();
    hash.update(b"part\n\n");
    hash.update(id.as_bytes());
    hash.digest()
}
