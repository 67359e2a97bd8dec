//! Allowances of one call beyond a budget: that all VMs together grant one, whichever
//! VMs stop, end or are cut off.

mod fleet;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use fleet::{call, get, read_message, wait_for_metric, wait_until, write_reply, Fleet};
use lagoon_adapter::standin::model_call_headers;
use lagoon_gateway::ProgramKey;
use lagoon_standin::fleet::StoreFault;
use nix::sys::signal::Signal;
use yare::parameterized;

/// Tokens of a whole response, which is also the maximum of one call.
const MAX_CALL_TOKENS: u64 = 72;
const TOKENS_PER_EVENT: u64 = 12;
const BUDGET_TOKENS: u64 = 300;

const PROGRAMS: usize = 24;

/// Time for which a VM that is stopping is sure to serve callers.
const SERVES_WHILE_STOPPING: Duration = Duration::from_millis(2_100);

/// Time for which VMs that are cut off are called.
const CUT_OFF_TIME: Duration = Duration::from_secs(3);

/// Time from the end of one cut to the next one.
const TIME_BETWEEN_CUTS: Duration = Duration::from_secs(1);

/// Tokens that the callers of each program got.
type Spent = [u64; PROGRAMS];

/// Lets the tests of this file run one at a time. What they count within some seconds is
/// less if the others' VMs and callers, some hundred threads, run meanwhile.
fn await_turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One call of a program; returns the status and the tokens that the caller got.
fn next_call(vm: SocketAddr, program: usize) -> (u16, u64) {
    let name = format!("p{program}");
    let headers = model_call_headers("r", &name, BUDGET_TOKENS, MAX_CALL_TOKENS);
    let response = call(vm, "POST /stream/x", &headers, "p");
    let events = response.body.matches("id: ").count() as u64;
    (response.status, TOKENS_PER_EVENT * events)
}

/// Calls of all programs through a VM, side by side, until `ends` holds for the status
/// of one or the time is over.
fn call_all<F>(fleet: &Fleet, vm: usize, time: Duration, spent: &mut Spent, ends: F)
where
    F: Fn(u16) -> bool + Sync,
{
    let end = Instant::now() + time;
    let address = fleet.vms[vm].callers;
    thread::scope(|scope| {
        for (program, spent) in spent.iter_mut().enumerate() {
            let ends = &ends;
            scope.spawn(move || {
                while Instant::now() < end {
                    let (status, tokens) = next_call(address, program);
                    *spent += tokens;
                    if ends(status) {
                        return;
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            });
        }
    });
}

/// Spends the budgets of all programs.
fn spend_budgets(fleet: &Fleet) -> Spent {
    let mut spent = Spent::default();
    let time = Duration::from_secs(20);
    call_all(fleet, 0, time, &mut spent, |status| status == 402);
    let is_spent = |spent: &u64| *spent > BUDGET_TOKENS - MAX_CALL_TOKENS;
    assert!(spent.iter().all(is_spent), "{spent:?}");
    spent
}

fn assert_kept(spent: &Spent) {
    let bound = BUDGET_TOKENS + MAX_CALL_TOKENS;
    let broken = spent.iter().filter(|spent| **spent > bound).count();
    assert_eq!(broken, 0, "{spent:?}, bound {bound}");
}

fn granted(spent: &Spent) -> usize {
    spent.iter().filter(|spent| **spent > BUDGET_TOKENS).count()
}

// Guards against a second allowance by the VMs that no longer list one that is
// stopping and still serves.
#[test]
fn stopping_vm_and_its_successor_grant_one_allowance() {
    let _turn = await_turn();
    let fleet = Fleet::start(4);
    let mut spent = spend_budgets(&fleet);
    let stopping = 3;
    fleet.vms[stopping].signal(Signal::SIGTERM);
    let stopped = Instant::now();
    let others = format!("\nlagoon_other_vms {}\n", fleet.vms.len() - 2);
    for vm in &fleet.vms[..stopping] {
        wait_until("the others to list it no more", || {
            get(vm.peers, "/metrics").body.contains(&others)
        });
    }
    fleet.store.set_fault(StoreFault::Unavailable);
    let time = SERVES_WHILE_STOPPING.saturating_sub(stopped.elapsed());
    call_all(&fleet, stopping, time, &mut spent, |_| false);
    let granted_by_stopping = granted(&spent);
    call_all(&fleet, 0, CUT_OFF_TIME, &mut spent, |_| false);
    assert_kept(&spent);
    assert!(granted_by_stopping > 0, "callers of it were refused");
    assert!(granted(&spent) > PROGRAMS / 2, "{spent:?}");
}

// Guards against a second allowance by a VM that stopped in an outage and started
// again, or by the one that took its place.
#[test]
fn allowance_of_a_vm_that_stopped_in_an_outage_is_granted_once() {
    let _turn = await_turn();
    let mut fleet = Fleet::start(3);
    let mut spent = spend_budgets(&fleet);
    fleet.store.set_fault(StoreFault::Unavailable);
    call_all(&fleet, 0, CUT_OFF_TIME, &mut spent, |_| false);
    assert!(granted(&spent) > PROGRAMS / 2, "{spent:?}");
    fleet.vms[2].signal(Signal::SIGTERM);
    assert!(fleet.vms[2].wait());
    fleet.store.set_fault(StoreFault::None);
    fleet.restart_vm(2);
    fleet.wait_for_peers();
    // Any allowance that is charged late must not be granted again either.
    fleet.store.set_fault(StoreFault::Unavailable);
    call_all(&fleet, 0, CUT_OFF_TIME, &mut spent, |_| false);
    assert_kept(&spent);
}

// Guards against a second allowance by a VM that was killed before it could charge
// the first one.
#[test]
fn allowance_of_a_killed_vm_is_granted_once() {
    let _turn = await_turn();
    let mut fleet = Fleet::start_in_domains(6, 3);
    let mut spent = spend_budgets(&fleet);
    fleet.store.set_fault(StoreFault::Unavailable);
    call_all(&fleet, 0, CUT_OFF_TIME, &mut spent, |_| false);
    assert!(granted(&spent) > PROGRAMS / 2, "{spent:?}");
    fleet.vms[5].signal(Signal::SIGKILL);
    fleet.vms[5].wait();
    fleet.store.set_fault(StoreFault::None);
    fleet.restart_vm(5);
    fleet.wait_for_peers();
    thread::sleep(TIME_BETWEEN_CUTS);
    fleet.store.set_fault(StoreFault::Unavailable);
    call_all(&fleet, 0, CUT_OFF_TIME, &mut spent, |_| false);
    assert_kept(&spent);
}

// Guards against a second allowance by a failure domain that is cut off after another
// one that granted it, before this was charged. The VMs of the domains that are out of
// reach are frozen.
#[test]
fn domains_cut_off_one_after_the_other_grant_one_allowance() {
    let _turn = await_turn();
    let fleet = Fleet::start_in_domains(6, 3);
    let mut spent = spend_budgets(&fleet);
    let signal_all =
        |vms: &[usize], signal| vms.iter().for_each(|vm| fleet.vms[*vm].signal(signal));
    signal_all(&[1, 2, 4, 5], Signal::SIGSTOP);
    fleet.store.set_fault(StoreFault::Unavailable);
    call_all(&fleet, 0, CUT_OFF_TIME, &mut spent, |_| false);
    let granted_in_first = granted(&spent);
    signal_all(&[1, 2, 4, 5], Signal::SIGCONT);
    thread::sleep(TIME_BETWEEN_CUTS);
    signal_all(&[0, 2, 3, 5], Signal::SIGSTOP);
    call_all(&fleet, 1, CUT_OFF_TIME, &mut spent, |_| false);
    signal_all(&[0, 2, 3, 5], Signal::SIGCONT);
    assert_kept(&spent);
    assert!(granted_in_first > 0, "{spent:?}");
}

/// Time for which the VMs of a failure domain that is partitioned are called.
const PARTITION_TIME: Duration = Duration::from_secs(4);

// Guards against a second allowance in a failure domain that is partitioned while one of
// its VMs is stopping and another one has just been added: by the VM that stops, by the
// others that no longer list it, and by the one that was added. The VMs of the other
// domains are frozen.
#[test]
fn domain_that_is_cut_off_while_a_vm_stops_grants_one_allowance() {
    let _turn = await_turn();
    let mut fleet = Fleet::start_in_domains(9, 3);
    let mut spent = spend_budgets(&fleet);
    fleet.start_vm();
    let (stopping, added) = (6, 9);
    fleet.wait_for_peers();
    // VMs read the next change of their list a second after the last one.
    thread::sleep(TIME_BETWEEN_CUTS);
    fleet.vms[stopping].signal(Signal::SIGTERM);
    let stopped = Instant::now();
    let others = format!("\nlagoon_other_vms {}\n", fleet.vms.len() - 2);
    for vm in [0, 3, added] {
        wait_until("the others to list it no more", || {
            get(fleet.vms[vm].peers, "/metrics").body.contains(&others)
        });
    }
    for vm in [1, 2, 4, 5, 7, 8] {
        fleet.vms[vm].signal(Signal::SIGSTOP);
    }
    fleet.store.set_fault(StoreFault::Unavailable);
    let time = SERVES_WHILE_STOPPING.saturating_sub(stopped.elapsed());
    call_all(&fleet, stopping, time, &mut spent, |_| false);
    let granted_by_stopping = granted(&spent);
    for vm in [0, added] {
        call_all(&fleet, vm, PARTITION_TIME, &mut spent, |_| false);
    }
    assert_kept(&spent);
    assert!(granted_by_stopping > 0, "callers of it were refused");
}

// Guards against a second allowance by VMs that can't know of the first one, as those
// that knew of it ended before it was charged.
#[parameterized(
    all_at_once = { &[0, 1, 2, 3, 4, 5], 0 },
    one_after_the_other = { &[0, 1, 2, 3, 4, 5], 150 },
    holder_and_its_domain = { &[0, 3], 0 },
)]
fn allowance_is_granted_once_whichever_vms_are_killed(killed: &[usize], gap_ms: u64) {
    let _turn = await_turn();
    let mut fleet = Fleet::start_in_domains(6, 3);
    let mut spent = spend_budgets(&fleet);
    fleet.store.set_fault(StoreFault::Unavailable);
    call_all(&fleet, 0, CUT_OFF_TIME, &mut spent, |_| false);
    assert!(granted(&spent) > PROGRAMS / 2, "{spent:?}");
    for vm in killed {
        fleet.vms[*vm].signal(Signal::SIGKILL);
        thread::sleep(Duration::from_millis(gap_ms));
    }
    for vm in killed {
        fleet.vms[*vm].wait();
    }
    fleet.store.set_fault(StoreFault::None);
    for vm in killed {
        fleet.restart_vm(*vm);
    }
    fleet.wait_for_peers();
    thread::sleep(TIME_BETWEEN_CUTS);
    fleet.store.set_fault(StoreFault::Unavailable);
    for vm in [0, 1, 3] {
        call_all(&fleet, vm, CUT_OFF_TIME, &mut spent, |_| false);
    }
    assert_kept(&spent);
}

/// Time in which what was spent without the store is charged after its return.
const CHARGE_TIME: Duration = Duration::from_millis(1_500);

// Guards against an allowance that is granted again by the second VM to which it is passed
// on: the first one has granted and charged it, and the second one, which starts without
// the store, knows neither the row nor the list of overdrawn programs.
#[test]
fn allowance_that_is_passed_on_in_two_outages_is_granted_once() {
    let _turn = await_turn();
    let mut fleet = Fleet::start(3);
    let mut spent = spend_budgets(&fleet);
    // The named holder passes all on to the two others. One that started again under its
    // name would be asked in their place.
    let mut named = fleet.vms.remove(0);
    named.signal(Signal::SIGTERM);
    assert!(named.wait());
    fleet.wait_for_peers();
    thread::sleep(TIME_BETWEEN_CUTS);
    fleet.store.set_fault(StoreFault::Unavailable);
    call_all(&fleet, 1, CUT_OFF_TIME, &mut spent, |_| false);
    let granted_by_heirs = granted(&spent);
    fleet.vms[0].signal(Signal::SIGTERM);
    assert!(fleet.vms[0].wait());
    fleet.store.set_fault(StoreFault::None);
    thread::sleep(CHARGE_TIME);
    fleet.store.set_fault(StoreFault::Unavailable);
    let mut started = fleet.vms.remove(0);
    fleet.spawn_again(&mut started);
    fleet.vms.insert(0, started);
    wait_until("answers of the VM that starts", || {
        get(fleet.vms[0].peers, "/metrics").status == 200
    });
    // The other learns that it responds by its next probe of it.
    thread::sleep(TIME_BETWEEN_CUTS);
    fleet.vms[1].signal(Signal::SIGTERM);
    call_all(&fleet, 1, SERVES_WHILE_STOPPING, &mut spent, |_| false);
    assert_kept(&spent);
    assert!(granted_by_heirs > PROGRAMS / 2, "{spent:?}");
}

/// Encoded numbers of the messages that a VM receives which holds allowances.
const REQUEST_ALLOWANCE: u8 = 4;
const SETTLE_ALLOWANCE: u8 = 5;
const PROBE: u8 = 6;

/// VM without the store that grants each request for an allowance, after a time.
struct SlowHolder {
    address: SocketAddr,
    /// Number of requests that it has received and grants.
    granted: Arc<AtomicUsize>,
    /// Number of reports of what calls used.
    settled: Arc<AtomicUsize>,
}

impl SlowHolder {
    fn start(delay: Duration) -> SlowHolder {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("address");
        let (granted, settled): (Arc<AtomicUsize>, Arc<AtomicUsize>) = Default::default();
        let counters = (Arc::clone(&granted), Arc::clone(&settled));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (granted, settled) = counters.clone();
                thread::spawn(
                    move || while answer(&stream, delay, &granted, &settled).is_some() {},
                );
            }
        });
        SlowHolder {
            address,
            granted,
            settled,
        }
    }
}

/// Answers one message; `None` at the end of the connection.
fn answer(
    stream: &TcpStream,
    delay: Duration,
    granted: &AtomicUsize,
    settled: &AtomicUsize,
) -> Option<()> {
    let message = read_message(stream)?;
    let body = match *message.first()? {
        REQUEST_ALLOWANCE => {
            granted.fetch_add(1, Ordering::SeqCst);
            thread::sleep(delay);
            char::from(MAX_CALL_TOKENS as u8).to_string()
        }
        SETTLE_ALLOWANCE => {
            settled.fetch_add(1, Ordering::SeqCst);
            "\u{1}".to_owned()
        }
        PROBE => "\u{1}".to_owned(),
        _ => "\0".to_owned(),
    };
    write_reply(stream, "200 OK", &body)
}

/// Fleet of one VM whose programs' rows name another one as the holder of their
/// allowances, which is slow; no store from now on.
fn start_with_slow_holder(delay: Duration) -> (Fleet, SlowHolder) {
    let fleet = Fleet::start(1);
    for program in 0..PROGRAMS {
        let row = r#"{"charged_tokens":0,"marks":[],"allowance_holder":"slow/1"}"#;
        let key = ProgramKey(format!("p{program}").into()).row_key();
        fleet.store.put_row(key, Some(row.as_bytes().to_vec()));
    }
    spend_budgets(&fleet);
    let holder = SlowHolder::start(delay);
    let address = holder.address;
    let entry =
        format!(r#"{{"address":"{address}","domain":"d1","writer":"slow/1","protocol":13}}"#);
    fleet.store.put("vms", "slow", Some(entry.into_bytes()));
    wait_for_metric(fleet.vms[0].peers, "\nlagoon_other_vms 1\n");
    fleet.store.set_fault(StoreFault::Unavailable);
    (fleet, holder)
}

/// Calls programs in turn until the holder has received a request for an allowance;
/// returns the response to that call.
fn call_until_asked(fleet: &Fleet, holder: &SlowHolder) -> Option<(u16, u64)> {
    // The VM may have to find out first that the store is out of reach for both.
    let mut programs = (0..PROGRAMS).cycle();
    let mut response = None;
    wait_until("a request for an allowance", || {
        let before = holder.granted.load(Ordering::SeqCst);
        response = programs
            .next()
            .map(|program| next_call(fleet.vms[0].callers, program));
        holder.granted.load(Ordering::SeqCst) > before
    });
    response
}

/// Time that a holder takes under load, longer than most messages are waited for.
const SLOW_TIME: Duration = Duration::from_millis(400);

// Guards against an allowance that is lost to its program until the store is available
// again, as the reply of its holder came too late.
#[test]
fn allowance_is_used_although_its_holder_is_slow() {
    let _turn = await_turn();
    let (fleet, holder) = start_with_slow_holder(SLOW_TIME);
    let response = call_until_asked(&fleet, &holder);
    assert_eq!(response, Some((200, MAX_CALL_TOKENS)));
}

/// Time after which no call waits for its holder any more.
const TOO_SLOW_TIME: Duration = Duration::from_millis(2_000);

// Guards against a grant that comes too late to be used and counts as used for good.
#[test]
fn allowance_that_comes_too_late_is_returned() {
    let _turn = await_turn();
    let (fleet, holder) = start_with_slow_holder(TOO_SLOW_TIME);
    let response = call_until_asked(&fleet, &holder);
    assert_eq!(response, Some((503, 0)));
    wait_until("the report that nothing was used", || {
        holder.settled.load(Ordering::SeqCst) > 0
    });
}
