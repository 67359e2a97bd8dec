//! Measures how the cost of a node scales and prints the tables of docs/CAPACITY.md.
//!
//! Nodes run in virtual time; CPU time and memory are those of this process.
//! Run with `cargo run --release -p lagoon-node --example slopes`.

use std::fs;
use std::time::Instant;

use lagoon_testkit::{Request, RequestKind, Simulation};

/// Virtual time over which idle nodes are measured.
const IDLE_S: u64 = 20;

fn start_simulation(vms: usize) -> Simulation {
    let mut sim = Simulation::new(1);
    for n in 1..=vms {
        sim.start(&format!("vm{n}"));
    }
    sim.run_ms(5_000);
    sim
}

fn request(program: String, number: u32, kind: RequestKind) -> Request {
    Request {
        program: Some(program.into()),
        number: Some(number),
        parent: None,
        budget_tokens: None,
        continuation: None,
        kind,
        tag: format!("call {number}"),
    }
}

/// Returns the resident memory of this process; 0 if `/proc` can't be read.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or_default() * 4_096
}

/// Cost of membership and discovery by number of VMs.
fn membership() {
    println!("\n| VMs of the domain | messages/s a VM | bytes/s a VM | µs of processor/s a VM | store reads/s, all |");
    println!("|---|---|---|---|---|");
    for vms in [4, 16, 64] {
        let mut sim = start_simulation(vms);
        let (messages, bytes, reads) = (sim.sent_messages, sim.sent_bytes, sim.platform.read_txns);
        let started = Instant::now();
        sim.run_ms(IDLE_S * 1_000);
        let took = started.elapsed();
        let vm_seconds = (IDLE_S * vms as u64) as f64;
        println!(
            "| {vms} | {:.1} | {:.0} | {:.0} | {:.1} |",
            (sim.sent_messages - messages) as f64 / vm_seconds,
            (sim.sent_bytes - bytes) as f64 / vm_seconds,
            took.as_micros() as f64 / vm_seconds,
            (sim.platform.read_txns - reads) as f64 / IDLE_S as f64,
        );
    }
}

/// Memory and CPU time of idle programs.
fn programs() {
    println!("\n| programs held by one VM | bytes a program | µs of processor/s, idle |");
    println!("|---|---|---|");
    for count in [100, 1_000, 10_000] {
        let mut sim = start_simulation(1);
        let before = resident_bytes();
        open_programs(&mut sim, count);
        let after = resident_bytes();
        let started = Instant::now();
        sim.run_ms(IDLE_S * 1_000);
        println!(
            "| {count} | {} | {:.0} |",
            (after.saturating_sub(before)) / count as u64,
            started.elapsed().as_micros() as f64 / IDLE_S as f64,
        );
    }
}

fn open_programs(sim: &mut Simulation, count: usize) {
    for n in 0..count {
        let kind = RequestKind::Service("lookup".into());
        sim.send_request("vm1", request(format!("p{n}"), 1, kind));
        if n % 8 == 7 {
            sim.run_ms(30);
        }
    }
    sim.run_ms(5_000);
}

/// Table writes per call by number of concurrent calls.
fn journal() {
    println!("\n| callers at once | calls | table writes | writes a call | virtual writes/s |");
    println!("|---|---|---|---|---|");
    for callers in [1, 8, 64] {
        let mut sim = start_simulation(1);
        let calls = 10;
        let (writes, start_us) = (sim.platform.write_txns, sim.now_us);
        for number in 1..=calls {
            let ids: Vec<_> = (0..callers)
                .map(|n| {
                    sim.send_request(
                        "vm1",
                        request(format!("p{n}"), number, RequestKind::Chat { tokens: 20 }),
                    )
                })
                .collect();
            while ids.iter().any(|id| !sim.outcome(*id).is_finished()) {
                sim.run_ms(10);
            }
        }
        let (writes, count) = (sim.platform.write_txns - writes, u64::from(calls) * callers);
        let took_s = (sim.now_us - start_us) as f64 / 1e6;
        println!(
            "| {callers} | {count} | {writes} | {:.2} | {:.1} |",
            writes as f64 / count as f64,
            writes as f64 / took_s,
        );
    }
}

/// Duration and cost of a takeover by number of programs of the dead VM.
fn takeover() {
    println!("\n| programs held | from death to served, ms | of that after the silence, ms | µs of processor | rows written |");
    println!("|---|---|---|---|---|");
    for count in [10, 100, 1_000] {
        let mut sim = start_simulation(3);
        open_programs(&mut sim, count);
        sim.kill("vm1");
        let (start_us, rows) = (sim.now_us, sim.platform.write_txns);
        let started = Instant::now();
        loop {
            sim.run_ms(5);
            let held: usize = sim
                .vms()
                .map(|(_, sim_vm)| sim_vm.node.programs().len())
                .sum();
            if held >= count {
                break;
            }
        }
        let took_ms = (sim.now_us - start_us) / 1_000;
        println!(
            "| {count} | {took_ms} | {} | {} | {} |",
            // Less the silence after which a VM is declared dead, 2,500 ms by default.
            took_ms.saturating_sub(2_500),
            started.elapsed().as_micros(),
            sim.platform.write_txns - rows,
        );
    }
}

fn main() {
    membership();
    programs();
    journal();
    takeover();
}
