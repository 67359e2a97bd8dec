//! Options of sockets.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpSocket, TcpStream};

const ACCEPT_BACKLOG: i32 = 1_024;

/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Size of a connection's receive buffer, as the system is asked for it.
const RECEIVE_BUFFER_BYTES: usize = 8_192;

/// Maximum number of bytes that a connection has received and nobody has read. Linux doubles
/// the size of a buffer for its own structures, which may need less.
pub const MAX_UNREAD_BYTES: u64 = 2 * RECEIVE_BUFFER_BYTES as u64;

/// Listens on an address; the socket is set up for tokio. Its connections have at most
/// [`MAX_UNREAD_BYTES`] that nobody has read.
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
    // Connections inherit it, before their window is announced.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}

/// Opens a connection with the same limit of unread bytes.
///
/// # Errors
///
/// Fails if the system refuses the address, or the connection isn't established.
pub async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES as u32)?;
    socket.connect(address).await
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
