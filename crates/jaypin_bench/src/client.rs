//! A caller of jaypin, as the load tool and the tests use it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::handshake;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::Instant;

type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// A caller with a credential.
#[derive(Debug, Clone)]
pub struct Client {
    /// Address of the host it calls.
    pub address: SocketAddr,
    /// Its credential; none sends none.
    pub credential: Option<String>,
}

/// One event of a stream with the time since the call began.
#[derive(Debug, Clone)]
pub struct Event {
    /// Time since the call began.
    pub at: Duration,
    /// Text of the token; empty for events without one.
    pub text: String,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Time to the head.
    pub head_after: Duration,
    /// Time to the end.
    pub whole_after: Duration,
    /// Body of an answer that is no stream.
    pub body: Bytes,
    /// Events of a stream.
    pub events: Vec<Event>,
    /// Whether the stream ended with the protocol's end mark.
    pub done: bool,
    /// Body of the error event that ended the stream.
    pub error: Option<Value>,
    /// Whether the connection broke before the end.
    pub broken: bool,
}

impl Answer {
    /// The generated text, streamed or not.
    #[must_use]
    pub fn text(&self) -> String {
        if !self.events.is_empty() {
            return self
                .events
                .iter()
                .map(|event| event.text.as_str())
                .collect();
        }
        let value: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let content = &value["choices"][0]["message"]["content"];
        content.as_str().unwrap_or_default().to_owned()
    }

    /// The body as JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Body of a chat completion request.
#[must_use]
pub fn completion_body(model: &str, text: &str, max_tokens: u64, stream: bool) -> Value {
    serde_json::json!({
        "model": model,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": max_tokens,
        "stream": stream,
    })
}

impl Client {
    /// Builds a caller.
    #[must_use]
    pub fn new(address: SocketAddr, credential: &str) -> Self {
        Self {
            address,
            credential: Some(credential.to_owned()),
        }
    }

    /// Calls for a completion and reads the answer to its end.
    ///
    /// # Errors
    /// When no head of an answer came.
    pub async fn complete(
        &self,
        body: &Value,
        headers: &[(&str, &str)],
    ) -> Result<Answer, AnyError> {
        let bytes = Bytes::from(serde_json::to_vec(body)?);
        self.call(Method::POST, "/v1/chat/completions", headers, bytes)
            .await
    }

    /// Makes any call and reads the answer to its end.
    ///
    /// # Errors
    /// When no head of an answer came.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Answer, AnyError> {
        let start = Instant::now();
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(connection);
        let req = self.request(method, path, headers, body)?;
        let response = sender.send_request(req).await?;
        let (head, mut body) = response.into_parts();
        let mut answer = Answer {
            status: head.status,
            headers: head.headers,
            head_after: start.elapsed(),
            whole_after: Duration::ZERO,
            body: Bytes::new(),
            events: Vec::new(),
            done: false,
            error: None,
            broken: false,
        };
        let is_stream = answer
            .headers
            .get(CONTENT_TYPE)
            .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
        let mut buf = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                answer.broken = true;
                break;
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            buf.extend_from_slice(&bytes);
            if is_stream {
                take_events(&mut buf, start.elapsed(), &mut answer);
            }
        }
        answer.whole_after = start.elapsed();
        answer.body = buf.into();
        driver.abort();
        Ok(answer)
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, AnyError> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json");
        if let Some(credential) = &self.credential {
            builder = builder.header(AUTHORIZATION, format!("Bearer {credential}"));
        }
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        Ok(builder.body(Full::new(body))?)
    }
}

/// Takes whole events off the front of the buffer.
fn take_events(buf: &mut Vec<u8>, at: Duration, answer: &mut Answer) {
    while let Some(end) = buf.windows(2).position(|pair| pair == b"\n\n") {
        let event: Vec<u8> = buf.drain(..end + 2).collect();
        let text = String::from_utf8_lossy(&event);
        let is_error = text.starts_with("event: error");
        let Some(data) = text.lines().find_map(|line| line.strip_prefix("data: ")) else {
            continue;
        };
        if data == "[DONE]" {
            answer.done = true;
            continue;
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        if is_error {
            answer.error = Some(value);
            continue;
        }
        let content = value["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or_default();
        answer.events.push(Event {
            at,
            text: content.to_owned(),
        });
    }
}
