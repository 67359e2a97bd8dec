//! Outgoing connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Longest wait for a connection: some round trips between failure domains,
/// and a queue at the target.
pub(crate) const CONNECT_WAIT: Duration = Duration::from_millis(400);

/// Longest time that sent bytes stay unacknowledged before the connection
/// counts as silent.
const UNACKED_WAIT: Duration = Duration::from_millis(800);

/// Idle time before, and time between, probes of a connection.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Reason why a request has no answer.
#[derive(Clone, Debug, Error)]
pub(crate) enum ExchangeError {
    /// No byte was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// Request was sent, at least in part.
    #[error("broken: {0}")]
    Interrupted(String),
}

/// Connection to a target or the store. It closes when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    pub(crate) async fn open(address: SocketAddr) -> Result<Connection, ExchangeError> {
        let not_sent = |error: &dyn std::error::Error| ExchangeError::NotSent(error.to_string());
        let stream = timeout(CONNECT_WAIT, TcpStream::connect(address))
            .await
            .map_err(|_| ExchangeError::NotSent("no connection in time".to_owned()))?
            .map_err(|error| not_sent(&error))?;
        if let Err(error) = set_socket_options(&stream) {
            log::warn!(address = address.to_string(), error = error.to_string(); "socket option refused");
        }
        let (sender, driver) = handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(&error))?;
        let task = tokio::task::spawn_local(async move {
            // Whoever waits for the answer gets the error.
            let _ = driver.await;
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
        })
    }

    /// Whether the next request can be sent now.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let detail = error.into_error().to_string();
                Err(if is_unsent {
                    ExchangeError::NotSent(detail)
                } else {
                    ExchangeError::Interrupted(detail)
                })
            }
        }
    }
}

/// Options that show a silent peer.
pub(crate) fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_WAIT))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(PROBE_PERIOD)
            .with_interval(PROBE_PERIOD),
    )
}
