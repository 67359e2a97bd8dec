// Rolling restart of a zone while the store is down twice: the allowance of a program is
// passed on twice, and what the VM in between granted of it is forgotten.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::thread;

use crate::base::*;

const BUDGET: u64 = 1_152;
const MOST: u64 = 288;
const PROGRAMS: usize = 48;
const TRAFFIC_MS: u64 = 10_000;

pub fn run(files: &str, has_trouble: bool) -> (bool, String) {
    let store = Store::start();
    store.put("op", "config", Some(&config("", "")));
    for number in 0..8 {
        let zone = ["a", "b"][number % 2];
        Engine::start(&store, &format!("i-engine{number}"), "engines", zone, 8);
    }
    let names = ["front-a-1", "front-a-2", "front-a-3", "front-b-1", "front-b-2"];
    let mut vms: Vec<Vm> =
        names.iter().map(|name| Vm::new(files, name, &name[6..7], store.address)).collect();
    let begun_ms = elapsed_ms();
    for vm in &mut vms {
        vm.start(true);
        sleep_ms(40);
    }
    let at = |ms: u64| wait_until_ms(begun_ms + TRAFFIC_MS + ms);
    at(0);
    for vm in &vms {
        if !vm.is_ready() {
            could_not_run("a machine is not ready");
        }
    }
    let spent: Mutex<BTreeMap<String, u64>> = Mutex::default();
    let count = |program: &str, answer: &Answer| {
        let mut spent = spent.lock().unwrap();
        *spent.entry(program.to_owned()).or_default() += answer.events * TOKENS_PER_EVENT;
    };
    let count: &(dyn Fn(&str, &Answer) + Sync) = &count;
    let programs: Vec<String> = (0..PROGRAMS).map(|_| format!("{:012x}", random() >> 16)).collect();
    // Each program sends one turn to this machine, spread over this time.
    let turns = |via: &str, to, spread_ms: u64, number: usize, is_again: bool| {
        thread::scope(|scope| {
            for (index, program) in programs.iter().enumerate() {
                scope.spawn(move || {
                    sleep_ms(spread_ms * index as u64 / PROGRAMS as u64);
                    let session = format!("{program}-{number}");
                    let turn = Turn { program, session: &session, budget: BUDGET, most: MOST, via };
                    if is_again {
                        turn.play(to, count);
                    } else {
                        count(program, &turn.send(to));
                    }
                });
            }
        });
    };
    let front = |vms: &Vec<Vm>, index: usize| (vms[index].name.clone(), vms[index].front);
    // The programs spend their budgets.
    let (via, to) = front(&vms, 0);
    for number in 0..4 {
        turns(&via, to, 300, number, true);
    }
    at(6_500);
    vms[0].signal("TERM");
    if !vms[0].wait_end(8_000) {
        could_not_run("the first machine does not stop");
    }
    sleep_ms(500);
    vms[0].start(false);
    vms[0].wait_ready(3_000);
    let ready_ms = elapsed_ms() - begun_ms - TRAFFIC_MS;
    let after = |ms: u64| at(ready_ms + ms);
    // The first outage, of 4.5 s.
    after(1_500);
    if has_trouble {
        store.set_busy(true);
    }
    after(3_200);
    let (via, to) = front(&vms, 2);
    turns(&via, to, 300, 4, false);
    after(4_800);
    vms[1].signal("TERM");
    after(6_000);
    if has_trouble {
        store.set_busy(false);
    }
    if !vms[1].wait_end(8_000) {
        could_not_run("the second machine does not stop");
    }
    // The second outage, of 4.5 s.
    let second_ms = elapsed_ms();
    if has_trouble {
        store.set_busy(true);
    }
    sleep_ms(400);
    vms[1].start(false);
    wait_until_ms(second_ms + 1_600);
    vms[2].signal("TERM");
    sleep_ms(300);
    turns(&via, to, 300, 5, false);
    wait_until_ms(second_ms + 4_500);
    if has_trouble {
        store.set_busy(false);
    }
    vms[2].wait_end(8_000);
    let spent = spent.into_inner().unwrap();
    let allowed = BUDGET + MOST;
    for (program, tokens) in &spent {
        note(&format!("sum  program {program} got {tokens} tokens; budget {BUDGET}, with one turn more {allowed}"));
    }
    let over = spent.values().filter(|tokens| **tokens > allowed).count();
    let most = spent.values().max().copied().unwrap_or_default();
    drop(vms);
    let why = format!(
        "{over} of {} programs got more than {allowed} tokens (budget {BUDGET} and one turn of {MOST}); the most was {most}",
        spent.len()
    );
    (over > 0, why)
}
