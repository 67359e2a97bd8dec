//! Outgoing HTTP/1.1 connections.

use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::ext::on_informational;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use lagoon_connections::{connect, set_socket_options, PartialReads};
use lagoon_paths::Loss;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::body::RequestBody;

/// Covers some round trips between failure domains, and a queue of connections
/// at the target.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a connection to a caller, a VM or the store is closed if sent data
/// stays unacknowledged (`TCP_USER_TIMEOUT`), or keepalive probes do.
pub(crate) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(800);

/// The same for a connection to a target, which may be silent for a second and go on.
const TARGET_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Maximum size of a response's head.
const MAX_HEAD_BYTES: usize = 131_072;

/// Maximum number of interim responses to one request, which are read and dropped. A
/// server that sends more of them may never send a response.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Reason why a connection could not be opened.
#[derive(Clone, Debug, Error)]
#[error("{detail}")]
pub(crate) struct OpenError {
    detail: String,
    /// What that says of the path; `None` if the cause is this process.
    pub(crate) loss: Option<Loss>,
}

impl OpenError {
    pub(crate) fn timed_out() -> OpenError {
        OpenError {
            detail: "no connection in time".to_owned(),
            loss: Some(Loss::TimedOut),
        }
    }
}

impl From<std::io::Error> for OpenError {
    fn from(error: std::io::Error) -> OpenError {
        let loss = match error.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => Some(Loss::Refused),
            ErrorKind::TimedOut
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::ConnectionAborted => Some(Loss::TimedOut),
            _ => None,
        };
        OpenError {
            detail: error.to_string(),
            loss,
        }
    }
}

/// Reason why a request has no response.
#[derive(Clone, Debug, Error)]
pub(crate) enum ExchangeError {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request was sent at least in part, so it may have been executed.
    #[error("interrupted: {0}")]
    Interrupted(String),
    /// The request was sent, and the bytes that arrived are no response, so it may have
    /// been executed.
    #[error("invalid response: {0}")]
    Invalid(String),
}

impl From<OpenError> for ExchangeError {
    fn from(error: OpenError) -> ExchangeError {
        ExchangeError::NotSent(error.to_string())
    }
}

/// Connection to a target, the store or another VM; closed on drop.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<RequestBody>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection to the store or another VM.
    pub(crate) async fn open(address: SocketAddr) -> Result<Connection, OpenError> {
        let stream = connect_in_time(TcpStream::connect(address)).await?;
        Connection::establish(stream, address, UNACKNOWLEDGED_TIMEOUT).await
    }

    /// Opens a connection to a target, which holds few bytes that nobody has read: there is
    /// one for each open request, whose caller may read slowly.
    pub(crate) async fn open_to_target(address: SocketAddr) -> Result<Connection, OpenError> {
        let stream = connect_in_time(connect(address)).await?;
        Connection::establish(stream, address, TARGET_UNACKNOWLEDGED_TIMEOUT).await
    }

    /// Opens a connection to a VM that carries attempts, with the same limit.
    pub(crate) async fn open_to_carrier(address: SocketAddr) -> Result<Connection, OpenError> {
        let stream = connect_in_time(connect(address)).await?;
        Connection::establish(stream, address, UNACKNOWLEDGED_TIMEOUT).await
    }

    async fn establish(
        stream: TcpStream,
        address: SocketAddr,
        unacknowledged_timeout: Duration,
    ) -> Result<Connection, OpenError> {
        if let Err(error) = set_socket_options(&stream, unacknowledged_timeout) {
            log::warn!(address = address.to_string(), error = error.to_string(); "cannot set TCP options");
        }
        let (sender, driver) = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(PartialReads(stream)))
            .await
            .map_err(|error| OpenError {
                detail: error.to_string(),
                loss: None,
            })?;
        let task = tokio::task::spawn_local(async move {
            // The pending request receives the same error.
            let _ = driver.await;
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
        })
    }

    /// Whether the connection is open and can take a request at once.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    pub(crate) async fn send(
        &mut self,
        mut request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let excess = notify_of_excess_interims(&mut request);
        let sent = tokio::select! {
            biased;
            () = excess.notified() => {
                self.task.abort();
                return Err(ExchangeError::Invalid("too many interim responses".to_owned()));
            }
            sent = self.sender.try_send_request(request) => sent,
        };
        match sent {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let error = error.into_error();
                let detail = error.to_string();
                Err(if is_unsent {
                    ExchangeError::NotSent(detail)
                } else if error.is_parse() {
                    ExchangeError::Invalid(detail)
                } else {
                    ExchangeError::Interrupted(detail)
                })
            }
        }
    }
}

async fn connect_in_time<F>(connecting: F) -> Result<TcpStream, OpenError>
where
    F: Future<Output = std::io::Result<TcpStream>>,
{
    let connected = timeout(CONNECT_TIMEOUT, connecting).await;
    Ok(connected.map_err(|_| OpenError::timed_out())??)
}

/// Returns what is notified once more than [`MAX_INTERIM_RESPONSES`] came to a request.
fn notify_of_excess_interims(request: &mut Request<RequestBody>) -> Arc<Notify> {
    let excess = Arc::new(Notify::new());
    let (count, notified) = (AtomicUsize::new(0), Arc::clone(&excess));
    on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_RESPONSES {
            notified.notify_one();
        }
    });
    excess
}
