//! A stream to which a request is written only within a time limit.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Reads a monotonic clock that also counts suspended time.
pub type Clock = fn() -> Duration;

/// The time until which the first byte of a request may be written, shared by the sender of the
/// request and the stream of its connection.
#[derive(Debug, Default, Clone)]
pub struct WriteLimit(Rc<Cell<State>>);

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Bytes may be written at any time.
    #[default]
    Unlimited,
    /// The first byte may be written before this time of the clock.
    Before(Duration),
    /// The time passed before the first byte was written; nothing more is written.
    Exceeded,
}

impl WriteLimit {
    /// Sets the time before which the first byte of the next request may be written.
    pub fn set(&self, before: Duration) {
        self.0.set(State::Before(before));
    }

    /// Returns whether the time passed before a byte of the request was written.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.0.get() == State::Exceeded
    }

    /// Checks whether bytes may be written now.
    fn check(&self, clock: Clock) -> io::Result<()> {
        if let State::Before(time) = self.0.get()
            && clock() >= time
        {
            self.0.set(State::Exceeded);
        }
        if self.is_exceeded() {
            let message = "the request was not written within its time limit";
            return Err(io::Error::new(io::ErrorKind::TimedOut, message));
        }
        Ok(())
    }

    /// Records that bytes of the request were written. The rest of a request whose first bytes are on
    /// their way can't be withheld.
    fn record_write(&self) {
        self.0.set(State::Unlimited);
    }
}

/// A stream whose writes fail once a [`WriteLimit`] is exceeded.
///
/// Guards against a process that is suspended after it decided to send a request and before the task
/// of the connection has written it: when the process runs again, the request would be written
/// although the decision is outdated.
#[derive(Debug)]
pub struct TimedWriter<S> {
    stream: S,
    limit: WriteLimit,
    clock: Clock,
}

impl<S> TimedWriter<S> {
    /// Wraps a stream.
    pub fn new(stream: S, limit: WriteLimit, clock: Clock) -> Self {
        Self {
            stream,
            limit,
            clock,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TimedWriter<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TimedWriter<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.limit.check(self.clock)?;
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.limit.record_write();
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.limit.check(self.clock)?;
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.limit.record_write();
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
