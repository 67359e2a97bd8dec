//! Reads of limited size, which keep hyper's buffers small.

use std::io::{Error, IoSlice};
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes of one read. hyper doubles its buffer after a read that is as
/// long as the last size: with fewer than 16,384 bytes it stays at that size, instead of the
/// 131,072 that a header section may need.
const MAX_READ_BYTES: usize = 16_383;

/// Reads a part of what the buffer has room for; returns the number of bytes.
pub fn poll_read_part(
    stream: &mut TcpStream,
    cx: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<Result<usize, Error>> {
    let room = buffer.initialize_unfilled_to(buffer.remaining().min(MAX_READ_BYTES));
    let mut part = ReadBuf::new(room);
    let read = ready!(Pin::new(stream).poll_read(cx, &mut part));
    let bytes = part.filled().len();
    buffer.advance(bytes);
    Poll::Ready(read.map(|()| bytes))
}

/// Socket whose reads are of limited size.
#[derive(Debug)]
pub struct PartialReads(pub TcpStream);

impl AsyncRead for PartialReads {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<(), Error>> {
        poll_read_part(&mut self.0, cx, buffer).map_ok(|_| ())
    }
}

impl AsyncWrite for PartialReads {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize, Error>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize, Error>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
