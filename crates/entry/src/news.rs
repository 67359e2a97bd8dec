//! Datagrams in which VMs tell each other of loads and of lines of calls.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lagoon_gateway::GossipMessage;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::shared::Shared;

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
pub(crate) fn exchange(shared: &Rc<Shared>, address: SocketAddr) -> std::io::Result<()> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    let socket = Rc::new(UdpSocket::from_std(socket)?);
    spawn_local(tell(Rc::clone(shared), Rc::clone(&socket)));
    spawn_local(hear(Rc::clone(shared), socket));
    Ok(())
}

async fn tell(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut is_quiet = true;
    loop {
        sleep(PERIOD).await;
        let targets = shared.targets.borrow_mut().take_updates(shared.now_ms());
        let lines = shared.lines.borrow_mut().take_updates();
        // Silence says the same as a message without targets, but for the
        // first one.
        let was_quiet = std::mem::replace(&mut is_quiet, targets.is_empty());
        let is_told = !(was_quiet && is_quiet);
        if !is_told && lines.is_empty() {
            continue;
        }
        let (neighbours, others) = shared.peers.peers.borrow().split_gossip_peers(NEIGHBOURS);
        for lines in lines.chunks(LINES_EACH) {
            let news = GossipMessage {
                targets: None,
                affinities: lines.to_vec(),
            };
            send(&shared, &socket, &news, &others);
            send(&shared, &socket, &news, &neighbours);
        }
        if is_told {
            let news = GossipMessage {
                targets: Some(targets),
                affinities: Vec::new(),
            };
            send(&shared, &socket, &news, &neighbours);
        }
    }
}

/// Sends one message to some VMs. The next loads make up for lost ones; a lost
/// line costs its prompt being read once more.
fn send(shared: &Shared, socket: &UdpSocket, news: &GossipMessage, receivers: &[SocketAddr]) {
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
            Ok(_) => shared.metrics.news("told", message.len()),
            Err(error) => {
                shared.metrics.news("not sent", message.len());
                log::debug!(peer = receiver.to_string(), error = error.to_string(); "news not sent");
            }
        }
    }
}

async fn hear(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
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
        if !shared.peers.peers.borrow().is_known(from) {
            shared.metrics.news("from a stranger", length);
            continue;
        }
        match postcard::from_bytes::<GossipMessage>(&buffer[..length]) {
            Ok(news) => {
                shared.metrics.news("heard", length);
                let now_ms = shared.now_ms();
                if let Some(targets) = &news.targets {
                    let mut known = shared.targets.borrow_mut();
                    known.apply_updates(from, targets, now_ms);
                }
                shared
                    .lines
                    .borrow_mut()
                    .apply_updates(from, &news.affinities, now_ms);
            }
            Err(error) => {
                shared.metrics.news("unreadable", length);
                log::debug!(peer = from.to_string(), error = error.to_string(); "news can't be read");
            }
        }
    }
}
