//! Actor for messages between VMs, over nng push and pull sockets.
//!
//! Each VM pulls at its own address and pushes to the addresses of the
//! others. A message that can't be buffered is dropped; the VM that needs it
//! requests it again.

use std::net::SocketAddr;
use std::thread;
use std::time::Instant;

use lagoon_ids::FastMap;
use lagoon_node::{Event, PeerMessage};
use nng::options::{Options, RecvMaxSize, SendBufferSize};
use nng::{Protocol, Socket};
use stakker::CX;

use crate::constants::{
    MAX_PEER_MESSAGE_BYTES, PEER_BUFFER_MESSAGES, PEER_IDLE_TIMEOUT, WORKER_STACK_BYTES,
};
use crate::input::InputSender;

struct Peer {
    socket: Socket,
    last_used: Instant,
}

/// Actor that sends messages to other VMs.
pub(crate) struct PeersActor {
    peers: FastMap<SocketAddr, Peer>,
    local_address: SocketAddr,
}

impl PeersActor {
    pub(crate) fn init(
        _: CX![],
        socket: Socket,
        local_address: SocketAddr,
        input_sender: InputSender,
    ) -> Option<Self> {
        thread::Builder::new()
            .name("peers".to_owned())
            .stack_size(WORKER_STACK_BYTES)
            .spawn(move || run_receiver(&socket, &input_sender))
            .ok()?;
        Some(PeersActor {
            peers: FastMap::default(),
            local_address,
        })
    }

    pub(crate) fn send(&mut self, cx: CX![], to: SocketAddr, message: PeerMessage) {
        if to == self.local_address {
            return;
        }
        let now = cx.now();
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.last_used) < PEER_IDLE_TIMEOUT);
        if let Err(error) = self.try_send(to, &message, now) {
            log::debug!(to = to.to_string(), error = error.as_str(); "peer message dropped");
        }
    }

    fn try_send(
        &mut self,
        to: SocketAddr,
        message: &PeerMessage,
        now: Instant,
    ) -> Result<(), String> {
        let bytes = postcard::to_stdvec(message).map_err(|error| error.to_string())?;
        let peer = match self.peers.get_mut(&to) {
            Some(peer) => peer,
            None => {
                let socket = dial(to).map_err(|error| error.to_string())?;
                self.peers.entry(to).or_insert(Peer {
                    socket,
                    last_used: now,
                })
            }
        };
        peer.last_used = now;
        peer.socket
            .try_send(bytes.as_slice())
            .map_err(|(_, error)| error.to_string())
    }
}

/// Opens the socket that receives messages from other VMs.
///
/// # Errors
///
/// Fails if the socket can't listen on the address.
pub(crate) fn listen(address: SocketAddr) -> Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Pull0)?;
    socket.set_opt::<RecvMaxSize>(MAX_PEER_MESSAGE_BYTES)?;
    socket.listen(&format!("tcp://{address}"))?;
    Ok(socket)
}

fn dial(address: SocketAddr) -> Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(PEER_BUFFER_MESSAGES)?;
    socket.dial_async(&format!("tcp://{address}"))?;
    Ok(socket)
}

fn run_receiver(socket: &Socket, input_sender: &InputSender) {
    loop {
        let message = match socket.recv() {
            Ok(message) => message,
            Err(error) => {
                log::error!(error = error.to_string(); "receiver of peer messages stopped");
                return;
            }
        };
        match postcard::from_bytes(message.as_slice()) {
            Ok(message) => {
                if input_sender.send(Event::Peer(message).into()).is_err() {
                    return;
                }
            }
            Err(error) => log::warn!(error = error.to_string(); "peer message can't be decoded"),
        }
    }
}
