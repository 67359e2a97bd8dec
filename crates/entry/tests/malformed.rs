//! Bytes on each socket that are no message.

mod fleet;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use fleet::{call, complete_stream, get, Fleet};
use lagoon_adapter::standin::{kept_turn_headers, model_call_headers};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const SEED: u64 = 24;
const MESSAGES: usize = 300;

/// More than the number of kinds of messages between VMs, which begin with that
/// of their kind.
const MESSAGE_KINDS: u8 = 20;

fn random_bytes(random: &mut Pcg64, max_bytes: usize) -> Vec<u8> {
    let length = random.random_range(0..max_bytes);
    (0..length).map(|_| random.random()).collect()
}

/// Sends bytes and reads until the VM closes the connection, or for a moment.
fn send_raw(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).expect("the VM accepts connections");
    stream
        .set_read_timeout(Some(Duration::from_millis(5)))
        .expect("timeout");
    // The VM may close the connection before it has read everything.
    let _ = stream.write_all(bytes);
    let _ = stream.read(&mut [0; 1_024]);
}

fn message_request(body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /v1/message HTTP/1.1\r\nHost: vm\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

// Guards against one malformed message that ends a VM, or keeps it from serving
// others.
#[test]
fn malformed_bytes_on_each_socket_leave_the_vm_serving() {
    let fleet = Fleet::start(2);
    let vm = &fleet.vms[0];
    // Gossip is taken from known addresses only, here from that of the other VM's
    // host.
    let gossip = UdpSocket::bind("127.0.0.1:0").expect("socket");
    let mut random = Pcg64::seed_from_u64(SEED);
    for number in 0..MESSAGES {
        let mut message = random_bytes(&mut random, 200);
        if let Some(kind) = message.first_mut() {
            *kind = random.random_range(0..MESSAGE_KINDS);
        }
        send_raw(vm.peers, &message_request(&message));
        gossip.send_to(&message, vm.peers).expect("datagram");
        if number % 10 == 0 {
            for address in [vm.callers, vm.ready, vm.peers] {
                send_raw(address, &random_bytes(&mut random, 2_000));
            }
        }
    }
    assert_eq!(get(vm.ready, "/ready").status, 200);
    let headers = model_call_headers("r1", "program", 2_000, 288);
    let response = call(vm.callers, "POST /stream/x", &headers, "p");
    assert_eq!(response.body, complete_stream());
    let headers = kept_turn_headers("t1", "program", None);
    let response = call(vm.callers, "POST /chat/x", &headers, "p");
    assert!(response.is_complete, "{response:?}");
}
