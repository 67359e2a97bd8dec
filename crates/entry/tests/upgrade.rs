//! Daemons as processes beside VMs of builds that don't know all of their messages.

mod fleet;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use fleet::{call, complete_stream, get, read_message, wait_until, write_reply, Fleet};
use lagoon_adapter::standin::kept_turn_headers;

/// Encoded number of `PeerMessage::Probe`.
const PROBE: u8 = 6;

/// Encoded number of `PeerMessage::CopyTurn`, the first that the old VM doesn't know.
const COPY_TURN: u8 = 8;

/// Encoded number of `PeerMessage::FetchTurns`.
const FETCH_TURNS: u8 = 13;

const TURNS: usize = 12;

/// Over all turns, longer than the time for which an unreachable VM isn't asked.
const PAUSE: Duration = Duration::from_millis(150);

/// VM whose build knows the messages of protocol version 1.
struct OldVm {
    address: SocketAddr,
    /// Numbers of the messages that it has received.
    received: Arc<Mutex<Vec<u8>>>,
}

impl OldVm {
    fn start() -> OldVm {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("address");
        let received = Arc::new(Mutex::new(Vec::new()));
        let log = Arc::clone(&received);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let log = Arc::clone(&log);
                thread::spawn(move || while answer(&stream, &log).is_some() {});
            }
        });
        OldVm { address, received }
    }

    /// Lists the VM in the store; `protocol` is what its entry states.
    fn register(&self, fleet: &Fleet, protocol: Option<u32>) {
        let stated = protocol.map_or_else(String::new, |p| format!(r#","protocol":{p}"#));
        let address = self.address;
        let entry = format!(r#"{{"address":"{address}","domain":"d1","writer":"old/1"{stated}}}"#);
        fleet.store.put("vms", "old", Some(entry.into_bytes()));
        wait_until("the old VM", || {
            let metrics = get(fleet.vms[0].peers, "/metrics").body;
            metrics.contains("\nlagoon_other_vms 1\n")
        });
    }

    fn received(&self, number: u8) -> usize {
        let received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        received.iter().filter(|other| **other == number).count()
    }
}

/// Answers one message as a build of protocol version 1; `None` at the end of the
/// connection.
fn answer(stream: &TcpStream, log: &Mutex<Vec<u8>>) -> Option<()> {
    let body = read_message(stream)?;
    let number = *body.first()?;
    log.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(number);
    let (status, body) = match number {
        PROBE => ("200 OK", "\0"),
        0..COPY_TURN => ("200 OK", "\u{1}"),
        _ => ("400 Bad Request", "Hit the end of buffer\n"),
    };
    write_reply(stream, status, body)
}

/// Continues turns that don't exist, so that other VMs are asked for them. They are
/// refused.
fn continue_missing_turns(fleet: &Fleet) {
    for number in 0..TURNS {
        let previous = format!("missing{number}");
        let headers = kept_turn_headers(&format!("t{number}"), "program", Some(&previous));
        let response = call(fleet.vms[0].callers, "POST /chat/x", &headers, "input");
        assert!(response.status >= 400, "{response:?}");
        thread::sleep(PAUSE);
    }
}

// Guards against asking a VM of an older build again and again what it has refused.
#[test]
fn message_that_a_vm_has_refused_is_not_sent_to_it_again() {
    let fleet = Fleet::start(1);
    let old = OldVm::start();
    old.register(&fleet, None);
    continue_missing_turns(&fleet);
    assert_eq!(old.received(FETCH_TURNS), 1);
}

// Guards against messages to a VM whose entry says that its build doesn't know them.
#[test]
fn message_is_not_sent_to_a_vm_whose_entry_states_an_older_protocol() {
    let fleet = Fleet::start(1);
    let old = OldVm::start();
    old.register(&fleet, Some(1));
    continue_missing_turns(&fleet);
    assert_eq!(old.received(FETCH_TURNS), 0);
}

// Guards against a refusal that the sender takes for an executed message, or for a
// refusal by the store.
#[test]
fn message_of_a_later_build_is_refused_as_not_understood() {
    let fleet = Fleet::start(1);
    let later = "c and what follows";
    let response = call(fleet.vms[0].peers, "POST /v1/message", &[], later);
    assert_eq!(response.status, 501, "{response:?}");
    assert!(response.body.starts_with("message not understood"));
    let headers = kept_turn_headers("t1", "program", None);
    let served = call(fleet.vms[0].callers, "POST /chat/x", &headers, "input");
    assert_eq!((served.status, served.body), (200, complete_stream()));
}
