//! Calls to backend servers, each on a new connection.
//!
//! A connection for each call costs one handshake within the site. In return, no call
//! depends on an older connection, which may have gone silent without being closed.

mod buffered;
mod connect;
mod event_kind;
mod latency;
mod load;
mod stream;

use std::sync::Arc;

use bytes::Bytes;
use crossbeam::channel::Sender;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use jaypin_core::{CallOutcome, CallProgress, Event, GrantNumber, RequestId};
use jaypin_http::is_final_status;
use jaypin_rules::ServiceKind;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

pub use latency::LatencyEstimates;
pub use load::poll_load;
use stream::FirstAttempt;

use crate::answer::AnswerBody;
use crate::calls::{Calls, Outbound};

/// A call to make to a backend server.
#[derive(Debug)]
pub struct Call {
    /// Id of the request.
    pub id: RequestId,
    /// Address of the backend server.
    pub address: String,
    /// Fencing number, sent along so that the backend server can reject older grants.
    pub fence: Option<GrantNumber>,
    /// Request to send.
    pub outbound: Outbound,
    /// Becomes true when the call is cancelled.
    pub cancelled: watch::Receiver<bool>,
}

/// Context of a running call.
#[derive(Debug)]
struct Cx<'a> {
    call: &'a Call,
    calls: &'a Calls,
    latencies: &'a LatencyEstimates,
    events: &'a Sender<Event>,
    started: Instant,
}

impl Cx<'_> {
    fn report(&self, progress: CallProgress) {
        let id = self.call.id.clone();
        let _ = self.events.send(Event::Call { id, progress });
    }
}

/// What was forwarded to the caller so far.
#[derive(Debug, Default)]
struct Forwarded {
    tokens: u32,
    first_at: Option<Instant>,
}

/// Makes the call, forwards the response to the caller and reports progress to the reducer.
pub async fn run(
    call: Call,
    calls: Arc<Calls>,
    latencies: Arc<LatencyEstimates>,
    events: Sender<Event>,
) {
    let mut cancelled = call.cancelled.clone();
    let mut forwarded = Forwarded::default();
    let cx = Cx {
        call: &call,
        calls: &calls,
        latencies: &latencies,
        events: &events,
        started: Instant::now(),
    };
    let mut outcome = tokio::select! {
        outcome = send_and_forward(&cx, &mut forwarded) => outcome,
        () = wait_for_cancellation(&mut cancelled) => Some(CallOutcome::Cancelled),
    };
    if outcome.is_none() && *cancelled.borrow() {
        outcome = Some(CallOutcome::Cancelled);
    }
    // Only engines have streams to delete; a plain service would treat the DELETE as a
    // call of its own.
    if outcome == Some(CallOutcome::Cancelled) && call.outbound.kind == ServiceKind::Engine {
        let path = format!("/v1/streams/{}", call.id);
        let _ = connect::request(&call.address, Method::DELETE, &path).await;
    }
    let progress = match outcome {
        Some(outcome) => CallProgress::Finished {
            tokens: forwarded.tokens,
            outcome,
        },
        None => CallProgress::NotSent,
    };
    match outcome {
        Some(CallOutcome::Complete | CallOutcome::Cancelled) => calls.remove(&call.id),
        None => calls.put_back(&call.id, call.outbound.clone()),
        Some(_) => {}
    }
    cx.report(progress);
}

/// Completes when the call is cancelled, and never if its sender is dropped instead.
async fn wait_for_cancellation(cancelled: &mut watch::Receiver<bool>) {
    if cancelled
        .wait_for(|is_cancelled| *is_cancelled)
        .await
        .is_err()
    {
        std::future::pending::<()>().await;
    }
}

/// Sends the request and forwards the response; returns `None` if no byte was sent.
async fn send_and_forward(cx: &Cx<'_>, forwarded: &mut Forwarded) -> Option<CallOutcome> {
    let call = cx.call;
    let mut sender = connect::connect(&call.address).await.ok()?;
    let req = request(call);
    cx.report(CallProgress::Sent);
    let is_stream = call.outbound.stream;
    // A response that is not streamed has a deadline; a stream whose head is overdue is
    // resumed on another connection.
    let limit = if is_stream {
        cx.latencies
            .first_token_timeout(&call.address, call.outbound.prompt_tokens)
    } else {
        call.outbound.response_due_in
    };
    let response = match timeout(limit, sender.send_request(req)).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) if is_stream => {
            return Some(stream::forward(cx, forwarded, FirstAttempt::Disconnected).await);
        }
        Err(_) if is_stream => {
            return Some(stream::forward(cx, forwarded, FirstAttempt::TimedOut).await);
        }
        Ok(Err(_)) => return Some(buffered::outcome_of_disconnect(cx).await),
        Err(_) => return Some(CallOutcome::Lost),
    };
    if !is_final_status(response.status()) {
        return Some(CallOutcome::Lost);
    }
    if response.status().is_server_error() {
        return Some(CallOutcome::Failed);
    }
    if is_stream && response.status() == StatusCode::OK {
        Some(stream::forward(cx, forwarded, FirstAttempt::Head(response)).await)
    } else {
        Some(buffered::forward(cx, forwarded, response).await)
    }
}

/// Builds the request to the backend server.
fn request(call: &Call) -> Request<Full<Bytes>> {
    let outbound = &call.outbound;
    let mut req = Request::new(Full::new(outbound.body.clone()));
    *req.method_mut() = outbound.method.clone();
    *req.uri_mut() = outbound.path.parse().unwrap_or_default();
    *req.headers_mut() = outbound.headers.clone();
    let headers = req.headers_mut();
    if let Ok(host) = HeaderValue::from_str(&call.address) {
        headers.insert(HOST, host);
    }
    if let Ok(id) = HeaderValue::from_str(&call.id) {
        headers.insert("x-request-id", id);
    }
    if let Some(number) = call.fence {
        let text = format!("{}.{}", number.incarnation, number.sequence);
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert("x-fencing-number", value);
        }
    }
    req
}

fn copy_content_type(headers: &hyper::HeaderMap, answer: &mut Response<AnswerBody>) {
    if let Some(value) = headers.get(CONTENT_TYPE) {
        answer.headers_mut().insert(CONTENT_TYPE, value.clone());
    }
}
