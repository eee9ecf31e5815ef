//! Forwards an engine's streams, and resumes them where a connection failed.

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
use super::{Cx, Forwarded, copy_content_type};
use crate::answer::{ChunkBody, ChunkSender};

/// Chunks buffered for a slow caller.
const CHUNK_BUFFER: usize = 64;
/// Consecutive resumes without a token after which the call counts as lost.
const MAX_RESUMES: u32 = 5;
/// Pause before the first resume; it doubles with each further one.
const RESUME_PAUSE: Duration = Duration::from_millis(20);

/// Result of the connection on which the request was sent.
pub enum FirstAttempt {
    /// The response head of a stream arrived.
    Head(Response<Incoming>),
    /// The connection failed before a response head arrived.
    Disconnected,
    /// No response head arrived in time.
    TimedOut,
}

/// Why reading from a connection ended.
enum ReadEnd {
    /// The answer is complete.
    Complete,
    /// The caller disconnected.
    CallerDisconnected,
    /// The connection failed or was closed before the end of the answer.
    Disconnected,
    /// No data arrived within the timeout.
    TimedOut,
}

/// Forwards a stream to its end, over several connections if necessary.
///
/// A connection can fail or go silent during a stream. The engine keeps generating and
/// stores its output, so a new connection to the same engine delivers the remainder, from
/// the first token that was not forwarded. Another engine is never used, because it would
/// run the request a second time.
pub async fn forward(cx: &Cx<'_>, forwarded: &mut Forwarded, first: FirstAttempt) -> CallOutcome {
    let mut tx = None;
    let mut was_disconnected = matches!(first, FirstAttempt::Disconnected);
    let mut source = match first {
        FirstAttempt::Head(response) => Some(response),
        FirstAttempt::Disconnected | FirstAttempt::TimedOut => None,
    };
    let mut resumes = 0;
    loop {
        let before = forwarded.tokens;
        if let Some(response) = source.take() {
            if tx.is_none() {
                tx = start_response(cx, &response);
            }
            let Some(tx) = &tx else {
                return CallOutcome::Cancelled;
            };
            match forward_events(cx, forwarded, response, tx, resumes).await {
                ReadEnd::Complete => return CallOutcome::Complete,
                ReadEnd::CallerDisconnected => return CallOutcome::Cancelled,
                ReadEnd::Disconnected => was_disconnected = true,
                ReadEnd::TimedOut => {}
            }
        }
        resumes = if forwarded.tokens > before {
            1
        } else {
            resumes + 1
        };
        if resumes > MAX_RESUMES {
            return CallOutcome::Lost;
        }
        sleep(RESUME_PAUSE * 2_u32.pow(resumes - 1)).await;
        let path = format!("/v1/streams/{}?offset={}", cx.call.id, forwarded.tokens);
        match request(&cx.call.address, Method::GET, &path).await {
            Ok(Some(response)) if response.status() == StatusCode::OK => source = Some(response),
            // An engine that restarted does not know its earlier streams.
            Ok(Some(response)) if response.status() == StatusCode::NOT_FOUND => {
                return if was_disconnected {
                    CallOutcome::Died
                } else {
                    CallOutcome::Lost
                };
            }
            Err(ConnectError::Refused) if was_disconnected => return CallOutcome::Died,
            Ok(_) | Err(_) => {}
        }
    }
}

/// Sends the response head to the caller; returns `None` if the caller disconnected.
fn start_response(cx: &Cx<'_>, response: &Response<Incoming>) -> Option<ChunkSender> {
    let (tx, rx) = mpsc::channel(CHUNK_BUFFER);
    let caller = cx.calls.take_caller(&cx.call.id, Some(tx.clone()))?;
    let mut answer = Response::new(ChunkBody::new(rx, caller.guard).boxed_unsync());
    copy_content_type(response.headers(), &mut answer);
    caller.reply.send(answer).ok()?;
    Some(tx)
}

/// Forwards the events of one connection to the caller until the connection, the answer
/// or the caller ends.
async fn forward_events(
    cx: &Cx<'_>,
    forwarded: &mut Forwarded,
    response: Response<Incoming>,
    tx: &ChunkSender,
    resumes: u32,
) -> ReadEnd {
    let mut body = response.into_body();
    let mut reader = EventReader::default();
    loop {
        // The timeout doubles with each resume, in case the engine is slow but running.
        let max_silence = silence_timeout(cx, forwarded) * 2_u32.pow(resumes);
        let frame = match timeout(max_silence, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_)) | None) => return ReadEnd::Disconnected,
            Err(_) => return ReadEnd::TimedOut,
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if !reader.push(&bytes) {
            return ReadEnd::Disconnected;
        }
        while let Some(bytes) = reader.next_event() {
            let kind = EventKind::from_event(&bytes);
            if tx.send(Ok(bytes)).await.is_err() {
                return ReadEnd::CallerDisconnected;
            }
            match kind {
                EventKind::Done => {
                    record_gap(cx, forwarded);
                    return ReadEnd::Complete;
                }
                EventKind::Token => record_token(cx, forwarded),
                EventKind::Other => {}
            }
        }
    }
}

/// Returns how long the connection may be silent before it counts as dead.
fn silence_timeout(cx: &Cx<'_>, forwarded: &Forwarded) -> Duration {
    if forwarded.tokens == 0 {
        let prompt_tokens = cx.call.outbound.prompt_tokens;
        cx.latencies
            .first_token_timeout(&cx.call.address, prompt_tokens)
    } else {
        cx.latencies.gap_timeout(&cx.call.address)
    }
}

fn record_token(cx: &Cx<'_>, forwarded: &mut Forwarded) {
    let now = Instant::now();
    forwarded.tokens += 1;
    if forwarded.first_at.is_none() {
        forwarded.first_at = Some(now);
        let after = now.duration_since(cx.started);
        let prompt_tokens = cx.call.outbound.prompt_tokens;
        cx.latencies
            .record_first_token(&cx.call.address, prompt_tokens, after);
        cx.report(CallProgress::FirstToken);
    }
}

fn record_gap(cx: &Cx<'_>, forwarded: &Forwarded) {
    if let Some(first_at) = forwarded.first_at
        && forwarded.tokens > 1
    {
        let gap = first_at.elapsed() / (forwarded.tokens - 1);
        cx.latencies.record_gap(&cx.call.address, gap);
    }
}
