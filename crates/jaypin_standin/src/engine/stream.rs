//! A stream of tokens: made once, read from any offset by any connection.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Response, StatusCode};
use tokio::sync::{Notify, mpsc, watch};
use xxhash_rust::xxh3::xxh3_64;

use crate::http::{Body, json};

/// One stream of an engine.
#[derive(Debug)]
pub struct Stream {
    /// Tokens that it will have.
    pub total: u64,
    /// What its tokens are derived from.
    pub seed: u64,
    /// Place of its execution in the log.
    pub index: usize,
    /// Tokens made so far.
    pub made: watch::Sender<u64>,
    /// Told when nobody wants the rest.
    pub cancelled: Notify,
}

/// The answer that any engine gives to a text, for whoever checks answers.
#[must_use]
pub fn expected_answer(text: &str, max_tokens: u64) -> String {
    let seed = xxh3_64(text.as_bytes());
    (0..max_tokens).map(|index| token(seed, index)).collect()
}

fn token(seed: u64, index: u64) -> String {
    format!("w{}.{index} ", seed % 100_000)
}

/// Server-sent events from an offset on, as tokens are made.
pub fn events(stream: Arc<Stream>, offset: u64) -> Response<Body> {
    let (tx, rx) = mpsc::channel::<Result<Frame<Bytes>, std::io::Error>>(16);
    tokio::spawn(async move {
        let mut made = stream.made.subscribe();
        let mut next = offset;
        while next < stream.total {
            let upto = match made.wait_for(|made| *made > next).await {
                Ok(made) => *made,
                Err(_) => return,
            };
            while next < upto {
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

/// The answer as one JSON document, once all tokens are made.
pub async fn whole(stream: Arc<Stream>, model: &str) -> Response<Body> {
    let mut made = stream.made.subscribe();
    if made.wait_for(|made| *made >= stream.total).await.is_err() {
        return json(StatusCode::INTERNAL_SERVER_ERROR, &"engine stopped");
    }
    let content: String = (0..stream.total)
        .map(|index| token(stream.seed, index))
        .collect();
    let answer = serde_json::json!({
        "object": "chat.completion",
        "model": model,
        "choices": [{"index": 0, "message": {"role": "assistant", "content": content}}],
        "usage": {"completion_tokens": stream.total},
    });
    json(StatusCode::OK, &answer)
}

/// A channel's receiver as a stream of frames.
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
