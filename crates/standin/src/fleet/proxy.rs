//! Fault-injecting TCP proxy on loopback, which can delay, reset or blackhole the
//! connections through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::start_server;

/// Read buffer size of one direction of a connection.
const BUFFER_BYTES: usize = 16_384;

/// Interval of connection attempts to a server that is down.
const SERVER_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Fault injected into a proxy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ProxyFault {
    /// No fault.
    #[default]
    None,
    /// Each chunk is delayed by this time, in both directions.
    Delayed(Duration),
    /// Open and new connections are reset.
    Reset,
    /// Open connections are reset, and no new ones are accepted.
    Refused,
    /// Open connections are reset when the client sends something, and no new ones are
    /// accepted.
    RefusedOnUse,
    /// Open connections live on, and no new ones are accepted.
    NewRefused,
    /// Open connections stay silent, also after the fault, and new ones are neither
    /// established nor refused.
    Unreachable,
    /// Open connections stay silent and go on after the fault; new ones are neither
    /// established nor refused.
    Paused,
    /// Bytes from the server are not forwarded. Connections open during the fault
    /// stay silent after it.
    BlackholeResponses,
    /// Bytes are forwarded in neither direction. Connections open during the fault
    /// stay silent after it.
    Blackhole,
}

/// Direction of a byte stream through a proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    ToServer,
    ToClient,
}

/// Handle of a fault-injecting proxy to one server.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    /// Address on loopback to use in place of the server's.
    pub address: SocketAddr,
    fault: Arc<watch::Sender<ProxyFault>>,
}

impl FaultProxy {
    /// Starts a proxy to a server on a free loopback port.
    pub fn start(server: SocketAddr) -> FaultProxy {
        let (fault, faults) = watch::channel(ProxyFault::None);
        let address = start_server(move |listener| accept(listener, server, faults));
        FaultProxy {
            address,
            fault: Arc::new(fault),
        }
    }

    /// Injects a fault; [`ProxyFault::None`] ends it.
    pub fn set_fault(&self, fault: ProxyFault) {
        self.fault.send_replace(fault);
    }
}

/// Connections that fill the queue of a socket that accepts none, so that the system
/// answers no further ones.
struct FullQueue {
    _listener: TcpListener,
    _queued: Vec<TcpStream>,
}

/// Time after which a connection on loopback is not established any more.
const QUEUE_FULL_AFTER: Duration = Duration::from_millis(50);

impl FullQueue {
    async fn open(address: SocketAddr) -> std::io::Result<FullQueue> {
        let listener = bind(address, 0)?;
        let mut queued = Vec::new();
        while let Ok(stream) = timeout(QUEUE_FULL_AFTER, TcpStream::connect(address)).await {
            queued.push(stream?);
        }
        Ok(FullQueue {
            _listener: listener,
            _queued: queued,
        })
    }
}

/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;

fn bind(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Whether new connections are not accepted.
fn is_closed(fault: &ProxyFault) -> bool {
    matches!(
        fault,
        ProxyFault::Refused
            | ProxyFault::RefusedOnUse
            | ProxyFault::NewRefused
            | ProxyFault::Unreachable
            | ProxyFault::Paused
    )
}

/// Forwards connections. While the server or a fault refuses them, the proxy's
/// listening socket is closed.
async fn accept(
    mut listener: TcpListener,
    server: SocketAddr,
    mut faults: watch::Receiver<ProxyFault>,
) {
    let address = listener.local_addr().expect("socket has an address");
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => Some(accepted),
            () = wait_for_fault(&mut faults, is_closed) => None,
        };
        match accepted {
            Some(Ok((client, _))) => {
                if let Ok(server) = TcpStream::connect(server).await {
                    spawn_local(proxy_connection(client, server, faults.clone()));
                    continue;
                }
                // If the option can't be set, the socket is closed instead of reset.
                let _ = client.set_zero_linger();
            }
            Some(Err(_)) => return,
            None => {}
        }
        drop(listener);
        let fault = *faults.borrow();
        let is_unreachable = matches!(fault, ProxyFault::Unreachable | ProxyFault::Paused);
        let full_queue = match is_unreachable {
            true => Some(FullQueue::open(address).await.expect("port is free")),
            false => None,
        };
        // Fails if the proxy's handle is gone.
        if faults.wait_for(|fault| !is_closed(fault)).await.is_err() {
            return;
        }
        drop(full_queue);
        while TcpStream::connect(server).await.is_err() {
            sleep(SERVER_CHECK_INTERVAL).await;
        }
        listener = bind(address, ACCEPT_BACKLOG).expect("port is free");
    }
}

async fn proxy_connection(
    mut client: TcpStream,
    mut server: TcpStream,
    mut faults: watch::Receiver<ProxyFault>,
) {
    // With a linger time of zero, dropping the socket resets the connection.
    let set_reset_on_drop = |stream: &TcpStream| stream.set_zero_linger();
    if set_reset_on_drop(&client).is_err() || set_reset_on_drop(&server).is_err() {
        return;
    }
    // Owned halves would close in order when they are dropped.
    let (from_client, to_client) = client.split();
    let (from_server, to_server) = server.split();
    let resets_connections =
        |fault: &ProxyFault| matches!(fault, ProxyFault::Reset | ProxyFault::Refused);
    let to_server_task = forward_bytes(Direction::ToServer, from_client, to_server, faults.clone());
    let to_client_task = forward_bytes(Direction::ToClient, from_server, to_client, faults.clone());
    tokio::select! {
        // A reset on one side resets the other.
        _ = async { tokio::try_join!(to_server_task, to_client_task) } => {}
        () = wait_for_fault(&mut faults, resets_connections) => {}
    }
}

/// Forwards bytes until one end closes; never returns once its direction is blackholed.
/// Fails if one end is reset.
async fn forward_bytes<R, W>(
    direction: Direction,
    mut from: R,
    mut to: W,
    mut faults: watch::Receiver<ProxyFault>,
) -> std::io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut chunk = vec![0; BUFFER_BYTES];
    loop {
        let read = tokio::select! {
            read = from.read(&mut chunk) => read,
            () = wait_until_blackholed(direction, &mut faults) => return std::future::pending().await,
        };
        let length = read?;
        if length == 0 {
            // The peer sees the close only after all forwarded bytes.
            return to.shutdown().await;
        }
        let fault = *faults.borrow();
        if fault == ProxyFault::RefusedOnUse && direction == Direction::ToServer {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        if let ProxyFault::Delayed(time) = fault {
            sleep(time).await;
        }
        let is_paused = |fault: &ProxyFault| *fault == ProxyFault::Paused;
        if faults.wait_for(|fault| !is_paused(fault)).await.is_err() {
            return Ok(());
        }
        to.write_all(&chunk[..length]).await?;
    }
}

/// Waits for a fault that blackholes this direction.
async fn wait_until_blackholed(direction: Direction, faults: &mut watch::Receiver<ProxyFault>) {
    let blackholes_direction = |fault: &ProxyFault| match fault {
        ProxyFault::Blackhole | ProxyFault::Unreachable => true,
        ProxyFault::BlackholeResponses => direction == Direction::ToClient,
        ProxyFault::None
        | ProxyFault::Delayed(_)
        | ProxyFault::Reset
        | ProxyFault::Refused
        | ProxyFault::RefusedOnUse
        | ProxyFault::Paused
        | ProxyFault::NewRefused => false,
    };
    wait_for_fault(faults, blackholes_direction).await;
}

/// Waits for a fault; forever if the proxy's handle is gone and none can be injected.
async fn wait_for_fault<F>(faults: &mut watch::Receiver<ProxyFault>, is_awaited: F)
where
    F: FnMut(&ProxyFault) -> bool,
{
    if faults.wait_for(is_awaited).await.is_err() {
        std::future::pending::<()>().await;
    }
}
