//! Link on loopback that passes bytes on, and can delay, reset or silence the
//! connections that go through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::start;

/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16_384;

/// What is wrong with a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Bytes take this much longer each way.
    Delayed(Duration),
    /// Connections are reset, new ones as well.
    Resets,
    /// Nothing comes back. Connections of that time stay silent for good.
    SilentBack,
    /// Nothing passes, either way. Connections of that time stay silent.
    Silent,
}

/// Way of the bytes through a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    There,
    Back,
}

/// Link to one server.
#[derive(Clone, Debug)]
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    fault: Arc<watch::Sender<LinkFault>>,
}

impl Link {
    /// Starts a link to a server on a free port.
    pub fn to(server: SocketAddr) -> Link {
        let (fault, faults) = watch::channel(LinkFault::None);
        let address = start(move |listener| async move {
            while let Ok((caller, _)) = listener.accept().await {
                spawn_local(pass(caller, server, faults.clone()));
            }
        });
        Link {
            address,
            fault: Arc::new(fault),
        }
    }

    /// Sets what is wrong.
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

async fn pass(caller: TcpStream, server: SocketAddr, mut faults: watch::Receiver<LinkFault>) {
    let connected = TcpStream::connect(server).await;
    // Without a linger time a drop resets the connection.
    let resets = |stream: &TcpStream| stream.set_zero_linger();
    let Ok(server) = connected else {
        // A socket that can't be reset is closed, which ends it as well.
        let _ = resets(&caller);
        return;
    };
    if resets(&caller).is_err() || resets(&server).is_err() {
        return;
    }
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let there = copy(Way::There, from_caller, to_server, faults.clone());
    let back = copy(Way::Back, from_server, to_caller, faults.clone());
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        _ = faults.wait_for(|fault| *fault == LinkFault::Resets) => {}
    }
}

/// Passes bytes on until one end closes, or for ever if they are silenced.
async fn copy<R, W>(way: Way, mut from: R, mut to: W, mut faults: watch::Receiver<LinkFault>)
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = tokio::select! {
            read = from.read(&mut chunk) => read,
            () = silenced(way, &mut faults) => return std::future::pending().await,
        };
        let Ok(length @ 1..) = read else {
            // The other end sees a close only after all that was passed on.
            let _ = to.shutdown().await;
            return;
        };
        let fault = *faults.borrow();
        if let LinkFault::Delayed(time) = fault {
            sleep(time).await;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}

/// Waits until nothing passes this way any more.
async fn silenced(way: Way, faults: &mut watch::Receiver<LinkFault>) {
    let is_silent = |fault: &LinkFault| match fault {
        LinkFault::Silent => true,
        LinkFault::SilentBack => way == Way::Back,
        LinkFault::None | LinkFault::Delayed(_) | LinkFault::Resets => false,
    };
    if faults.wait_for(is_silent).await.is_err() {
        // Nobody can set a fault any more.
        std::future::pending::<()>().await;
    }
}
