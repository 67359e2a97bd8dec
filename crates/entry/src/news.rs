//! Gossip between VMs by UDP: loads of targets, session affinities, crashes of
//! targets, the versions that sentinels have read, limits of targets, and the versions
//! of streams.

mod datagram;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lagoon_gateway::{CapacityUpdate, CrashUpdate, GossipMessage, SentinelMessage};
use lagoon_limits::LimitUpdate;
use lagoon_streams::OriginRecord;
use rand::RngExt;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::state::DaemonState;
use crate::tasks::spawn_lasting;

pub use datagram::News;

/// Interval at which updates are sent; less than half of the duration of a
/// model call at an idle engine.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of gossip peers, which get target loads. Bounds the load
/// messages of one VM to 120 a second in each direction.
const MAX_GOSSIP_PEERS: usize = 12;

/// Maximum size of a message; has room for the loads of 300 targets.
const MAX_MESSAGE_BYTES: usize = 4_000;

/// Maximum number of affinity updates in one message. At up to 10 bytes each, they
/// stay well within `MAX_MESSAGE_BYTES`.
const AFFINITIES_PER_MESSAGE: usize = 100;

/// Maximum number of crashes in one message. At up to 20 bytes each, they stay
/// well within `MAX_MESSAGE_BYTES`.
const CRASHES_PER_MESSAGE: usize = 100;

/// Maximum number of limits in one message. At up to 36 bytes each, they stay within
/// `MAX_MESSAGE_BYTES`.
const LIMITS_PER_MESSAGE: usize = 100;

/// Maximum number of stream versions in one message. At up to 25 bytes each, they stay
/// within `MAX_MESSAGE_BYTES`.
const ORIGINS_PER_MESSAGE: usize = 100;

/// Maximum number of updates on the speed of targets in one message. At up to 17 bytes
/// each, 12 gossip peers get at most 8 KB a second.
const SPEEDS_PER_MESSAGE: usize = 4;

/// Maximum number of accounts with admitted programs in one message, at up to 9 bytes
/// each; further ones follow in the next.
const ACCOUNTS_PER_MESSAGE: usize = 2;

/// Interval at which a VM repeats the crashes and limits that it knows, as datagrams
/// may get lost and VMs may be cut off for a time.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Number of other VMs, chosen at random, that get a repetition. Each VM that knows
/// of it repeats it, so all know after a few rounds.
const REPEAT_PEERS: usize = 3;

const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Starts to send updates to other VMs and to receive theirs.
///
/// # Errors
///
/// Fails if the socket can't be opened.
pub(crate) fn start_gossip(state: &Rc<DaemonState>, address: SocketAddr) -> std::io::Result<()> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    let socket = Rc::new(UdpSocket::from_std(socket)?);
    state.origins.set_socket(&socket);
    let (task_state, task_socket) = (Rc::clone(state), Rc::clone(&socket));
    spawn_lasting("send updates", move || {
        send_updates(Rc::clone(&task_state), Rc::clone(&task_socket))
    });
    let (task_state, task_socket) = (Rc::clone(state), Rc::clone(&socket));
    spawn_lasting("repeat news", move || {
        repeat_news(Rc::clone(&task_state), Rc::clone(&task_socket))
    });
    let task_state = Rc::clone(state);
    spawn_lasting("receive updates", move || {
        receive_updates(Rc::clone(&task_state), Rc::clone(&socket))
    });
    Ok(())
}

async fn send_updates(state: Rc<DaemonState>, socket: Rc<UdpSocket>) {
    let mut has_no_targets = true;
    loop {
        sleep(GOSSIP_INTERVAL).await;
        send_new_crashes(&state, &socket);
        send_new_limits(&state, &socket);
        send_versions(&state, &socket);
        let targets = state.targets.borrow_mut().take_updates(state.now_ms());
        let capacity = take_capacity_updates(&state);
        let updates = state.affinity.borrow_mut().take_updates();
        // The first message without targets reports that this VM has no
        // requests in flight; further ones add nothing.
        let had_no_targets = std::mem::replace(&mut has_no_targets, targets.is_empty());
        let sends_targets = !(had_no_targets && has_no_targets);
        if !sends_targets && updates.is_empty() && capacity.is_empty() {
            continue;
        }
        let (gossip_peers, others) = state
            .peer_client
            .peers
            .borrow()
            .split_gossip_peers(MAX_GOSSIP_PEERS);
        for updates in updates.chunks(AFFINITIES_PER_MESSAGE) {
            let news = News {
                message: GossipMessage {
                    targets: None,
                    affinities: updates.to_vec(),
                },
                ..News::default()
            };
            send(&state, &socket, &news, &others);
            send(&state, &socket, &news, &gossip_peers);
        }
        if sends_targets || !capacity.is_empty() {
            let news = News {
                message: GossipMessage {
                    targets: sends_targets.then_some(targets),
                    affinities: Vec::new(),
                },
                capacity,
                ..News::default()
            };
            send(&state, &socket, &news, &gossip_peers);
        }
    }
}

/// Sends the versions that this VM has read to its failure domain, if it is a
/// sentinel.
fn send_versions(state: &DaemonState, socket: &UdpSocket) {
    let now_ms = state.evidence_now_ms();
    let Some(message) = state.sentinel.borrow_mut().take_message(now_ms) else {
        return;
    };
    let news = News {
        versions: message.versions,
        ages: message.ages,
        ..News::default()
    };
    let receivers = state.peer_client.peers.borrow().local_addresses();
    send(state, socket, &news, &receivers);
}

/// Sends the crashes that this VM saw to all other VMs.
fn send_new_crashes(state: &DaemonState, socket: &UdpSocket) {
    let crashes = state.crash_tracker.take_new();
    if crashes.is_empty() {
        return;
    }
    let receivers = state.peer_client.peers.borrow().sample(usize::MAX, 0);
    for crashes in crashes.chunks(CRASHES_PER_MESSAGE) {
        send_crashes(state, socket, crashes, &receivers);
    }
}

/// Sends the limits that this VM's responses brought to all other VMs.
fn send_new_limits(state: &DaemonState, socket: &UdpSocket) {
    let limits = state.targets.borrow_mut().limits.take_news(state.now_ms());
    if limits.is_empty() {
        return;
    }
    let receivers = state.peer_client.peers.borrow().sample(usize::MAX, 0);
    for limits in limits.chunks(LIMITS_PER_MESSAGE) {
        send_limits(state, socket, limits, &receivers);
    }
}

async fn repeat_news(state: Rc<DaemonState>, socket: Rc<UdpSocket>) {
    loop {
        sleep(REPEAT_INTERVAL).await;
        let now_ms = state.now_ms();
        let crashes = state.crash_tracker.to_repeat(CRASHES_PER_MESSAGE);
        let limits = state
            .targets
            .borrow()
            .limits
            .to_repeat(LIMITS_PER_MESSAGE, now_ms);
        let random = rand::rng().random();
        let peers = &state.peer_client.peers;
        let receivers = peers.borrow().sample(REPEAT_PEERS, random);
        if !crashes.is_empty() {
            send_crashes(&state, &socket, &crashes, &receivers);
        }
        if !limits.is_empty() {
            send_limits(&state, &socket, &limits, &receivers);
        }
    }
}

fn send_crashes(
    state: &DaemonState,
    socket: &UdpSocket,
    crashes: &[CrashUpdate],
    receivers: &[SocketAddr],
) {
    let news = News {
        crashes: crashes.to_vec(),
        ..News::default()
    };
    send(state, socket, &news, receivers);
}

fn send_limits(
    state: &DaemonState,
    socket: &UdpSocket,
    limits: &[LimitUpdate],
    receivers: &[SocketAddr],
) {
    let news = News {
        limits: limits.to_vec(),
        ..News::default()
    };
    send(state, socket, &news, receivers);
}

/// Sends versions of streams to several VMs.
pub(crate) fn send_origins(
    state: &DaemonState,
    socket: &UdpSocket,
    origins: &[OriginRecord],
    receivers: &[SocketAddr],
) {
    for origins in origins.chunks(ORIGINS_PER_MESSAGE) {
        let news = News {
            origins: origins.to_vec(),
            ..News::default()
        };
        send(state, socket, &news, receivers);
    }
}

/// Sends one datagram to several VMs. A lost load update is replaced by the next
/// one; a lost affinity update costs one more prefill of the session's prompt.
fn send(state: &DaemonState, socket: &UdpSocket, news: &News, receivers: &[SocketAddr]) {
    let message = match news.encode() {
        Ok(message) if message.len() <= MAX_MESSAGE_BYTES => message,
        Ok(message) => {
            log::warn!(bytes = message.len(); "gossip message is too long; not sent");
            return;
        }
        Err(error) => {
            log::warn!(error = error.to_string(); "cannot encode a gossip message");
            return;
        }
    };
    for receiver in receivers {
        match socket.try_send_to(&message, *receiver) {
            Ok(_) => state.metrics.record_gossip("told", message.len()),
            Err(error) => {
                state.metrics.record_gossip("not sent", message.len());
                log::debug!(peer = receiver.to_string(), error = error.to_string(); "cannot send a gossip message");
            }
        }
    }
}

async fn receive_updates(state: Rc<DaemonState>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let (bytes, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error = error.to_string(); "cannot receive gossip messages");
                sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        if !state.peer_client.peers.borrow().is_known(from) {
            state.metrics.record_gossip("from a stranger", bytes);
            continue;
        }
        match News::decode(&buffer[..bytes]) {
            Ok(news) => {
                state.metrics.record_gossip("heard", bytes);
                apply(&state, from, news);
            }
            Err(error) => {
                state.metrics.record_gossip("unreadable", bytes);
                log::debug!(peer = from.to_string(), error = error.to_string(); "cannot decode a gossip message");
            }
        }
    }
}

fn apply(state: &DaemonState, from: SocketAddr, news: News) {
    let now_ms = state.now_ms();
    if let Some(targets) = &news.message.targets {
        let mut known = state.targets.borrow_mut();
        known.apply_updates(from, targets, now_ms);
    }
    state
        .affinity
        .borrow_mut()
        .apply_updates(from, &news.message.affinities, now_ms);
    state.crash_tracker.apply_updates(&news.crashes);
    let message = SentinelMessage {
        versions: news.versions,
        ages: news.ages,
    };
    let evidence_now_ms = state.evidence_now_ms();
    let mut sentinel = state.sentinel.borrow_mut();
    sentinel.on_message(from, &message, evidence_now_ms);
    drop(sentinel);
    if !news.limits.is_empty() {
        state.apply_limits(&news.limits, &from.to_string());
    }
    state.accept_origins(&news.origins);
    for update in &news.capacity {
        match update {
            CapacityUpdate::Speed(speed) => {
                let mut targets = state.targets.borrow_mut();
                targets.apply_speeds(std::slice::from_ref(speed), now_ms);
            }
            CapacityUpdate::Admitted(admitted) => {
                let mut admission = state.admission.borrow_mut();
                admission.apply_admitted(std::slice::from_ref(admitted), now_ms);
            }
        }
    }
}

/// Updates on the speed of targets and on admitted programs for gossip peers.
fn take_capacity_updates(state: &DaemonState) -> Vec<CapacityUpdate> {
    let mut targets = state.targets.borrow_mut();
    let speeds = targets.take_speeds(SPEEDS_PER_MESSAGE, state.now_ms());
    let mut admission = state.admission.borrow_mut();
    let admitted = admission.take_admitted(ACCOUNTS_PER_MESSAGE);
    let speeds = speeds.into_iter().map(CapacityUpdate::Speed);
    let admitted = admitted.into_iter().map(CapacityUpdate::Admitted);
    speeds.chain(admitted).collect()
}
