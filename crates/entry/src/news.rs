//! Datagrams in which VMs tell each other of loads and of lines of calls.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lagoon_gateway::GossipMessage;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::state::DaemonState;

/// Time between two messages: less than half of a model call at an idle
/// engine.
const PERIOD: Duration = Duration::from_millis(100);

/// Neighbours that are told; bounds the datagrams of one VM to 120 a second
/// each way.
const NEIGHBOURS: usize = 12;

/// Largest message: 300 targets.
const MESSAGE_BYTES: usize = 4_000;

/// Lines in one message, so that they fit beside the targets' loads of a
/// domain.
const LINES_EACH: usize = 100;

/// Pause after a datagram that can't be received.
const RECEIVE_PAUSE: Duration = Duration::from_millis(50);

/// Tells other VMs what is new and takes in what they tell.
///
/// # Errors
///
/// Fails when the socket can't be opened.
pub(crate) fn start_gossip(state: &Rc<DaemonState>, address: SocketAddr) -> std::io::Result<()> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    let socket = Rc::new(UdpSocket::from_std(socket)?);
    spawn_local(tell(Rc::clone(state), Rc::clone(&socket)));
    spawn_local(hear(Rc::clone(state), socket));
    Ok(())
}

async fn tell(state: Rc<DaemonState>, socket: Rc<UdpSocket>) {
    let mut is_quiet = true;
    loop {
        sleep(PERIOD).await;
        let targets = state.targets.borrow_mut().take_updates(state.now_ms());
        let lines = state.affinity.borrow_mut().take_updates();
        // Silence says the same as a message without targets, but for the
        // first one.
        let was_quiet = std::mem::replace(&mut is_quiet, targets.is_empty());
        let is_told = !(was_quiet && is_quiet);
        if !is_told && lines.is_empty() {
            continue;
        }
        let (neighbours, others) = state
            .peer_client
            .peers
            .borrow()
            .split_gossip_peers(NEIGHBOURS);
        for lines in lines.chunks(LINES_EACH) {
            let news = GossipMessage {
                targets: None,
                affinities: lines.to_vec(),
            };
            send(&state, &socket, &news, &others);
            send(&state, &socket, &news, &neighbours);
        }
        if is_told {
            let news = GossipMessage {
                targets: Some(targets),
                affinities: Vec::new(),
            };
            send(&state, &socket, &news, &neighbours);
        }
    }
}

/// Sends one message to some VMs. The next loads make up for lost ones; a lost
/// line costs its prompt being read once more.
fn send(state: &DaemonState, socket: &UdpSocket, news: &GossipMessage, receivers: &[SocketAddr]) {
    let message = match postcard::to_allocvec(news) {
        Ok(message) if message.len() <= MESSAGE_BYTES => message,
        Ok(message) => {
            log::warn!(bytes = message.len(); "news are too long for a message");
            return;
        }
        Err(error) => {
            log::warn!(error = error.to_string(); "news not encoded");
            return;
        }
    };
    for receiver in receivers {
        match socket.try_send_to(&message, *receiver) {
            Ok(_) => state.metrics.record_gossip("told", message.len()),
            Err(error) => {
                state.metrics.record_gossip("not sent", message.len());
                log::debug!(peer = receiver.to_string(), error = error.to_string(); "news not sent");
            }
        }
    }
}

async fn hear(state: Rc<DaemonState>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MESSAGE_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error = error.to_string(); "news not received");
                sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        if !state.peer_client.peers.borrow().is_known(from) {
            state.metrics.record_gossip("from a stranger", length);
            continue;
        }
        match postcard::from_bytes::<GossipMessage>(&buffer[..length]) {
            Ok(news) => {
                state.metrics.record_gossip("heard", length);
                let now_ms = state.now_ms();
                if let Some(targets) = &news.targets {
                    let mut known = state.targets.borrow_mut();
                    known.apply_updates(from, targets, now_ms);
                }
                state
                    .affinity
                    .borrow_mut()
                    .apply_updates(from, &news.affinities, now_ms);
            }
            Err(error) => {
                state.metrics.record_gossip("unreadable", length);
                log::debug!(peer = from.to_string(), error = error.to_string(); "news can't be read");
            }
        }
    }
}
