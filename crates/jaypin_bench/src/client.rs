//! HTTP client of jaypin for the load generator and the tests.

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

/// Client that calls one host and opens a new connection for each call.
#[derive(Debug, Clone)]
pub struct Client {
    /// Address of the host it calls.
    pub address: SocketAddr,
    /// Bearer credential; `None` sends no `Authorization` header.
    pub credential: Option<String>,
}

/// One event of a streamed response.
#[derive(Debug, Clone)]
pub struct Event {
    /// Time from the start of the call to the arrival of the event.
    pub at: Duration,
    /// Text of the token; empty for events without a token.
    pub text: String,
}

/// A response, read to its end.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Time from the start of the call to the response head.
    pub head_after: Duration,
    /// Time from the start of the call to the end of the response.
    pub whole_after: Duration,
    /// Body; of a streamed response only the bytes after the last complete event.
    pub body: Bytes,
    /// Events of a streamed response; empty otherwise.
    pub events: Vec<Event>,
    /// Whether the stream ended with the end marker `[DONE]`.
    pub done: bool,
    /// Body of the error event that ended the stream.
    pub error: Option<Value>,
    /// Whether the connection broke before the end of the response.
    pub broken: bool,
}

impl Answer {
    /// Returns the generated text, streamed or not.
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

    /// Returns the body as JSON, or `null` if it is not JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Builds the body of a chat completion request with one user message.
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
    /// Creates a client with a credential.
    #[must_use]
    pub fn new(address: SocketAddr, credential: &str) -> Self {
        Self {
            address,
            credential: Some(credential.to_owned()),
        }
    }

    /// Requests a chat completion and reads the response to its end.
    ///
    /// # Errors
    /// Returns an error if no response head was received.
    pub async fn complete(
        &self,
        body: &Value,
        headers: &[(&str, &str)],
    ) -> Result<Answer, AnyError> {
        let bytes = Bytes::from(serde_json::to_vec(body)?);
        self.call(Method::POST, "/v1/chat/completions", headers, bytes)
            .await
    }

    /// Sends a request and reads the response to its end.
    ///
    /// # Errors
    /// Returns an error if no response head was received.
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
        let req = self.build_request(method, path, headers, body)?;
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
                parse_events(&mut buf, start.elapsed(), &mut answer);
            }
        }
        answer.whole_after = start.elapsed();
        answer.body = buf.into();
        driver.abort();
        Ok(answer)
    }

    fn build_request(
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

/// Moves the complete events at the front of the buffer into the answer.
fn parse_events(buf: &mut Vec<u8>, at: Duration, answer: &mut Answer) {
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
