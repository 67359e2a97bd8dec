//! Socket of a caller's connection, which tells [`CallerConnection`] how it ends.

use std::io::Error;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use socket2::SockRef;
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

    /// Bytes that the system has received and nobody has read, up to
    /// [`MAX_UNREAD_BYTES`]. They stay unread, so that the connection is reset with them
    /// and the caller knows that its request was not read.
    pub(crate) fn unread_bytes(&self) -> usize {
        let mut buffer = [MaybeUninit::uninit(); MAX_UNREAD_BYTES];
        // An error means that there are none, or that the connection is gone.
        let peeked = SockRef::from(&self.stream).peek(&mut buffer);
        peeked.unwrap_or_default()
    }

    /// Closes this side, and waits until the caller closes its own or sends more; returns
    /// the bytes of it, which stay unread.
    pub(crate) async fn late_bytes(&mut self) -> usize {
        // An error means that the caller has closed the connection, as the peek shows.
        let _ = self.stream.shutdown().await;
        let mut buffer = [0; MAX_UNREAD_BYTES];
        match timeout(LINGER, self.stream.peek(&mut buffer)).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(_)) | Err(_) => 0,
        }
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
        let filled = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buffer));
        self.noted(read)?;
        match buffer.filled().len() - filled {
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
        Poll::Ready(self.noted(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize, Error>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, parts));
        Poll::Ready(self.noted(written))
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
