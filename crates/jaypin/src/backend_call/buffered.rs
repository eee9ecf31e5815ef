//! Forwards responses that are not streams, once they are complete.

use bytes::Bytes;
use crossbeam::channel::Sender;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::http::response;
use jaypin_core::{CallOutcome, CallProgress, Event, MAX_STORED_ANSWER_BYTES, StoredAnswer};
use jaypin_http::{ConnectError, read_body};
use serde::Deserialize;
use tokio::time::timeout;

use super::connect::connect;
use super::{Call, Cx, Forwarded, copy_content_type};
use crate::answer::full;

/// Largest response that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Reads the complete body and responds to the caller with it.
pub async fn forward(
    cx: &Cx<'_>,
    forwarded: &mut Forwarded,
    response: Response<Incoming>,
) -> CallOutcome {
    let (head, body) = response.into_parts();
    let remaining = cx
        .call
        .outbound
        .response_due_in
        .saturating_sub(cx.started.elapsed());
    let bytes = match timeout(remaining, read_body(body, MAX_RESPONSE_BYTES)).await {
        Ok(Some(bytes)) => bytes,
        Ok(None) => return outcome_of_disconnect(cx).await,
        Err(_) => return CallOutcome::Lost,
    };
    cx.report(CallProgress::FirstToken);
    forwarded.tokens = completion_tokens_in(&bytes);
    if cx.call.outbound.store_answer {
        report_keyed_answer(cx.events, cx.call, &head, &bytes);
    }
    let Some(mut caller) = cx.calls.take_caller(&cx.call.id, None) else {
        return CallOutcome::Cancelled;
    };
    caller.guard.disarm();
    let mut answer = Response::new(full(bytes));
    *answer.status_mut() = head.status;
    copy_content_type(&head.headers, &mut answer);
    match caller.reply.send(answer) {
        Ok(()) => CallOutcome::Complete,
        Err(_) => CallOutcome::Cancelled,
    }
}

/// Returns the outcome of a call whose connection failed: the backend server crashed if it
/// refuses a new connection, otherwise only the connection was lost.
pub async fn outcome_of_disconnect(cx: &Cx<'_>) -> CallOutcome {
    match connect(&cx.call.address).await {
        Err(ConnectError::Refused) => CallOutcome::Died,
        Ok(_) | Err(_) => CallOutcome::Lost,
    }
}

/// Reports the answer of a call with an idempotency key to the reducer, which stores it.
///
/// This precedes the response to the caller, so that a caller that does not receive the
/// response can get it again under the same key. An answer above the size limit is reported
/// without its body.
fn report_keyed_answer(events: &Sender<Event>, call: &Call, head: &response::Parts, body: &Bytes) {
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

/// Returns the number of generated tokens that the body states, or 1 if it states none.
fn completion_tokens_in(body: &[u8]) -> u32 {
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
