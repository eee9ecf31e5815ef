//! Answers that come as a whole.

use bytes::Bytes;
use crossbeam::channel::Sender;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::http::response;
use jaypin_core::{CallOutcome, CallProgress, Event, MAX_STORED_ANSWER_BYTES, StoredAnswer};
use jaypin_http::ConnectError;
use serde::Deserialize;
use tokio::time::timeout;

use super::connect::connect;
use super::{Call, Cx, Passed, copy_type};
use crate::answer::full;

/// Reads the body and answers the caller with it.
pub async fn pass(cx: &Cx<'_>, passed: &mut Passed, response: Response<Incoming>) -> CallOutcome {
    let (head, body) = response.into_parts();
    let left = cx.call.outbound.whole.saturating_sub(cx.started.elapsed());
    let body = match timeout(left, body.collect()).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => return after_cut(cx).await,
        Err(_) => return CallOutcome::ConnectionLost,
    };
    let bytes = body.to_bytes();
    cx.tell(CallProgress::FirstToken);
    passed.tokens = tokens_in(&bytes);
    if cx.call.outbound.store_answer {
        tell_answered(cx.events, cx.call, &head, &bytes);
    }
    let Some(mut caller) = cx.calls.take_caller(&cx.call.id, None) else {
        return CallOutcome::Cancelled;
    };
    caller.guard.disarm();
    let mut answer = Response::new(full(bytes));
    *answer.status_mut() = head.status;
    copy_type(&head.headers, &mut answer);
    match caller.reply.send(answer) {
        Ok(()) => CallOutcome::Complete,
        Err(_) => CallOutcome::Cancelled,
    }
}

/// What a cut connection means: a backend server that listens no more has died under
/// the call, anything else is a lost connection.
pub async fn after_cut(cx: &Cx<'_>) -> CallOutcome {
    match connect(&cx.call.address).await {
        Err(ConnectError::Refused) => CallOutcome::BackendCrashed,
        Ok(_) | Err(_) => CallOutcome::ConnectionLost,
    }
}

/// The outcome is kept before the caller is answered, so that a caller whose answer
/// is lost on the way gets it again under its key.
fn tell_answered(events: &Sender<Event>, call: &Call, head: &response::Parts, body: &Bytes) {
    let content_type = head.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let answer = (body.len() <= MAX_STORED_ANSWER_BYTES).then(|| StoredAnswer {
        status: head.status.as_u16(),
        content_type: content_type.unwrap_or_default().into(),
        body: body.to_vec().into(),
    });
    let id = call.id.clone();
    let _ = events.send(Event::KeyedCallAnswered { id, answer });
}

fn tokens_in(body: &[u8]) -> u32 {
    #[derive(Deserialize)]
    struct Answer {
        usage: Usage,
    }
    #[derive(Deserialize)]
    struct Usage {
        completion_tokens: u32,
    }
    serde_json::from_slice::<Answer>(body).map_or(1, |answer| answer.usage.completion_tokens)
}
