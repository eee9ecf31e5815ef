//! Delivery of a response to its caller.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response, StatusCode};
use tokio::sync::{mpsc, oneshot};

use super::response::{HttpResponse, ResponseBody, whole_body};
use crate::admission::HeldBody;
use crate::calls::BufferedResponse;

/// Events that are buffered for a slow caller. Once the buffer is full, reading from the
/// backend server pauses.
const EVENT_BUFFER_LEN: usize = 16;

/// Destination of the response to one request.
#[derive(Debug)]
pub enum Delivery {
    /// Nothing was sent.
    Pending(oneshot::Sender<HttpResponse>),
    /// The head of a stream was sent.
    Streaming(mpsc::Sender<io::Result<Bytes>>),
    /// The response was sent completely.
    Done,
}

impl Delivery {
    /// Waits until the caller disconnects.
    pub async fn caller_disconnected(&mut self) {
        match self {
            Self::Pending(tx) => tx.closed().await,
            Self::Streaming(tx) => tx.closed().await,
            Self::Done => std::future::pending().await,
        }
    }

    /// Sends a whole response. A stream whose head was sent is aborted instead, so that no
    /// caller takes a part of a response for the whole.
    pub fn send_response(&mut self, response: HttpResponse) {
        match std::mem::replace(self, Self::Done) {
            Self::Pending(tx) => {
                // The caller may have disconnected in the meantime.
                let _ = tx.send(response);
            }
            Self::Streaming(tx) => {
                let aborted =
                    io::Error::other("stream aborted: the request failed after its head was sent");
                // If the channel is full or closed, dropping the sender aborts the stream
                // too: `EventBody` ends normally only after the end marker.
                let _ = tx.try_send(Err(aborted));
            }
            Self::Done => {}
        }
    }

    /// Sends the head of a stream, as received from the first backend server.
    pub fn begin_stream(&mut self, status: StatusCode, headers: &HeaderMap) {
        if let Self::Pending(_) = self {
            let (tx, rx) = mpsc::channel(EVENT_BUFFER_LEN);
            let Self::Pending(reply) = std::mem::replace(self, Self::Streaming(tx)) else {
                return;
            };
            let body = EventBody {
                rx,
                is_ended: false,
            };
            let _ = reply.send(build_response(status, headers, body.boxed_unsync()));
        }
    }

    /// Sends an event, waiting while the buffer is full. Returns `false` if the caller has
    /// disconnected.
    pub async fn send_event(&mut self, event: Bytes) -> bool {
        match self {
            Self::Streaming(tx) => tx.send(Ok(event)).await.is_ok(),
            Self::Pending(_) | Self::Done => false,
        }
    }

    /// Ends a stream normally.
    pub async fn end_stream(&mut self) {
        if let Self::Streaming(tx) = std::mem::replace(self, Self::Done) {
            // An empty chunk is the end marker.
            let _ = tx.send(Ok(Bytes::new())).await;
        }
    }
}

/// Returns a backend server's whole response for its caller, without the headers of the
/// connection.
pub fn forward_response(response: BufferedResponse<HeldBody>) -> HttpResponse {
    build_response(
        response.status,
        &response.headers,
        whole_body(response.body),
    )
}

fn build_response(status: StatusCode, headers: &HeaderMap, body: ResponseBody) -> HttpResponse {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let kept = headers.iter().filter(|(name, _)| {
        // Length and framing belong to the connection to the backend server.
        !matches!(
            name.as_str(),
            "connection" | "keep-alive" | "proxy-connection" | "upgrade"
        ) && **name != CONTENT_LENGTH
            && **name != TRANSFER_ENCODING
    });
    let kept = kept.map(|(name, value)| (name.clone(), value.clone()));
    response.headers_mut().extend(kept);
    response
}

/// Response body of a stream, fed with events through a channel.
///
/// Guards against a stream that ends early and looks complete: a channel that is closed
/// without the end marker aborts the connection.
#[derive(Debug)]
struct EventBody {
    rx: mpsc::Receiver<io::Result<Bytes>>,
    is_ended: bool,
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.is_ended {
            return Poll::Ready(None);
        }
        match self.rx.poll_recv(cx) {
            Poll::Ready(Some(Ok(event))) if event.is_empty() => {
                self.is_ended = true;
                Poll::Ready(None)
            }
            Poll::Ready(Some(event)) => Poll::Ready(Some(event.map(Frame::data))),
            Poll::Ready(None) => {
                self.is_ended = true;
                let aborted =
                    io::Error::other("stream aborted: no end marker before the channel closed");
                Poll::Ready(Some(Err(aborted)))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}
