//! Connection of a client, its socket and its open requests.

use std::cell::RefCell;
use std::io::{Error, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use lagoon_connections::{poll_read_part, ConnectionMemory, Refusal};
use lagoon_memory::Claim;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::http::bounds::{Bound, Bounds};
use crate::http::server::{ActiveRequestGuard, ActiveRequests};

pub(super) struct Connection {
    pub(super) bounds: Rc<Bounds>,
    pub(super) held: ConnectionMemory,
    active: ActiveRequests,
    /// Requests whose response is in the connection's buffer.
    responded: RefCell<Vec<ActiveRequestGuard>>,
}

impl Connection {
    pub(super) fn new(bounds: &Rc<Bounds>, active: &ActiveRequests) -> Rc<Connection> {
        let holding = bounds
            .memory
            .hold(Claim::Withdrawable, bounds.clock.now_ms());
        Rc::new(Connection {
            bounds: Rc::clone(bounds),
            held: ConnectionMemory::new(holding),
            active: active.clone(),
            responded: RefCell::default(),
        })
    }

    /// Counts a request as active until the guard is dropped and the system has the
    /// response.
    pub(super) fn begin_request(self: &Rc<Self>) -> RequestGuard {
        self.held.begin_request(self.bounds.clock.now_ms());
        RequestGuard {
            connection: Rc::clone(self),
            active: Some(self.active.track()),
        }
    }

    /// Waits until the head that arrives is refused.
    pub(super) async fn until_refused(&self) {
        let clock = self.bounds.clock;
        let limit = self.bounds.limits.head_timeout;
        let refusal = self.held.until_refused(|| limit, || clock.now_ms()).await;
        self.bounds.record(match refusal {
            Refusal::TimedOut => Bound::HeadTime,
            Refusal::NoMemory => Bound::HeadMemory,
        });
    }

    /// Records that the system has all bytes of the connection's buffer.
    fn record_flushed(&self) {
        let responded = std::mem::take(&mut *self.responded.borrow_mut());
        if !responded.is_empty() {
            let now_ms = self.bounds.clock.now_ms();
            self.held.end_requests(responded.len(), now_ms);
        }
    }
}

/// Request whose response isn't in the connection's buffer yet.
pub(super) struct RequestGuard {
    connection: Rc<Connection>,
    active: Option<ActiveRequestGuard>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut responded = self.connection.responded.borrow_mut();
        responded.extend(self.active.take());
    }
}

/// Socket that reports what it receives and when it has sent everything.
pub(super) struct ClientIo {
    stream: TcpStream,
    connection: Rc<Connection>,
}

impl ClientIo {
    pub(super) fn new(stream: TcpStream, connection: &Rc<Connection>) -> ClientIo {
        ClientIo {
            stream,
            connection: Rc::clone(connection),
        }
    }
}

impl AsyncRead for ClientIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<(), Error>> {
        let bytes = ready!(poll_read_part(&mut self.stream, cx, buffer))?;
        if bytes > 0 {
            let now_ms = self.connection.bounds.clock.now_ms();
            self.connection.held.record_received(bytes, now_ms);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize, Error>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize, Error>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// hyper flushes the socket only when its own buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.connection.record_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
