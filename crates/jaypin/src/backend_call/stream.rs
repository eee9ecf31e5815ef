//! Streams of an engine, resumed where they broke off.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Response, StatusCode};
use jaypin_core::{CallOutcome, CallProgress};
use jaypin_http::{ConnectError, EventReader};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use super::connect::request;
use super::event_kind::EventKind;
use super::{Cx, Passed, copy_type};
use crate::answer::{ChunkSender, Chunks};

/// Chunks that may wait for a slow caller.
const CHUNK_BUFFER: usize = 64;
/// Resumes in a row that bring no token before a stream is given up.
const MAX_RESUMES: u32 = 5;
/// Pause before the first resume; each next one is twice as long.
const RESUME_PAUSE: Duration = Duration::from_millis(20);

/// What the connection that the request was sent on brought.
pub enum First {
    /// The head of a stream.
    Head(Response<Incoming>),
    /// It broke before a head came.
    Cut,
    /// No head came in time.
    Silent,
}

/// Why a connection brought no more.
enum Stopped {
    /// The answer is whole.
    Done,
    /// The caller left.
    CallerLeft,
    /// The connection broke or ended before the end of the answer.
    Cut,
    /// Nothing came for too long.
    Silent,
}

/// Passes a stream on to its end, over as many connections as it takes.
///
/// Guards against connections that are cut or go silent under a stream: the engine
/// goes on and keeps what it made, so a new connection to the same engine brings the
/// rest, from the first token that was not passed on. Another engine is never asked:
/// it would run the request a second time.
pub async fn pass(cx: &Cx<'_>, passed: &mut Passed, first: First) -> CallOutcome {
    let mut tx = None;
    let mut was_cut = matches!(first, First::Cut);
    let mut source = match first {
        First::Head(response) => Some(response),
        First::Cut | First::Silent => None,
    };
    let mut fruitless = 0;
    loop {
        let before = passed.tokens;
        if let Some(response) = source.take() {
            if tx.is_none() {
                tx = open_answer(cx, &response);
            }
            let Some(tx) = &tx else {
                return CallOutcome::Cancelled;
            };
            match read(cx, passed, response, tx, fruitless).await {
                Stopped::Done => return CallOutcome::Complete,
                Stopped::CallerLeft => return CallOutcome::Cancelled,
                Stopped::Cut => was_cut = true,
                Stopped::Silent => {}
            }
        }
        fruitless = if passed.tokens > before {
            1
        } else {
            fruitless + 1
        };
        if fruitless > MAX_RESUMES {
            return CallOutcome::ConnectionLost;
        }
        sleep(RESUME_PAUSE * 2_u32.pow(fruitless - 1)).await;
        let path = format!("/v1/streams/{}?offset={}", cx.call.id, passed.tokens);
        match request(&cx.call.address, Method::GET, &path).await {
            Ok(Some(response)) if response.status() == StatusCode::OK => source = Some(response),
            // A restarted engine knows nothing of the streams before.
            Ok(Some(response)) if response.status() == StatusCode::NOT_FOUND => {
                return if was_cut {
                    CallOutcome::BackendCrashed
                } else {
                    CallOutcome::ConnectionLost
                };
            }
            Err(ConnectError::Refused) if was_cut => return CallOutcome::BackendCrashed,
            Ok(_) | Err(_) => {}
        }
    }
}

/// Sends the head; gives nothing when the caller left.
fn open_answer(cx: &Cx<'_>, response: &Response<Incoming>) -> Option<ChunkSender> {
    let (tx, rx) = mpsc::channel(CHUNK_BUFFER);
    let caller = cx.calls.take_caller(&cx.call.id, Some(tx.clone()))?;
    let mut answer = Response::new(Chunks::new(rx, caller.guard).boxed_unsync());
    copy_type(response.headers(), &mut answer);
    caller.reply.send(answer).ok()?;
    Some(tx)
}

async fn read(
    cx: &Cx<'_>,
    passed: &mut Passed,
    response: Response<Incoming>,
    tx: &ChunkSender,
    fruitless: u32,
) -> Stopped {
    let mut body = response.into_body();
    let mut reader = EventReader::default();
    loop {
        // An engine that is slow rather than gone gets longer at each try.
        let limit = silence_limit(cx, passed) * 2_u32.pow(fruitless);
        let frame = match timeout(limit, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_)) | None) => return Stopped::Cut,
            Err(_) => return Stopped::Silent,
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if !reader.push(&bytes) {
            return Stopped::Cut;
        }
        while let Some(bytes) = reader.next_event() {
            let kind = EventKind::of(&bytes);
            if tx.send(Ok(bytes)).await.is_err() {
                return Stopped::CallerLeft;
            }
            match kind {
                EventKind::Done => {
                    learn_gap(cx, passed);
                    return Stopped::Done;
                }
                EventKind::Token => saw_token(cx, passed),
                EventKind::Other => {}
            }
        }
    }
}

fn silence_limit(cx: &Cx<'_>, passed: &Passed) -> Duration {
    if passed.tokens == 0 {
        let prompt_tokens = cx.call.outbound.prompt_tokens;
        cx.paces.first_token_limit(&cx.call.address, prompt_tokens)
    } else {
        cx.paces.gap_limit(&cx.call.address)
    }
}

fn saw_token(cx: &Cx<'_>, passed: &mut Passed) {
    let now = Instant::now();
    passed.tokens += 1;
    if passed.first_at.is_none() {
        passed.first_at = Some(now);
        let after = now.duration_since(cx.started);
        let prompt_tokens = cx.call.outbound.prompt_tokens;
        cx.paces
            .saw_first_token(&cx.call.address, prompt_tokens, after);
        cx.tell(CallProgress::FirstToken);
    }
}

fn learn_gap(cx: &Cx<'_>, passed: &Passed) {
    if let Some(first_at) = passed.first_at
        && passed.tokens > 1
    {
        let gap = first_at.elapsed() / (passed.tokens - 1);
        cx.paces.saw_gap(&cx.call.address, gap);
    }
}
