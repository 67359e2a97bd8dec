//! Budgets of programs while a failure domain is partitioned: its VMs grant from the
//! domain's part, and all VMs together keep the budget.

mod fleet;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use fleet::{call, Fleet};
use lagoon_adapter::standin::model_call_headers;
use lagoon_standin::fleet::StoreFault;
use nix::sys::signal::Signal;

/// Tokens of a whole response, which is also the maximum of one call.
const CALL_TOKENS: u64 = 72;
const TOKENS_PER_EVENT: u64 = 12;
const BUDGET_TOKENS: u64 = 1_500;

const PROGRAMS: usize = 12;

/// Calls that a part of the budget, an eighth, holds.
const CALLS_OF_PART: u64 = BUDGET_TOKENS / 8 / CALL_TOKENS;

/// Time for which a partitioned domain is called. Homes of other domains are waited for
/// once, until they are known not to respond.
const PARTITION_TIME: Duration = Duration::from_secs(4);

/// Time in which the VMs notice that a partition is over.
const RETURN_TIME: Duration = Duration::from_secs(1);

/// Time in which a budget is spent.
const SPENDING_TIME: Duration = Duration::from_secs(40);

/// Time in which half of a budget is spent.
const SPENDING_TIME_OF_HALF: Duration = Duration::from_secs(12);

type Spent = [u64; PROGRAMS];

/// One call of a program; returns the status and the tokens that the caller got.
fn next_call(vm: SocketAddr, program: usize) -> (u16, u64) {
    let name = format!("p{program}");
    let headers = model_call_headers("r", &name, BUDGET_TOKENS, CALL_TOKENS);
    let response = call(vm, "POST /stream/x", &headers, "p");
    let events = response.body.matches("id: ").count() as u64;
    (response.status, TOKENS_PER_EVENT * events)
}

/// Calls of all programs through a VM, side by side, until the time is over or a call is
/// answered 402; returns how many programs ended so.
fn call_all(vm: SocketAddr, time: Duration, spent: &mut Spent) -> usize {
    let end = Instant::now() + time;
    thread::scope(|scope| {
        let callers = spent.iter_mut().enumerate().map(|(program, spent)| {
            scope.spawn(move || {
                while Instant::now() < end {
                    let (status, tokens) = next_call(vm, program);
                    *spent += tokens;
                    if status == 402 {
                        return true;
                    }
                    thread::sleep(Duration::from_millis(50));
                }
                false
            })
        });
        let callers: Vec<_> = callers.collect();
        let ended = callers
            .into_iter()
            .map(|caller| caller.join().expect("caller"));
        ended.filter(|has_ended| *has_ended).count()
    })
}

/// Calls all programs through a VM whose failure domain is partitioned: the VMs of the
/// other domains are frozen. Returns the tokens that each program got meanwhile.
fn call_partitioned(fleet: &Fleet, vm: usize, domains: usize, spent: &mut Spent) -> Spent {
    let others = || (0..fleet.vms.len()).filter(|other| other % domains != vm % domains);
    others().for_each(|other| fleet.vms[other].signal(Signal::SIGSTOP));
    fleet.store.set_fault(StoreFault::Unavailable);
    let before = *spent;
    call_all(fleet.vms[vm].callers, PARTITION_TIME, spent);
    others().for_each(|other| fleet.vms[other].signal(Signal::SIGCONT));
    fleet.store.set_fault(StoreFault::None);
    thread::sleep(RETURN_TIME);
    std::array::from_fn(|program| spent[program] - before[program])
}

fn assert_kept(spent: &Spent) {
    let bound = BUDGET_TOKENS + CALL_TOKENS;
    assert!(
        spent.iter().all(|spent| *spent <= bound),
        "{spent:?}, bound {bound}"
    );
}

// Guards against programs that a partitioned domain refuses as the only home of their
// reserve is in another one, and against a budget that several domains, partitioned one
// after the other, and the row spend twice.
#[test]
fn partitioned_domain_grants_its_part_of_each_budget() {
    const DOMAINS: usize = 3;
    let fleet = Fleet::start_in_domains(6, DOMAINS);
    let mut spent = Spent::default();
    for vm in [0, 1] {
        let got = call_partitioned(&fleet, vm, DOMAINS, &mut spent);
        let least = CALLS_OF_PART * CALL_TOKENS;
        assert!(
            got.iter().all(|got| *got >= least),
            "vm {vm}: {got:?}, expected {least}"
        );
        assert_kept(&spent);
    }
    let ended = call_all(fleet.vms[2].callers, SPENDING_TIME, &mut spent);
    assert_kept(&spent);
    assert_eq!(ended, PROGRAMS, "budgets that were not spent: {spent:?}");
    let is_spent = |spent: &u64| *spent > BUDGET_TOKENS - CALL_TOKENS;
    assert!(spent.iter().all(is_spent), "{spent:?}");
}

// Guards against homes that grant again what earlier VMs granted of their parts, after a
// restart of all VMs.
#[test]
fn parts_that_were_granted_before_a_restart_of_all_vms_are_not_granted_again() {
    const DOMAINS: usize = 3;
    let mut fleet = Fleet::start_in_domains(6, DOMAINS);
    let mut spent = Spent::default();
    let got = call_partitioned(&fleet, 0, DOMAINS, &mut spent);
    assert!(got.iter().all(|got| *got > 0), "{got:?}");
    fleet.restart_all_vms();
    fleet.remove_dead_rows();
    fleet.wait_for_peers();
    call_partitioned(&fleet, 0, DOMAINS, &mut spent);
    let half = BUDGET_TOKENS / 2;
    call_all(fleet.vms[1].callers, SPENDING_TIME_OF_HALF, &mut spent);
    assert_kept(&spent);
    assert!(spent.iter().all(|spent| *spent >= half), "{spent:?}");
}
