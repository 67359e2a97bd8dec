// After a restart of all processes no VM releases the reserves of budgets, so that turns
// which need more than three quarters of a program's budget in all are refused.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use crate::base::*;

/// A program: one turn that plans, then four sub-agents with a short turn each.
const BUDGET: u64 = 1_200;
const FIRST: u64 = 828;
const AGENTS: usize = 4;
const AGENT: u64 = 84;

const TRAFFIC_MS: u64 = 10_000;
const FAULT_MS: u64 = TRAFFIC_MS + 8_000;
const DOWN_MS: u64 = 1_000;
const RECOVER_MS: u64 = 12_000;
const AFTER_MS: u64 = 10_000;
const PROGRAMS_PER_S: u64 = 4;

/// Client attempts, turns and programs, and how many of each were served.
#[derive(Default)]
struct Tally {
    sent: AtomicU64,
    served: AtomicU64,
    turns: AtomicU64,
    turns_served: AtomicU64,
    programs: AtomicU64,
    programs_whole: AtomicU64,
}

impl Tally {
    fn text(&self) -> String {
        let get = |value: &AtomicU64| value.load(Ordering::SeqCst);
        format!(
            "{} of {} requests, {} of {} turns, {} of {} programs whole",
            get(&self.served),
            get(&self.sent),
            get(&self.turns_served),
            get(&self.turns),
            get(&self.programs_whole),
            get(&self.programs)
        )
    }
    fn is_broken(&self) -> bool {
        let get = |value: &AtomicU64| value.load(Ordering::SeqCst);
        4 * get(&self.served) < get(&self.sent)
            && 4 * get(&self.turns_served) < get(&self.turns)
            && 4 * get(&self.programs_whole) < get(&self.programs)
    }
}

pub fn run(files: &str, has_trouble: bool) -> (bool, String) {
    let store = Store::start();
    store.put("op", "config", Some(&config("", "")));
    for number in 0..8 {
        let zone = ["a", "b"][number % 2];
        Engine::start(&store, &format!("i-engine{number}"), "engines", zone, 4);
    }
    let names = ["front-a-1", "front-a-2", "front-b-1", "front-b-2"];
    let mut vms: Vec<Vm> =
        names.iter().map(|name| Vm::new(files, name, &name[6..7], store.address)).collect();
    let begun_ms = elapsed_ms();
    vms.iter_mut().for_each(|vm| vm.start(true));
    wait_until_ms(begun_ms + TRAFFIC_MS);
    if !vms.iter().all(Vm::is_ready) {
        could_not_run("a machine is not ready");
    }
    let (before, after) = (Tally::default(), Tally::default());
    let fronts: Vec<_> = vms.iter().map(|vm| (vm.name.clone(), vm.front)).collect();
    let back_ms = begun_ms + FAULT_MS + DOWN_MS;
    let end_ms = back_ms + RECOVER_MS + AFTER_MS;
    let tally_at = |ms: u64| {
        if ms < begun_ms + FAULT_MS {
            Some(&before)
        } else if ms > back_ms + RECOVER_MS {
            Some(&after)
        } else {
            None
        }
    };
    let turn = |program: &str, session: &str, most: u64| {
        let (via, to) = &fronts[(random() % fronts.len() as u64) as usize];
        let count = |_: &str, answer: &Answer| {
            if let Some(tally) = tally_at(elapsed_ms()) {
                tally.sent.fetch_add(1, Ordering::SeqCst);
                let is_served = answer.status == 200 && answer.is_complete;
                tally.served.fetch_add(u64::from(is_served), Ordering::SeqCst);
            }
        };
        let turn = Turn { program, session, budget: BUDGET, most, via };
        let begun_ms = elapsed_ms();
        let is_served = turn.play(*to, &count) == 200;
        if let Some(tally) = tally_at(begun_ms) {
            tally.turns.fetch_add(1, Ordering::SeqCst);
            tally.turns_served.fetch_add(u64::from(is_served), Ordering::SeqCst);
        }
        is_served
    };
    let (turn, tally_at) = (&turn, &tally_at);
    thread::scope(|scope| {
        // The processes end with the thread that starts them, so this is the main one.
        scope.spawn(move || {
            while elapsed_ms() < end_ms {
                scope.spawn(move || {
                    let program = format!("{:012x}", random() >> 16);
                    let tally = tally_at(elapsed_ms());
                    let mut is_whole = turn(&program, &format!("{program}-0"), FIRST);
                    if is_whole {
                        is_whole = thread::scope(|scope| {
                            let agents: Vec<_> = (1..=AGENTS)
                                .map(|agent| {
                                    let session = format!("{program}-{agent}");
                                    let program = &program;
                                    scope.spawn(move || turn(program, &session, AGENT))
                                })
                                .collect();
                            let served = agents.into_iter().map(|agent| agent.join().unwrap_or(false));
                            served.filter(|is_served| *is_served).count() == AGENTS
                        });
                    }
                    if let Some(tally) = tally {
                        tally.programs.fetch_add(1, Ordering::SeqCst);
                        tally.programs_whole.fetch_add(u64::from(is_whole), Ordering::SeqCst);
                    }
                });
                sleep_ms(1_000 / PROGRAMS_PER_S);
            }
        });
        if has_trouble {
            wait_until_ms(begun_ms + FAULT_MS);
            note("trouble: all processes are killed");
            vms.iter().for_each(|vm| vm.signal("KILL"));
            vms.iter_mut().for_each(|vm| {
                vm.wait_end(2_000);
            });
            wait_until_ms(back_ms);
            vms.iter_mut().for_each(|vm| vm.start(false));
            let are_ready = vms.iter().all(|vm| vm.wait_ready(5_000));
            note(&format!("trouble: all processes are back, ready {are_ready}"));
        }
        wait_until_ms(end_ms + 3_000);
    });
    let are_ready = vms.iter().all(Vm::is_ready);
    drop(vms);
    if 4 * before.served.load(Ordering::SeqCst) < before.sent.load(Ordering::SeqCst) {
        could_not_run("less than a quarter was served before the fault");
    }
    let why = format!(
        "served before the fault: {}; served of what was sent {} s after it or later: {}; all ready {are_ready}",
        before.text(),
        (DOWN_MS + RECOVER_MS) / 1_000,
        after.text()
    );
    (after.is_broken(), why)
}
