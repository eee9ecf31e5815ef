//! One call to a backend server, on a connection of its own.
//!
//! A connection a call costs a handshake inside the place and suits backend servers
//! whose connections go silent: no call rests on a connection that worked before.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel::Sender;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, http::response};
use hyper_util::rt::TokioIo;
use jaypin_core::{
    BackendId, CallOutcome, CallProgress, Event, GrantNumber, LoadReport, MAX_STORED_ANSWER,
    RequestId, StoredAnswer,
};
use jaypin_rules::ServiceKind;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use crate::answer::{AnswerBody, ChunkSender, Chunks, full};
use crate::calls::{Calls, Outbound};

/// Longest time to open a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for a load report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Chunks that may wait for a slow caller.
const CHUNK_BUFFER: usize = 64;
/// End of a stream of server-sent events, by the completions protocol.
const DONE: &[u8] = b"data: [DONE]";

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

/// Makes the call and passes the answer on; tells the reducer how it goes.
pub async fn run(mut call: Call, calls: Arc<Calls>, events: Sender<Event>) {
    let mut cancelled = call.cancelled.clone();
    let id = call.id.clone();
    let address = call.address.clone();
    let mut counter = Counter::default();
    let outcome = tokio::select! {
        outcome = make(&mut call, &calls, &events, &mut counter) => outcome,
        () = told_to_stop(&mut cancelled) => Some(CallOutcome::Cancelled),
    };
    // Plain services know no streams: they would take the order for a call of theirs.
    if outcome == Some(CallOutcome::Cancelled) && call.outbound.kind == ServiceKind::Engine {
        cancel_stream(&address, &id).await;
    }
    if matches!(
        outcome,
        Some(CallOutcome::Complete | CallOutcome::Cancelled)
    ) {
        calls.remove(&id);
    }
    let progress = match outcome {
        Some(outcome) => CallProgress::Finished {
            tokens: counter.tokens,
            outcome,
        },
        None => CallProgress::NotSent,
    };
    let _ = events.send(Event::Call { id, progress });
}

async fn told_to_stop(cancelled: &mut watch::Receiver<bool>) {
    if cancelled.wait_for(|gone| *gone).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Gives nothing when no byte was sent.
async fn make(
    call: &mut Call,
    calls: &Calls,
    events: &Sender<Event>,
    counter: &mut Counter,
) -> Option<CallOutcome> {
    let mut sender = connect(&call.address).await?;
    let req = request(call);
    tell(events, call, CallProgress::Sent);
    let Ok(response) = sender.send_request(req).await else {
        return Some(CallOutcome::Lost);
    };
    if response.status().is_server_error() {
        return Some(CallOutcome::Failed);
    }
    if call.outbound.stream && response.status() == StatusCode::OK {
        Some(pass_stream(call, calls, events, counter, response).await)
    } else {
        Some(pass_whole(call, calls, events, counter, response).await)
    }
}

async fn connect(address: &str) -> Option<SendRequest<Full<Bytes>>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
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

async fn pass_whole(
    call: &Call,
    calls: &Calls,
    events: &Sender<Event>,
    counter: &mut Counter,
    response: Response<Incoming>,
) -> CallOutcome {
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return CallOutcome::Lost;
    };
    let bytes = body.to_bytes();
    tell(events, call, CallProgress::FirstToken);
    counter.saw_whole(&bytes);
    if call.outbound.store_answer {
        tell_answered(events, call, &head, &bytes);
    }
    let Some(mut caller) = calls.take_caller(&call.id, None) else {
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

/// The outcome is kept before the caller is answered, so that a caller whose answer
/// is lost on the way gets it again under its key.
fn tell_answered(events: &Sender<Event>, call: &Call, head: &response::Parts, body: &Bytes) {
    let content_type = head.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let answer = (body.len() <= MAX_STORED_ANSWER).then(|| StoredAnswer {
        status: head.status.as_u16(),
        content_type: content_type.unwrap_or_default().into(),
        body: body.to_vec().into(),
    });
    let id = call.id.clone();
    let _ = events.send(Event::Answered { id, answer });
}

async fn pass_stream(
    call: &Call,
    calls: &Calls,
    events: &Sender<Event>,
    counter: &mut Counter,
    response: Response<Incoming>,
) -> CallOutcome {
    let (head, mut body) = response.into_parts();
    let (tx, rx) = mpsc::channel(CHUNK_BUFFER);
    let Some(caller) = calls.take_caller(&call.id, Some(tx.clone())) else {
        return CallOutcome::Cancelled;
    };
    let mut answer = Response::new(Chunks::new(rx, caller.guard).boxed_unsync());
    copy_type(&head.headers, &mut answer);
    if caller.reply.send(answer).is_err() {
        return CallOutcome::Cancelled;
    }
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return CallOutcome::Lost;
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if counter.saw_events(&bytes) {
            tell(events, call, CallProgress::FirstToken);
        }
        if !pass_chunk(&tx, bytes).await {
            return CallOutcome::Cancelled;
        }
    }
    if counter.done {
        CallOutcome::Complete
    } else {
        CallOutcome::Lost
    }
}

async fn pass_chunk(tx: &ChunkSender, bytes: Bytes) -> bool {
    tx.send(Ok(bytes)).await.is_ok()
}

fn copy_type(headers: &hyper::HeaderMap, answer: &mut Response<AnswerBody>) {
    if let Some(value) = headers.get(CONTENT_TYPE) {
        answer.headers_mut().insert(CONTENT_TYPE, value.clone());
    }
}

fn tell(events: &Sender<Event>, call: &Call, progress: CallProgress) {
    let _ = events.send(Event::Call {
        id: call.id.clone(),
        progress,
    });
}

/// Counts tokens in what passes.
#[derive(Debug, Default)]
struct Counter {
    tokens: u32,
    done: bool,
}

impl Counter {
    /// Counts the events of a chunk; says whether the first token was among them.
    fn saw_events(&mut self, bytes: &[u8]) -> bool {
        let before = self.tokens;
        for line in bytes.split(|byte| *byte == b'\n') {
            if line.starts_with(DONE) {
                self.done = true;
            } else if line.starts_with(b"data:") {
                self.tokens += 1;
            }
        }
        before == 0 && self.tokens > 0
    }

    fn saw_whole(&mut self, bytes: &[u8]) {
        #[derive(Deserialize)]
        struct Answer {
            usage: Usage,
        }
        #[derive(Deserialize)]
        struct Usage {
            completion_tokens: u32,
        }
        self.tokens = serde_json::from_slice::<Answer>(bytes)
            .map_or(1, |answer| answer.usage.completion_tokens);
    }
}

/// Tells the engine to stop a stream whose caller left.
async fn cancel_stream(address: &str, id: &RequestId) {
    let cancel = async {
        let mut sender = connect(address).await?;
        let mut req = Request::new(Full::new(Bytes::new()));
        *req.method_mut() = Method::DELETE;
        *req.uri_mut() = format!("/v1/streams/{id}").parse().ok()?;
        req.headers_mut()
            .insert(HOST, HeaderValue::from_str(address).ok()?);
        sender.send_request(req).await.ok()
    };
    let _ = timeout(REPORT_TIMEOUT, cancel).await;
}

/// Asks a backend server for its load.
pub async fn poll_load(backend: BackendId, address: String, events: Sender<Event>) {
    #[derive(Deserialize)]
    struct Load {
        running: u32,
        waiting: u32,
        leaving: bool,
        age_ms: u64,
    }
    let ask = async {
        let mut sender = connect(&address).await?;
        let mut req = Request::new(Full::new(Bytes::new()));
        *req.uri_mut() = "/load".parse().ok()?;
        req.headers_mut()
            .insert(HOST, HeaderValue::from_str(&address).ok()?);
        let response = sender.send_request(req).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice::<Load>(&body).ok()
    };
    if let Ok(Some(load)) = timeout(REPORT_TIMEOUT, ask).await {
        let report = LoadReport {
            backend,
            running: load.running,
            waiting: load.waiting,
            leaving: load.leaving,
            age: Duration::from_millis(load.age_ms),
        };
        let _ = events.send(Event::Load(report));
    }
}
