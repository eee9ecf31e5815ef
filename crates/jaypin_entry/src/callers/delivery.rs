//! The way of an answer to its caller.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response, StatusCode};
use tokio::sync::{mpsc, oneshot};

use super::response::{HttpResponse, ResponseBody, full_body};
use crate::calls::BufferedResponse;

/// Events that may wait for a slow caller; with more, its backend server has to wait.
const EVENT_BUFFER_LEN: usize = 16;

/// Where the answer of one request goes.
#[derive(Debug)]
pub enum Delivery {
    /// Nothing was answered.
    Pending(oneshot::Sender<HttpResponse>),
    /// A stream was begun.
    Streaming(mpsc::Sender<io::Result<Bytes>>),
    /// Everything was answered.
    Done,
}

impl Delivery {
    /// Ends when the caller has left.
    pub async fn caller_disconnected(&mut self) {
        match self {
            Self::Pending(tx) => tx.closed().await,
            Self::Streaming(tx) => tx.closed().await,
            Self::Done => std::future::pending().await,
        }
    }

    /// Whether a stream was begun.
    pub fn is_streaming(&self) -> bool {
        matches!(self, Self::Streaming(_))
    }

    /// Gives a whole answer; a stream that was begun is broken off instead, so that no
    /// caller takes a part for the whole.
    pub fn send_response(&mut self, response: HttpResponse) {
        match std::mem::replace(self, Self::Done) {
            Self::Pending(tx) => {
                // A caller that has left in this moment needs no answer.
                let _ = tx.send(response);
            }
            Self::Streaming(tx) => {
                let cut = io::Error::other("the stream can't be completed");
                // Full or closed: dropping the sender without the end marks the cut, as
                // `EventBody` ends well only when it is told to.
                let _ = tx.try_send(Err(cut));
            }
            Self::Done => {}
        }
    }

    /// Begins a stream with the header of its first backend server.
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

    /// Passes an event on; says whether the caller still takes them.
    pub async fn send_event(&mut self, event: Bytes) -> bool {
        match self {
            Self::Streaming(tx) => tx.send(Ok(event)).await.is_ok(),
            Self::Pending(_) | Self::Done => false,
        }
    }

    /// Ends a stream well.
    pub async fn end_stream(&mut self) {
        if let Self::Streaming(tx) = std::mem::replace(self, Self::Done) {
            // An empty chunk is the mark of a good end.
            let _ = tx.send(Ok(Bytes::new())).await;
        }
    }
}

/// A backend server's whole answer, as it came.
pub fn forward_response(response: BufferedResponse) -> HttpResponse {
    build_response(response.status, &response.headers, full_body(response.body))
}

fn build_response(status: StatusCode, headers: &HeaderMap, body: ResponseBody) -> HttpResponse {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let kept = headers.iter().filter(|(name, _)| {
        // Length and framing are those of this connection.
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

/// Events on their way to a caller.
///
/// Guards against a stream that ends early and looks whole: without the mark of a good
/// end, a closed channel breaks the connection off.
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
                let cut = io::Error::other("the stream was cut");
                Poll::Ready(Some(Err(cut)))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}
