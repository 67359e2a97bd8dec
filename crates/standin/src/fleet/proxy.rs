//! Fault-injecting TCP proxy on loopback, which can delay, reset or blackhole the
//! connections through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

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

/// Forwards connections. While the server or a fault refuses them, the proxy's
/// listening socket is closed.
async fn accept(
    mut listener: TcpListener,
    server: SocketAddr,
    mut faults: watch::Receiver<ProxyFault>,
) {
    let address = listener.local_addr().expect("socket has an address");
    let is_refused = |fault: &ProxyFault| *fault == ProxyFault::Refused;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => Some(accepted),
            () = wait_for_fault(&mut faults, is_refused) => None,
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
        // Fails if the proxy's handle is gone.
        if faults.wait_for(|fault| !is_refused(fault)).await.is_err() {
            return;
        }
        while TcpStream::connect(server).await.is_err() {
            sleep(SERVER_CHECK_INTERVAL).await;
        }
        listener = TcpListener::bind(address).await.expect("port is free");
    }
}

async fn proxy_connection(
    client: TcpStream,
    server: TcpStream,
    mut faults: watch::Receiver<ProxyFault>,
) {
    // With a linger time of zero, dropping the socket resets the connection.
    let set_reset_on_drop = |stream: &TcpStream| stream.set_zero_linger();
    if set_reset_on_drop(&client).is_err() || set_reset_on_drop(&server).is_err() {
        return;
    }
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let resets_connections =
        |fault: &ProxyFault| matches!(fault, ProxyFault::Reset | ProxyFault::Refused);
    let to_server_task = forward_bytes(Direction::ToServer, from_client, to_server, faults.clone());
    let to_client_task = forward_bytes(Direction::ToClient, from_server, to_client, faults.clone());
    tokio::select! {
        _ = async { tokio::join!(to_server_task, to_client_task) } => {}
        () = wait_for_fault(&mut faults, resets_connections) => {}
    }
}

/// Forwards bytes until one end closes; never returns once its direction is blackholed.
async fn forward_bytes<R, W>(
    direction: Direction,
    mut from: R,
    mut to: W,
    mut faults: watch::Receiver<ProxyFault>,
) where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut chunk = vec![0; BUFFER_BYTES];
    loop {
        let read = tokio::select! {
            read = from.read(&mut chunk) => read,
            () = wait_until_blackholed(direction, &mut faults) => return std::future::pending().await,
        };
        let Ok(length @ 1..) = read else {
            // The peer sees the close only after all forwarded bytes.
            let _ = to.shutdown().await;
            return;
        };
        let fault = *faults.borrow();
        if let ProxyFault::Delayed(time) = fault {
            sleep(time).await;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}

/// Waits for a fault that blackholes this direction.
async fn wait_until_blackholed(direction: Direction, faults: &mut watch::Receiver<ProxyFault>) {
    let blackholes_direction = |fault: &ProxyFault| match fault {
        ProxyFault::Blackhole => true,
        ProxyFault::BlackholeResponses => direction == Direction::ToClient,
        ProxyFault::None | ProxyFault::Delayed(_) | ProxyFault::Reset | ProxyFault::Refused => {
            false
        }
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
