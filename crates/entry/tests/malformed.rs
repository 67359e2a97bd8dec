//! Bytes on each socket that are no message, and rows of the store that are invalid.

mod fleet;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use fleet::{call, complete_stream, get, wait_until, Fleet, CONFIG};
use lagoon_adapter::standin::{kept_turn_headers, model_call_headers, service_call_headers};
use lagoon_adapter::TARGET_TABLE;
use lagoon_gateway::TargetStatus;
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

/// Number of entries of another writer, their interval, and the time until the target
/// writes its own again.
const BAD_ENTRIES: usize = 5;
const BAD_ENTRY_INTERVAL: Duration = Duration::from_secs(1);
const REWRITE_DELAY: Duration = Duration::from_millis(700);

/// Time by which a changed entry or configuration must be in force.
const APPLY_TIME: Duration = Duration::from_millis(2_000);

/// Index of the first desk among the targets.
const DESK: usize = 2;

fn invalid_rows(vm: SocketAddr, table: &str) -> u64 {
    let metrics = get(vm, "/metrics").body;
    let prefix = format!("lagoon_invalid_rows_total{{table=\"{table}\"}} ");
    let mut lines = metrics.lines();
    let count = lines.find_map(|line| line.strip_prefix(&prefix)?.parse().ok());
    count.unwrap_or_default()
}

// Guards against streams that run at the targets of another service, as another writer
// has written an entry without some fields under the id of one of them.
#[test]
fn entry_with_fields_missing_moves_no_target_to_another_service() {
    let fleet = Fleet::start(2);
    let desk = &fleet.desks[0];
    let bad = format!(
        r#"{{"service":"engines","address":"{}","version":"v1","state":"ready"}}"#,
        desk.address
    );
    let started = Instant::now();
    let end = BAD_ENTRY_INTERVAL * BAD_ENTRIES as u32;
    thread::scope(|scope| {
        for vm in &fleet.vms {
            scope.spawn(move || {
                while started.elapsed() < end {
                    let response =
                        call(vm.callers, "POST /stream/x", &service_call_headers("r"), "");
                    assert_eq!(response.body, complete_stream());
                }
            });
        }
        for _ in 0..BAD_ENTRIES {
            fleet
                .store
                .put(TARGET_TABLE, "d1", Some(bad.clone().into()));
            thread::sleep(REWRITE_DELAY);
            fleet.list(DESK, TargetStatus::Ready);
            thread::sleep(BAD_ENTRY_INTERVAL - REWRITE_DELAY);
        }
    });
    let executions = desk.executions();
    let wrong = executions
        .iter()
        .filter(|run| run.path.starts_with("/stream/"));
    assert_eq!(wrong.count(), 0);
    wait_until("a call to the desk", || {
        call(
            fleet.callers(),
            "GET /look/x",
            &service_call_headers("r"),
            "",
        );
        !desk.executions().is_empty()
    });
}

// Guards against calls to a target whose entry can't be read, and against one that
// stays unused after its next good entry.
#[test]
fn target_is_unused_while_its_entry_is_invalid() {
    let fleet = Fleet::start(1);
    let (vm, desk) = (&fleet.vms[0], &fleet.desks[0]);
    let look = || call(vm.callers, "GET /look/x", &service_call_headers("r"), "").status;
    for bad in ["", "{", r#"{"service":"desks"}"#] {
        let before = invalid_rows(vm.peers, TARGET_TABLE);
        fleet.store.put(TARGET_TABLE, "d1", Some(bad.into()));
        wait_until("the entry", || {
            invalid_rows(vm.peers, TARGET_TABLE) > before
        });
        let runs = desk.executions().len();
        (0..20).for_each(|_| assert_eq!(look(), 200));
        assert_eq!(desk.executions().len(), runs);
        fleet.list(DESK, TargetStatus::Ready);
        let written = Instant::now();
        while desk.executions().len() == runs {
            assert!(written.elapsed() < APPLY_TIME);
            look();
        }
    }
}

// Guards against an invalid route or service of a newer configuration that takes the
// others away, and against its requests at the service of a shorter prefix.
#[test]
fn invalid_route_and_service_leave_the_others_in_force() {
    let fleet = Fleet::start(1);
    let newer = CONFIG.replace("\"version\": 3", "\"version\": 4");
    let newer = newer.replace(
        "\"routes\": [",
        r#""routes": [7, {"name": "all", "host": "a.example", "prefix": "/", "kind": "idempotent",
          "timeout_ms": 1000, "service": "desks"},
         {"name": "bad", "host": "a.example", "prefix": "/bad/", "kind": "idempotent",
          "timeout_ms": -1, "service": "desks"},
         {"name": "none", "host": "a.example", "prefix": "/none/", "kind": "idempotent",
          "timeout_ms": 1000, "service": "none"},
         {"name": "new", "host": "a.example", "prefix": "/new/", "kind": "idempotent",
          "timeout_ms": 1e300, "retention_s": 1e300, "max_attempts": 4294967295, "service": "desks"},"#,
    );
    let newer = newer.replace(
        "\"services\": [",
        r#""services": [{"name": "none", "max_connections": "many"},"#,
    );
    let newer = newer.replace("16384", "18446744073709551615");
    let newer = newer.replace("15000", "0");
    fleet.store.configure(&newer);
    thread::sleep(APPLY_TIME);
    let vm = &fleet.vms[0];
    let status = |line: &str| call(vm.callers, line, &service_call_headers("r"), "").status;
    assert_eq!(status("GET /all/x"), 200);
    assert_eq!(status("GET /new/x"), 200);
    assert_eq!(status("GET /look/x"), 200);
    assert_eq!(status("GET /bad/x"), 503);
    assert_eq!(status("GET /none/x"), 503);
    let response = call(vm.callers, "POST /stream/x", &service_call_headers("r"), "");
    assert_eq!(response.body, complete_stream());
    wait_until("the count of the row", || invalid_rows(vm.peers, "op") > 0);
}

// Guards against a VM that stays unknown to the others after its row was damaged.
#[test]
fn vm_writes_its_row_again_if_it_is_invalid() {
    let fleet = Fleet::start(2);
    let damaged = format!("vm-{}", fleet.vms[0].callers.port());
    fleet.store.put("vms", &damaged, Some("{".into()));
    wait_until("the damaged row", || {
        invalid_rows(fleet.vms[1].peers, "vms") > 0
    });
    wait_until("another row", || {
        fleet
            .store
            .values("vms")
            .iter()
            .all(|value| value.len() > 1)
    });
    fleet.wait_for_peers();
}
