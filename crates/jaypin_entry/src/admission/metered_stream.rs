//! A caller's connection whose progress is recorded.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connection_table::AdmittedConnection;

/// Size that is requested for the system's receive buffer of a connection, in bytes. The system doubles it
/// for its own structures. Without it the system lets the buffer of each connection grow to megabytes.
pub const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// Largest number of bytes that are read at once. The HTTP library doubles the read buffer of a connection
/// whenever it is filled, and keeps it; its first size is one byte more than this.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// A stream that records the progress of its connection.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    connection: Rc<AdmittedConnection>,
}

impl MeteredStream {
    /// Records the progress of a stream in the state of its connection.
    pub fn new(stream: TcpStream, connection: Rc<AdmittedConnection>) -> Self {
        Self { stream, connection }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        let state = self.connection.state();
        match written {
            Poll::Ready(_) => state.record_write(self.connection.now()),
            Poll::Pending => state.record_blocked_write(),
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Limiting `buf` itself would initialize it, and memory that is not touched takes no room.
        let mut bytes = [const { MaybeUninit::uninit() }; MAX_READ_BYTES];
        let limit = buf.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::uninit(&mut bytes[..limit]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        buf.put_slice(part.filled());
        let length = part.filled().len();
        if length > 0 {
            let now = self.connection.now();
            self.connection.state().record_read(length, now);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
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
