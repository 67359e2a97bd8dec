//! Socket of a caller's connection, which tells [`CallerConnection`] how it ends.

use std::io::Error;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use futures::FutureExt;
use lagoon_connections::poll_read_part;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::unanswered::CallerConnection;

/// Maximum number of unread bytes that are counted when a connection ends.
const MAX_UNREAD_BYTES: usize = 4_096;

/// Time for which a connection that this VM has closed waits for the caller's close;
/// covers a request that was sent before the caller noticed.
const LINGER: Duration = Duration::from_millis(200);

pub(crate) struct CallerIo {
    stream: TcpStream,
    connection: Rc<CallerConnection>,
}

impl CallerIo {
    pub(crate) fn new(stream: TcpStream, connection: &Rc<CallerConnection>) -> CallerIo {
        CallerIo {
            stream,
            connection: Rc::clone(connection),
        }
    }

    /// Adds what the system has received and nobody has read, up to
    /// [`MAX_UNREAD_BYTES`]. It stays unread, so that the connection is reset and the
    /// caller knows that its request was not read.
    pub(crate) fn peek_rest(&self, unread: &mut Vec<u8>) {
        let mut buffer = [0; MAX_UNREAD_BYTES];
        // An error means that the connection is gone with what it held.
        if let Some(Ok(bytes)) = self.stream.peek(&mut buffer).now_or_never() {
            unread.extend_from_slice(&buffer[..bytes]);
        }
    }

    /// Closes this side, and waits until the caller closes its own or sends more, which is
    /// added.
    pub(crate) async fn peek_late(&mut self, unread: &mut Vec<u8>) {
        // An error means that the caller has closed the connection, as the wait shows.
        let _ = self.stream.shutdown().await;
        if let Ok(Ok(())) = timeout(LINGER, self.stream.readable()).await {
            self.peek_rest(unread);
        }
    }

    fn note_sent(&self, written: Result<usize, Error>) -> Result<usize, Error> {
        if let Ok(bytes) = written {
            self.connection.record_sent(bytes);
        }
        self.noted(written)
    }

    fn noted<T>(&self, result: Result<T, Error>) -> Result<T, Error> {
        if let Err(error) = &result {
            self.connection.record_error(error);
        }
        result
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<(), Error>> {
        self.connection.record_allocated();
        let has_room = buffer.remaining() > 0;
        let read = ready!(poll_read_part(&mut self.stream, cx, buffer));
        match self.noted(read)? {
            0 if has_room => self.connection.record_caller_left(),
            0 => {}
            bytes => self.connection.record_received(bytes),
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize, Error>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes));
        Poll::Ready(self.note_sent(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize, Error>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, parts));
        Poll::Ready(self.note_sent(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// hyper flushes the socket only when its own buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        let flushed = ready!(Pin::new(&mut self.stream).poll_flush(cx));
        self.noted(flushed)?;
        self.connection.record_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
