//! A stream of generated tokens. Tokens are generated once; any connection can read them from any
//! offset.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Response, StatusCode};
use tokio::sync::{Notify, mpsc, watch};
use xxhash_rust::xxh3::xxh3_64;

use crate::http::{Body, json};

/// The token stream of one request.
#[derive(Debug)]
pub struct Stream {
    /// Number of tokens in the complete stream.
    pub total: u64,
    /// Hash of the prompt, from which the tokens are derived.
    pub seed: u64,
    /// Index of the request in the engine's list of executions.
    pub index: usize,
    /// Number of tokens generated so far.
    pub generated: watch::Sender<u64>,
    /// Notified when the request is cancelled or the engine crashes.
    pub cancelled: Notify,
}

/// Returns the text that any engine generates for a prompt, so that tests can check responses.
#[must_use]
pub fn expected_answer(text: &str, max_tokens: u64) -> String {
    let seed = xxh3_64(text.as_bytes());
    (0..max_tokens).map(|index| token(seed, index)).collect()
}

fn token(seed: u64, index: u64) -> String {
    format!("w{}.{index} ", seed % 100_000)
}

/// Returns a response that sends one server-sent event for each token from `offset` on, as soon as
/// the token is generated.
pub fn event_stream(stream: Arc<Stream>, offset: u64) -> Response<Body> {
    let (tx, rx) = mpsc::channel::<Result<Frame<Bytes>, std::io::Error>>(16);
    tokio::spawn(async move {
        let mut generated = stream.generated.subscribe();
        let mut next = offset;
        while next < stream.total {
            let available = match generated.wait_for(|count| *count > next).await {
                Ok(count) => *count,
                Err(_) => return,
            };
            while next < available {
                let chunk = serde_json::json!({
                    "object": "chat.completion.chunk",
                    "choices": [{"index": 0, "delta": {"content": token(stream.seed, next)}}],
                });
                let event = Bytes::from(format!("data: {chunk}\n\n"));
                if tx.send(Ok(Frame::data(event))).await.is_err() {
                    return;
                }
                next += 1;
            }
        }
        let _ = tx
            .send(Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n"))))
            .await;
    });
    let body = BodyExt::boxed_unsync(StreamBody::new(Receiver(rx)));
    let mut response = Response::new(body);
    let value = hyper::header::HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, value);
    response
}

/// Waits until all tokens are generated and returns them as one JSON document.
pub async fn whole_response(stream: Arc<Stream>, model: &str) -> Response<Body> {
    let mut generated = stream.generated.subscribe();
    if generated
        .wait_for(|count| *count >= stream.total)
        .await
        .is_err()
    {
        return json(StatusCode::INTERNAL_SERVER_ERROR, &"engine stopped");
    }
    let content: String = (0..stream.total)
        .map(|index| token(stream.seed, index))
        .collect();
    let document = serde_json::json!({
        "object": "chat.completion",
        "model": model,
        "choices": [{"index": 0, "message": {"role": "assistant", "content": content}}],
        "usage": {"completion_tokens": stream.total},
    });
    json(StatusCode::OK, &document)
}

/// Adapts the receiver of a channel to a `futures_util::Stream`.
struct Receiver<T>(mpsc::Receiver<T>);

impl<T> futures_util::Stream for Receiver<T> {
    type Item = T;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<T>> {
        self.0.poll_recv(cx)
    }
}
