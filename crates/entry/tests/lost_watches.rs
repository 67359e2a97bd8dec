//! Watches of the store's tables that get no reply, while the VM's other calls
//! show no fault.

mod fleet;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use fleet::{call, get, wait_until, Fleet, CONFIG};
use lagoon_adapter::standin::{model_call_headers, service_call_headers};
use lagoon_adapter::{OPERATOR_TABLE, TARGET_TABLE};
use lagoon_gateway::TargetStatus;
use lagoon_standin::fleet::{FaultProxy, ProxyFault, StoreFault};
use yare::parameterized;

/// Duration of a fault in which no call fails before its timeout.
const OUTAGE_TIME: Duration = Duration::from_millis(1_200);

/// Time after a fault by which changes must be in force, on the platform's
/// smallest deployments.
const RECOVERY_TIME: Duration = Duration::from_millis(3_000);

/// Time by which an acknowledged change must be in force while there is no fault.
const APPLY_TIME: Duration = Duration::from_millis(2_000);

const CALLS: usize = 20;

/// Replaces the route of lookups by another one.
fn change_route(fleet: &Fleet) {
    let newer = CONFIG.replace("\"version\": 3", "\"version\": 4");
    fleet.store.configure(&newer.replace("/look/", "/seek/"));
}

fn status(vm: SocketAddr, line: &str) -> u16 {
    call(vm, line, &service_call_headers("r"), "").status
}

// Guards against an old configuration in force long after the store was silent, at
// a VM that called it for nothing else meanwhile.
#[test]
fn configuration_applies_soon_after_an_outage_that_no_call_noticed() {
    let fleet = Fleet::start_proxied(1);
    fleet.proxies[0].set_fault(ProxyFault::Blackhole);
    thread::sleep(OUTAGE_TIME);
    fleet.proxies[0].set_fault(ProxyFault::None);
    change_route(&fleet);
    thread::sleep(RECOVERY_TIME);
    assert_eq!(status(fleet.callers(), "GET /seek/x"), 200);
}

// Guards against an old configuration in force long after a part of the store was
// silent, as replies of the other parts were taken for a sign that it is sound.
#[test]
fn configuration_applies_soon_after_its_table_was_silent() {
    let fleet = Fleet::start(2);
    fleet
        .store
        .set_fault(StoreFault::TableSilent(OPERATOR_TABLE));
    thread::sleep(OUTAGE_TIME);
    fleet.store.set_fault(StoreFault::None);
    change_route(&fleet);
    thread::sleep(RECOVERY_TIME);
    for vm in &fleet.vms {
        assert_eq!(status(vm.callers, "GET /seek/x"), 200);
    }
}

// Guards against requests to a target that announced its stop after a part of the
// store was silent.
#[test]
fn target_status_is_read_soon_after_its_table_was_silent() {
    let fleet = Fleet::start(1);
    fleet.store.set_fault(StoreFault::TableSilent(TARGET_TABLE));
    thread::sleep(OUTAGE_TIME);
    fleet.store.set_fault(StoreFault::None);
    let draining = &fleet.desks[0];
    let entry = draining.entry("desks", TargetStatus::Draining);
    fleet.store.add_target(&entry);
    thread::sleep(RECOVERY_TIME);
    let before = draining.executions().len();
    for _ in 0..CALLS {
        assert_eq!(status(fleet.callers(), "GET /look/x"), 200);
    }
    assert_eq!(draining.executions().len(), before);
}

// Guards against an allowance for a program that has overspent its budget, by VMs
// whose watch of such programs got lost unnoticed.
#[test]
fn overdrawn_program_gets_no_allowance_after_its_table_was_silent() {
    let fleet = Fleet::start_again(2);
    fleet.store.set_fault(StoreFault::TableSilent("overdrawn"));
    thread::sleep(OUTAGE_TIME);
    fleet.store.set_fault(StoreFault::None);
    fleet.store.put("overdrawn", "p", Some(b"1".to_vec()));
    thread::sleep(RECOVERY_TIME);
    fleet.store.set_fault(StoreFault::Unavailable);
    let headers = model_call_headers("r", "p", 2_000, 288);
    let events = |attempt: usize| {
        let vm = &fleet.vms[attempt % fleet.vms.len()];
        let response = call(vm.callers, "POST /stream/x", &headers, "p");
        response.body.matches("id: ").count()
    };
    assert_eq!((0..CALLS).map(events).sum::<usize>(), 0);
}

// Guards against two VMs that both grant the permits of a target, as the older ones
// haven't read for long that another one has joined.
#[test]
fn vm_that_joins_is_known_soon_after_the_table_of_vms_was_silent() {
    let mut fleet = Fleet::start(2);
    fleet.store.set_fault(StoreFault::TableSilent("vms"));
    thread::sleep(OUTAGE_TIME);
    fleet.store.set_fault(StoreFault::None);
    fleet.start_vm();
    thread::sleep(RECOVERY_TIME);
    for vm in &fleet.vms {
        let metrics = get(vm.peers, "/metrics").body;
        assert!(metrics.contains("\nlagoon_other_vms 2\n"));
    }
}

// Guards against an old configuration in force at the one VM whose watch got lost,
// although the VMs beside it have read the new one.
#[test]
fn configuration_applies_at_a_vm_whose_watch_got_lost() {
    let mut fleet = Fleet::start_proxied(0);
    let direct = fleet.store.address;
    let proxied = fleet.proxies[0].address;
    for store in [direct, direct, proxied] {
        fleet.start_vm_at_store(store);
    }
    fleet.wait_for_peers();
    // Watches of VMs that rely on others are long by then.
    thread::sleep(RECOVERY_TIME);
    fleet.proxies[0].set_fault(ProxyFault::Blackhole);
    thread::sleep(Duration::from_millis(50));
    fleet.proxies[0].set_fault(ProxyFault::None);
    change_route(&fleet);
    thread::sleep(APPLY_TIME);
    for vm in &fleet.vms {
        assert_eq!(status(vm.callers, "GET /seek/x"), 200);
    }
    wait_until("the old route's end", || {
        status(fleet.callers(), "GET /look/x") == 404
    });
}

// Guards against an old configuration in force at a VM whose watch got lost, while a
// sentinel vouches for it that has lost the store itself.
#[parameterized(
    soon_after = { 1_000 },
    long_after = { 4_000 },
)]
fn configuration_applies_at_a_vm_whose_sentinel_lost_the_store(cut_after_ms: u64) {
    let mut fleet = Fleet::start_proxied(0);
    let sentinel = FaultProxy::start(fleet.store.address);
    let (proxied, direct) = (fleet.proxies[0].address, fleet.store.address);
    for store in [sentinel.address, proxied, direct] {
        fleet.start_vm_at_store(store);
    }
    fleet.wait_for_peers();
    // Watches of VMs that rely on others are long by then.
    thread::sleep(RECOVERY_TIME);
    let lost = Instant::now();
    fleet.proxies[0].set_fault(ProxyFault::Blackhole);
    thread::sleep(SHORT_FAULT_TIME);
    fleet.proxies[0].set_fault(ProxyFault::None);
    thread::sleep(Duration::from_millis(cut_after_ms));
    sentinel.set_fault(ProxyFault::Blackhole);
    thread::sleep(SHORT_FAULT_TIME);
    change_route(&fleet);
    let due = (Instant::now() + APPLY_TIME).max(lost + SHORT_FAULT_TIME + RECOVERY_TIME);
    thread::sleep(due - Instant::now());
    for vm in &fleet.vms[1..] {
        assert_eq!(status(vm.callers, "GET /seek/x"), 200, "{}", vm.callers);
    }
}

/// Duration of a fault that is too short for the VMs' other calls to notice.
const SHORT_FAULT_TIME: Duration = Duration::from_millis(50);

/// Configurations that are sent, each of them just after a watch got lost.
const CONFIG_CHANGES: u64 = 3;

// Guards against an old configuration in force as the short watch of a VM for which no
// sentinel vouches, or that of the sentinel itself, got lost just after it began: it was
// given up only 2.3 s later.
#[parameterized(alone = { 1 }, with_sentinel = { 3 })]
fn configuration_applies_in_time_after_a_short_watch_got_lost(vms: usize) {
    let fleet = Fleet::start_proxied(vms);
    // Watches of VMs that rely on others are long by then.
    thread::sleep(RECOVERY_TIME);
    for version in 4..4 + CONFIG_CHANGES {
        let begun = fleet.store.watch_count(OPERATOR_TABLE);
        wait_until("a watch", || {
            fleet.store.watch_count(OPERATOR_TABLE) > begun
        });
        fleet.proxies[0].set_fault(ProxyFault::BlackholeResponses);
        thread::sleep(SHORT_FAULT_TIME);
        fleet.proxies[0].set_fault(ProxyFault::None);
        let newer = CONFIG.replace("\"version\": 3", &format!("\"version\": {version}"));
        fleet.store.configure(&newer);
        let acknowledged = Instant::now();
        let in_force = format!("\nlagoon_config_version {version}\n");
        for vm in &fleet.vms {
            wait_until("the configuration", || {
                get(vm.peers, "/metrics").body.contains(&in_force)
            });
        }
        let took = acknowledged.elapsed();
        println!("version {version}: {took:?}");
        assert!(took <= APPLY_TIME, "version {version}: {took:?}");
        // The fault is over, and all VMs watch again.
        thread::sleep(RECOVERY_TIME);
    }
}
