//! Random faults on real processes, with the promises checked from what
//! callers and targets see.
//!
//! `SOAK_SEED` and `SOAKS` play other seeds, `SOAK_FAULTS` more faults each.

mod fleet;

use std::collections::HashMap;
use std::env;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use fleet::{all_events, call, try_call, wait_until, Fleet, Reply, CONFIG, EVENTS};
use lagoon_adapter::standin::{model_call_headers, service_call_headers};
use lagoon_gateway::TargetStatus;
use lagoon_standin::fleet::{Link, LinkFault, StoreFault, TargetFault};
use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const VMS: usize = 3;
const CALLERS: u64 = 4;
const PROGRAMS: u64 = 12;
const BUDGET: u64 = 1_200;
const MOST: u64 = 288;
const TOKENS_PER_EVENT: u64 = 12;

/// Time between two faults, in which every caller comes to a call.
const CALM: Duration = Duration::from_millis(150);

/// Longest that a call may take: the longest timeout of a route.
const LONGEST_CALL: Duration = Duration::from_secs(5);

/// First seed of the short run, and runs and faults of each.
const SEED: u64 = 1;
const RUNS: u64 = 2;
const FAULTS: u64 = 12;

/// What a caller asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Asked {
    Turn { program: u64 },
    Booking,
    Lookup,
}

#[derive(Debug)]
struct Outcome {
    id: String,
    asked: Asked,
    reply: Reply,
}

type Addresses = Arc<Mutex<Vec<std::net::SocketAddr>>>;

fn number(name: &str, otherwise: u64) -> u64 {
    env::var(name).map_or(otherwise, |text| text.parse().expect("a number"))
}

fn keep_calling(seed: u64, caller: u64, vms: &Addresses, stop: &AtomicBool) -> Vec<Outcome> {
    let mut random = Pcg64::seed_from_u64(seed * 1_000 + caller);
    let mut outcomes = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let address = {
            let vms = vms.lock().expect("no caller panics");
            vms[random.random_range(0..vms.len())]
        };
        let id = format!("r{caller}-{}", outcomes.len());
        let asked = match random.random_range(0..4) {
            0 => Asked::Booking,
            1 => Asked::Lookup,
            _ => Asked::Turn {
                program: random.random_range(0..PROGRAMS),
            },
        };
        let reply = match asked {
            Asked::Turn { program } => {
                let headers = model_call_headers(&id, &format!("p{program}"), BUDGET, MOST);
                try_call(
                    address,
                    "POST /stream/x",
                    &headers,
                    &format!("prompt of {id}"),
                )
            }
            Asked::Booking => try_call(address, "POST /book/x", &service_call_headers(&id), &id),
            Asked::Lookup => try_call(address, "GET /look/x", &service_call_headers(&id), ""),
        };
        outcomes.push(Outcome { id, asked, reply });
        thread::sleep(Duration::from_millis(random.random_range(0..10)));
    }
    outcomes
}

/// Does something bad, and ends it if it does not end by itself.
fn harm(fleet: &mut Fleet, random: &mut Pcg64, version: &mut u64) {
    let index = random.random_range(0..fleet.vms.len());
    let some_time = Duration::from_millis(random.random_range(50..600));
    match random.random_range(0..9) {
        0 => {
            fleet.vms[index].signal(Signal::SIGKILL);
            fleet.vms[index].wait();
            fleet.vms.remove(index);
            fleet.start_vm();
        }
        1 => {
            fleet.vms[index].signal(Signal::SIGSTOP);
            thread::sleep(some_time);
            fleet.vms[index].signal(Signal::SIGCONT);
        }
        2 => {
            fleet.vms[index].signal(Signal::SIGTERM);
            let mut leaving = fleet.vms.remove(index);
            fleet.start_vm();
            assert!(leaving.wait(), "a planned stop");
        }
        3 => {
            fleet.store.set_fault(StoreFault::Busy);
            thread::sleep(some_time);
            fleet.store.set_fault(StoreFault::None);
        }
        4 => fleet.store.set_fault(StoreFault::LosesReply),
        5 => {
            let desk = fleet.engines.len() + random.random_range(0..2);
            fleet.list(desk, TargetStatus::Draining);
            thread::sleep(some_time);
            fleet.list(desk, TargetStatus::Ready);
        }
        6 => {
            *version += 1;
            let new = CONFIG.replace("\"version\": 3", &format!("\"version\": {version}"));
            fleet.store.configure(&new);
        }
        7 => {
            let engine = &fleet.engines[random.random_range(0..2)];
            let fault = match random.random_range(0..3) {
                0 => TargetFault::BreaksAfter(random.random_range(0..EVENTS)),
                1 => TargetFault::AnswersAnother,
                _ => TargetFault::Crashes,
            };
            engine.set_fault(fault);
            thread::sleep(some_time);
            engine.set_fault(TargetFault::None);
        }
        _ => {
            let desk = &fleet.desks[random.random_range(0..2)];
            let fault = match random.random_range(0..3) {
                0 => TargetFault::LosesAnswer,
                1 => TargetFault::Full,
                _ => TargetFault::AnswersAnother,
            };
            desk.set_fault(fault);
            thread::sleep(some_time);
            desk.set_fault(TargetFault::None);
        }
    }
}

/// Harms a link, and does something else that is bad meanwhile.
fn harm_link(fleet: &mut Fleet, random: &mut Pcg64, version: &mut u64) {
    let link = fleet.links[random.random_range(0..fleet.links.len())].clone();
    let fault = match random.random_range(0..4) {
        0 => LinkFault::Delayed(Duration::from_millis(random.random_range(5..200))),
        1 => LinkFault::Resets,
        2 => LinkFault::SilentBack,
        _ => LinkFault::Silent,
    };
    link.set_fault(fault);
    thread::sleep(Duration::from_millis(random.random_range(50..600)));
    if random.random_bool(0.5) && fault_leaves_store(&link, fleet) {
        harm(fleet, random, version);
    }
    link.set_fault(LinkFault::None);
}

/// Whether VMs can start: they need the store.
fn fault_leaves_store(link: &Link, fleet: &Fleet) -> bool {
    link.address != fleet.links[0].address
}

fn check(seed: u64, fleet: &Fleet, outcomes: &[Outcome]) {
    let mut runs: HashMap<String, u64> = HashMap::new();
    let targets = fleet.engines.iter().chain(&fleet.desks);
    for run in targets.flat_map(|target| target.runs()) {
        *runs.entry(run.received.request_id.to_string()).or_default() += 1;
    }
    let mut tokens: HashMap<u64, u64> = HashMap::new();
    for outcome in outcomes {
        let ran = runs.get(&outcome.id).copied().unwrap_or(0);
        let reply = &outcome.reply;
        if matches!(reply.status, 402 | 429 | 503) {
            assert_eq!(ran, 0, "seed {seed}: refused and ran: {outcome:?}");
        }
        match outcome.asked {
            Asked::Booking => assert!(ran <= 1, "seed {seed}: ran twice: {outcome:?}"),
            Asked::Lookup if reply.status == 200 => assert_eq!(reply.body, "done", "seed {seed}"),
            Asked::Lookup => {}
            Asked::Turn { program } if reply.status == 200 => {
                let whole = all_events();
                let is_right = match reply.is_whole {
                    true => reply.body == whole,
                    false => whole.starts_with(&reply.body),
                };
                assert!(is_right, "seed {seed}: {outcome:?}");
                let events = reply.body.matches("\n\n").count() as u64;
                *tokens.entry(program).or_default() += events * TOKENS_PER_EVENT;
            }
            Asked::Turn { .. } => {}
        }
    }
    for (program, tokens) in tokens {
        assert!(
            tokens <= BUDGET + MOST,
            "seed {seed}: p{program} got {tokens}"
        );
    }
}

fn play(seed: u64, faults: u64, mut fleet: Fleet) {
    let vms: Addresses = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut random = Pcg64::seed_from_u64(seed);
    let mut version = 3;
    let publish = |fleet: &Fleet| {
        let callers = fleet.vms.iter().map(|vm| vm.callers);
        *vms.lock().expect("no caller panics") = callers.collect();
    };
    publish(&fleet);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (vms, stop) = (Arc::clone(&vms), Arc::clone(&stop));
            thread::spawn(move || keep_calling(seed, caller, &vms, &stop))
        })
        .collect();
    for _ in 0..faults {
        if !fleet.links.is_empty() && random.random_bool(0.6) {
            harm_link(&mut fleet, &mut random, &mut version);
        } else {
            harm(&mut fleet, &mut random, &mut version);
        }
        publish(&fleet);
        thread::sleep(CALM);
    }
    if !fleet.links.is_empty() {
        // Callers whose call fell silent come back.
        thread::sleep(LONGEST_CALL);
    }
    stop.store(true, Ordering::SeqCst);
    let outcomes = callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("caller"));
    let outcomes: Vec<Outcome> = outcomes.collect();
    assert!(outcomes.len() > 20, "seed {seed}: callers were served");
    check(seed, &fleet, &outcomes);
    for line in ["POST /book/x", "GET /look/x"] {
        wait_until("service after the faults", || {
            call(fleet.callers(), line, &service_call_headers("after"), "").status == 200
        });
    }
    let headers = model_call_headers("after", "after", BUDGET, MOST);
    wait_until("a stream after the faults", || {
        call(fleet.callers(), "POST /stream/x", &headers, "p").body == all_events()
    });
}

fn seeds() -> std::ops::Range<u64> {
    let first = number("SOAK_SEED", SEED);
    first..first + number("SOAKS", RUNS)
}

/// Seeds that failed once, with the cause.
const FOUND: [u64; 2] = [
    // A stream whose framing ended well within its last event looked whole.
    107, // Twelve faults that end at once left callers no time for their calls.
    405,
];

/// Seeds of harmed links that failed once, with the cause.
const FOUND_LINKS: [u64; 1] = [
    // All callers waited out their routes' timeouts behind silent links, and
    // the run was over before they came to 20 calls.
    601,
];

#[test]
fn soak_found_link_seeds_pass() {
    for seed in FOUND_LINKS {
        play(seed, FAULTS, Fleet::start_linked(VMS));
    }
}

#[test]
fn soak_found_seeds_pass() {
    for seed in FOUND {
        play(seed, FAULTS, Fleet::start(VMS));
    }
}

#[test]
fn soak_random_faults_keep_the_promises() {
    for seed in seeds() {
        play(seed, number("SOAK_FAULTS", FAULTS), Fleet::start(VMS));
    }
}

#[test]
fn soak_harmed_links_keep_the_promises() {
    for seed in seeds() {
        let fleet = Fleet::start_linked(VMS);
        play(seed, number("SOAK_FAULTS", FAULTS), fleet);
    }
}
