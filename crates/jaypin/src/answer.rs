//! Responses to callers: bodies, refusals and streams, which end with an explicit error if
//! they are incomplete.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use crossbeam::channel::Sender;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use jaypin_core::{Event, Ran, Reason, Refusal, RequestId, StoredAnswer};
use jaypin_wire::RefusalBody;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::metrics;

/// Body of every response; an error in it closes the connection abnormally.
pub type AnswerBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Sender of the chunks of a streamed response.
pub type ChunkSender = mpsc::Sender<Result<Bytes, std::io::Error>>;

/// Reports to the reducer, when dropped while armed, that the caller disconnected before
/// its response ended.
#[derive(Debug)]
pub struct CallerGuard {
    id: RequestId,
    events: Sender<Event>,
    armed: bool,
}

impl CallerGuard {
    /// Creates an armed guard for a request.
    pub fn new(id: RequestId, events: Sender<Event>) -> Self {
        Self {
            id,
            events,
            armed: true,
        }
    }

    /// Disarms the guard, because the response is complete or about to be sent.
    pub fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if self.armed {
            let _ = self.events.send(Event::CallerDisconnected(self.id.clone()));
        }
    }
}

/// Body of a streamed response, with the guard that reports a caller who disconnects.
#[derive(Debug)]
pub struct ChunkBody {
    rx: mpsc::Receiver<Result<Bytes, std::io::Error>>,
    guard: CallerGuard,
    pending_error: Option<std::io::Error>,
    last_chunk_at: Option<Instant>,
}

impl ChunkBody {
    /// Creates a body that ends when the sender of its chunks is dropped.
    pub fn new(rx: mpsc::Receiver<Result<Bytes, std::io::Error>>, guard: CallerGuard) -> Self {
        Self {
            rx,
            guard,
            pending_error: None,
            last_chunk_at: None,
        }
    }
}

impl Body for ChunkBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if let Some(error) = self.pending_error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match self.rx.poll_recv(cx) {
            Poll::Ready(Some(Ok(chunk))) => {
                let now = Instant::now();
                if let Some(last_chunk_at) = self.last_chunk_at.replace(now) {
                    metrics::record_chunk_gap(now.duration_since(last_chunk_at));
                }
                Poll::Ready(Some(Ok(Frame::data(chunk))))
            }
            // An error makes the connection drop bytes that are not flushed, so the error
            // event before it could get lost and the caller would see a broken connection
            // without the reason. Returning `Pending` once makes the connection flush.
            Poll::Ready(Some(Err(error))) => {
                self.pending_error = Some(error);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(None) => {
                self.guard.disarm();
                Poll::Ready(None)
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

/// Creates a body from bytes that are all available.
pub fn full(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates a response with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<AnswerBody> {
    let mut response = Response::new(full(serde_json::to_vec(value).unwrap_or_default()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Creates the response for a refusal by the reducer.
pub fn refusal(id: Option<&RequestId>, refusal: &Refusal) -> Response<AnswerBody> {
    let mut body = RefusalBody::from(refusal);
    body.request_id = id.map(ToString::to_string);
    let mut response = json(refusal_status(refusal), &body);
    if let Some(wait) = refusal.retry_after {
        let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Creates a response from the stored answer of an earlier call with the same key.
pub fn replayed(stored: &StoredAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(full(stored.body.to_vec()));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or_default();
    let headers = response.headers_mut();
    headers.insert("x-jaypin-replayed", HeaderValue::from_static("true"));
    if let Ok(value) = HeaderValue::from_str(&stored.content_type) {
        headers.insert(CONTENT_TYPE, value);
    }
    response
}

/// Creates the response for a request that is rejected before it reaches the reducer.
pub fn rejected(
    status: StatusCode,
    reason: &str,
    outcome: Ran,
    message: &str,
) -> Response<AnswerBody> {
    let body = RefusalBody {
        reason: reason.to_owned(),
        outcome: outcome.as_str().to_owned(),
        retry_after_ms: None,
        rule_line: None,
        request_id: None,
        message: Some(message.to_owned()),
    };
    json(status, &body)
}

/// Creates the server-sent event that ends a stream which can't be completed.
pub fn error_event(refusal: &Refusal) -> Bytes {
    let body = serde_json::to_string(&RefusalBody::from(refusal)).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {body}\n\n"))
}

fn refusal_status(refusal: &Refusal) -> StatusCode {
    match (refusal.reason, refusal.ran) {
        (Reason::OverLimit, _) => StatusCode::TOO_MANY_REQUESTS,
        (Reason::InFlight | Reason::KeyUnknown | Reason::AlreadyRan, _) => StatusCode::CONFLICT,
        (Reason::Quarantined | Reason::KeyMismatch, _) => StatusCode::UNPROCESSABLE_ENTITY,
        (_, Ran::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Ran::Ran | Ran::Unknown) => StatusCode::BAD_GATEWAY,
    }
}
