//! Options of sockets.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::TcpStream;

const ACCEPT_BACKLOG: i32 = 1_024;

/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Listens on an address; the socket is set up for tokio.
///
/// # Errors
///
/// Fails if the system refuses the address.
pub fn listen(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}

/// Disables Nagle's algorithm, and lets the system close the connection if sent data or
/// keepalive probes stay unacknowledged, or the peer's window stays shut, for this long.
///
/// # Errors
///
/// Fails if the system refuses an option.
pub fn set_socket_options(
    stream: &TcpStream,
    unacknowledged_timeout: Duration,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(unacknowledged_timeout))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL),
    )
}
