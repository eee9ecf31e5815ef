//! One call to a backend server, on a connection of its own.
//!
//! A connection a call costs a handshake inside the place and suits backend servers
//! whose connections go silent: no call rests on a connection that worked before.

mod connect;
mod event_kind;
mod load;
mod paces;
mod stream;
mod whole;

use std::sync::Arc;

use bytes::Bytes;
use crossbeam::channel::Sender;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use jaypin_core::{CallOutcome, CallProgress, Event, GrantNumber, RequestId};
use jaypin_rules::ServiceKind;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

pub use load::poll_load;
pub use paces::Paces;
use stream::First;

use crate::answer::AnswerBody;
use crate::calls::{Calls, Outbound};

/// A call to be made.
#[derive(Debug)]
pub struct Call {
    /// The request.
    pub id: RequestId,
    /// Address of the backend server.
    pub address: String,
    /// Fencing number.
    pub fence: Option<GrantNumber>,
    /// What to send.
    pub outbound: Outbound,
    /// Becomes true when the caller left.
    pub cancelled: watch::Receiver<bool>,
}

/// What a running call works with.
#[derive(Debug)]
struct Cx<'a> {
    call: &'a Call,
    calls: &'a Calls,
    paces: &'a Paces,
    events: &'a Sender<Event>,
    started: Instant,
}

impl Cx<'_> {
    fn tell(&self, progress: CallProgress) {
        let id = self.call.id.clone();
        let _ = self.events.send(Event::Call { id, progress });
    }
}

/// What reached the caller.
#[derive(Debug, Default)]
struct Passed {
    tokens: u32,
    first_at: Option<Instant>,
}

/// Makes the call and passes the answer on; tells the reducer how it goes.
pub async fn run(call: Call, calls: Arc<Calls>, paces: Arc<Paces>, events: Sender<Event>) {
    let mut cancelled = call.cancelled.clone();
    let mut passed = Passed::default();
    let cx = Cx {
        call: &call,
        calls: &calls,
        paces: &paces,
        events: &events,
        started: Instant::now(),
    };
    let mut outcome = tokio::select! {
        outcome = make(&cx, &mut passed) => outcome,
        () = told_to_stop(&mut cancelled) => Some(CallOutcome::Cancelled),
    };
    if outcome.is_none() && *cancelled.borrow() {
        outcome = Some(CallOutcome::Cancelled);
    }
    // Plain services know no streams: they would take the order for a call of theirs.
    if outcome == Some(CallOutcome::Cancelled) && call.outbound.kind == ServiceKind::Engine {
        let path = format!("/v1/streams/{}", call.id);
        let _ = connect::request(&call.address, Method::DELETE, &path).await;
    }
    let progress = match outcome {
        Some(outcome) => CallProgress::Finished {
            tokens: passed.tokens,
            outcome,
        },
        None => CallProgress::NotSent,
    };
    match outcome {
        Some(CallOutcome::Complete | CallOutcome::Cancelled) => calls.remove(&call.id),
        None => calls.put_back(&call.id, call.outbound.clone()),
        Some(_) => {}
    }
    cx.tell(progress);
}

async fn told_to_stop(cancelled: &mut watch::Receiver<bool>) {
    if cancelled.wait_for(|gone| *gone).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Gives nothing when no byte was sent.
async fn make(cx: &Cx<'_>, passed: &mut Passed) -> Option<CallOutcome> {
    let call = cx.call;
    let mut sender = connect::connect(&call.address).await.ok()?;
    let req = request(call);
    cx.tell(CallProgress::Sent);
    let is_stream = call.outbound.stream;
    // A plain answer has its deadline; a stream is resumed when its head is overdue.
    let limit = if is_stream {
        cx.paces
            .first_token_limit(&call.address, call.outbound.prompt_tokens)
    } else {
        call.outbound.whole
    };
    let response = match timeout(limit, sender.send_request(req)).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) if is_stream => return Some(stream::pass(cx, passed, First::Cut).await),
        Err(_) if is_stream => return Some(stream::pass(cx, passed, First::Silent).await),
        Ok(Err(_)) => return Some(whole::after_cut(cx).await),
        Err(_) => return Some(CallOutcome::ConnectionLost),
    };
    if response.status().is_server_error() {
        return Some(CallOutcome::Failed);
    }
    if is_stream && response.status() == StatusCode::OK {
        Some(stream::pass(cx, passed, First::Head(response)).await)
    } else {
        Some(whole::pass(cx, passed, response).await)
    }
}

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

fn copy_type(headers: &hyper::HeaderMap, answer: &mut Response<AnswerBody>) {
    if let Some(value) = headers.get(CONTENT_TYPE) {
        answer.headers_mut().insert(CONTENT_TYPE, value.clone());
    }
}
