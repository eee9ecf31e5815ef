//! Answers towards callers: bodies, refusals, and streams that never end quietly.

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

/// Body of every answer; an error in it breaks the connection off.
pub type AnswerBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Chunks on their way to a caller.
pub type ChunkSender = mpsc::Sender<Result<Bytes, std::io::Error>>;

/// Says when the caller left before its answer ended.
#[derive(Debug)]
pub struct CallerGuard {
    id: RequestId,
    events: Sender<Event>,
    armed: bool,
}

impl CallerGuard {
    /// Watches over a request.
    pub fn new(id: RequestId, events: Sender<Event>) -> Self {
        Self {
            id,
            events,
            armed: true,
        }
    }

    /// The answer ended; the caller may leave.
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

/// Chunks of an answer as a body, with the guard that notices a caller who left.
#[derive(Debug)]
pub struct Chunks {
    rx: mpsc::Receiver<Result<Bytes, std::io::Error>>,
    guard: CallerGuard,
    failing: Option<std::io::Error>,
    last: Option<Instant>,
}

impl Chunks {
    /// Joins the receiving end with the guard.
    pub fn new(rx: mpsc::Receiver<Result<Bytes, std::io::Error>>, guard: CallerGuard) -> Self {
        Self {
            rx,
            guard,
            failing: None,
            last: None,
        }
    }
}

impl Body for Chunks {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if let Some(error) = self.failing.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match self.rx.poll_recv(cx) {
            Poll::Ready(Some(Ok(chunk))) => {
                let now = Instant::now();
                if let Some(last) = self.last.replace(now) {
                    metrics::gap(now.duration_since(last));
                }
                Poll::Ready(Some(Ok(Frame::data(chunk))))
            }
            // Guards against a lost error event: an error drops what is not flushed,
            // and the caller would see a broken connection without the reason. One
            // turn without a frame makes the connection flush first.
            Poll::Ready(Some(Err(error))) => {
                self.failing = Some(error);
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

/// A body that is there as a whole.
pub fn full(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<AnswerBody> {
    let mut response = Response::new(full(serde_json::to_vec(value).unwrap_or_default()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// A refusal by the decisions, as an answer.
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

/// The answer that a call with the same key got before.
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

/// A refusal before a request reached the decisions.
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

/// The event that ends a stream which can't be completed.
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
