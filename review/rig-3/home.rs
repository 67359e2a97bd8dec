// A VM that is cut off from the store soon after its start takes itself for the home of
// programs whose home is another VM.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::thread;

use crate::base::*;

const BUDGET: u64 = 4_608;
const MOST: u64 = 288;
const PROGRAMS: usize = 12;

/// Time from the start of the machines to that of traffic.
const TRAFFIC_MS: u64 = 10_000;
/// The cut, from and to.
const CUT_MS: (u64, u64) = (700, 10_500);
/// No program goes on after this.
const LAST_MS: u64 = 60_000;

pub fn run(files: &str, has_trouble: bool) -> (bool, String) {
    let store = Store::start();
    store.put("op", "config", Some(&config("", "")));
    let zones = ["a", "b", "c"];
    for (number, zone) in zones.iter().cycle().take(12).enumerate() {
        Engine::start(&store, &format!("i-engine{number}"), "engines", zone, 8);
    }
    let proxies: Vec<Proxy> = zones.iter().map(|_| Proxy::start(store.address)).collect();
    let mut vms: Vec<Vm> = zones
        .iter()
        .zip(&proxies)
        .map(|(zone, proxy)| Vm::new(files, &format!("front-{zone}-1"), zone, proxy.address))
        .collect();
    // All machines start within 0.3 s of each other.
    let begun_ms = elapsed_ms();
    for (number, vm) in vms.iter_mut().enumerate() {
        vm.start(true);
        wait_until_ms(begun_ms + [200, 280, 0][number]);
    }
    if has_trouble {
        wait_until_ms(begun_ms + CUT_MS.0);
        note("trouble: the first machine is cut off from the store");
        proxies[0].cut();
        let (proxy, until_ms) = (proxies[0].clone(), begun_ms + CUT_MS.1);
        thread::spawn(move || {
            wait_until_ms(until_ms);
            proxy.heal();
            note("trouble: the cut has ended");
        });
    }
    wait_until_ms(begun_ms + TRAFFIC_MS - 500);
    for vm in &vms {
        note(&format!("vm   {} ready {} {}", vm.name, vm.is_ready(), vm.metric("lagoon_other_vms")));
    }
    if !vms[1].is_ready() || !vms[2].is_ready() {
        could_not_run("a machine that reaches the store is not ready");
    }
    wait_until_ms(begun_ms + TRAFFIC_MS + 20);
    let spent: Mutex<BTreeMap<String, u64>> = Mutex::default();
    let count = |program: &str, answer: &Answer| {
        let mut spent = spent.lock().unwrap();
        *spent.entry(program.to_owned()).or_default() += answer.events * TOKENS_PER_EVENT;
    };
    let fronts: Vec<_> = vms.iter().map(|vm| (vm.name.clone(), vm.front)).collect();
    thread::scope(|scope| {
        for _ in 0..PROGRAMS {
            let (count, fronts): (&(dyn Fn(&str, &Answer) + Sync), _) = (&count, &fronts);
            scope.spawn(move || {
                let program = format!("{:012x}", random() >> 16);
                // Four sub-agents begin at the same time, through the first zone.
                thread::scope(|scope| {
                    for agent in 0..4 {
                        let program = &program;
                        scope.spawn(move || {
                            let session = format!("{program}-{agent}");
                            let (via, to) = &fronts[0];
                            let turn = Turn { program, session: &session, budget: BUDGET, most: MOST, via };
                            count(program, &turn.send(*to));
                        });
                    }
                });
                // The program loops without end, through the other zones.
                let (mut refused, mut number) = (0, 0);
                while refused < 3 && elapsed_ms() < LAST_MS {
                    number += 1;
                    let session = format!("{program}-{}", 4 + number);
                    let (via, to) = &fronts[1 + number % 2];
                    let turn = Turn { program: &program, session: &session, budget: BUDGET, most: MOST, via };
                    // It ends with a turn that fails; after a 402 it sends two more.
                    match turn.play(*to, count) {
                        200 => {}
                        402 => refused += 1,
                        _ => break,
                    }
                }
            });
        }
    });
    let spent = spent.into_inner().unwrap();
    let allowed = BUDGET + MOST;
    let over: Vec<_> = spent.iter().filter(|(_, tokens)| **tokens > allowed).collect();
    for (program, tokens) in &spent {
        note(&format!("sum  program {program} got {tokens} tokens; budget {BUDGET}, with one turn more {allowed}"));
    }
    let most = spent.values().max().copied().unwrap_or_default();
    drop(vms);
    let why = format!(
        "{} of {} programs got more than {allowed} tokens (budget {BUDGET} and one turn of {MOST}); the most was {most}",
        over.len(),
        spent.len()
    );
    (!over.is_empty(), why)
}
