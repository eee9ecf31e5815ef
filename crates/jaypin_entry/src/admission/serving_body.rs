//! The body of a response, whose end ends the service of its request.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};

use super::body_memory::FREE_BYTES;
use super::connection_table::AdmittedConnection;

/// The body of a response that is being written.
#[derive(Debug)]
pub struct ServingBody<B> {
    body: B,
    connection: Rc<AdmittedConnection>,
}

impl<B: Body> ServingBody<B> {
    /// Ends the service of the connection's request once this body is dropped.
    pub fn new(body: B, connection: Rc<AdmittedConnection>) -> Self {
        let bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if bytes > FREE_BYTES {
            connection.state().hold(bytes);
        }
        Self { body, connection }
    }
}

impl<B: Body + Unpin> Body for ServingBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for ServingBody<B> {
    fn drop(&mut self) {
        self.connection.state().end_service(self.connection.now());
    }
}
