//! More programs than engines have places for, through many VMs.
//!
//! The pattern: a short rush fills all engines. Calls that go where the queue
//! looks shorter leave their prompts behind; each is read anew elsewhere and
//! pushes out others, so that engines get slower for all and the rush never
//! ends. Lines of calls that stay where their prompts are kept let engines
//! catch up.

mod crowd {
    pub(crate) mod engine;
}

use std::collections::VecDeque;
use std::net::SocketAddr;

use crowd::engine::{Engine, Job};
use lagoon_gateway::{
    place, AffinityTable, PlacementRequest, PlacementSettings, RequestMetadata, TargetEntry,
    TargetLoad, TargetStatus, Targets,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const SEED: u64 = 7;
const ENGINES: usize = 8;
const SLOTS: u32 = 6;
const VMS: usize = 24;
const STEP_MS: u64 = 5;
const NEWS_PERIOD_MS: u64 = 100;
const TURNS: u32 = 6;
const FIRST_TOKENS: u64 = 1_600;
const ADDED_TOKENS: u64 = 250;
const THINK_MS: u64 = 60;
const RUSH_MS: std::ops::Range<u64> = 4_000..7_000;
const END_MS: u64 = 30_000;

/// Programs that begin in a second, usually and in the rush.
const USUAL_PER_S: f64 = 22.0;
const RUSH_PER_S: f64 = 60.0;

#[derive(Clone, Copy, Debug)]
struct Program {
    id: usize,
    turn: u32,
    began_ms: u64,
}

struct Vm {
    targets: Targets,
    lines: AffinityTable,
}

/// What became of the programs that began after the rush.
#[derive(Debug)]
struct Outcome {
    mean_ms: f64,
    read_tokens_each: f64,
}

struct World {
    now_ms: u64,
    random: Pcg64,
    engines: Vec<Engine>,
    vms: Vec<Vm>,
    due: VecDeque<(u64, Program)>,
    programs: usize,
    turns: u64,
    ended: Vec<(u64, u64)>,
    tells_lines: bool,
    settings: PlacementSettings,
}

fn entry(number: usize) -> TargetEntry {
    TargetEntry {
        id: compact_str::format_compact!("e{number}"),
        service: "s".into(),
        address: ([127, 0, 0, 1], 9_000 + number as u16).into(),
        domain: "d".into(),
        slots: SLOTS,
        status: TargetStatus::Ready,
    }
}

fn facts(program: usize, tokens: u64) -> RequestMetadata {
    RequestMetadata {
        program: Some(compact_str::format_compact!("p{program}")),
        session: Some(compact_str::format_compact!("p{program}")),
        prompt_tokens: tokens,
        prompt_parts: vec![(1, tokens)],
        ..RequestMetadata::default()
    }
}

impl World {
    fn new(tells_lines: bool, settings: PlacementSettings) -> World {
        let vm = || {
            let mut targets = Targets::default();
            (0..ENGINES).for_each(|number| targets.upsert(entry(number)));
            Vm {
                targets,
                lines: AffinityTable::default(),
            }
        };
        World {
            now_ms: 0,
            random: Pcg64::seed_from_u64(SEED),
            engines: (0..ENGINES).map(|_| Engine::new(SLOTS as usize)).collect(),
            vms: (0..VMS).map(|_| vm()).collect(),
            due: VecDeque::new(),
            programs: 0,
            turns: 0,
            ended: Vec::new(),
            tells_lines,
            settings,
        }
    }

    fn run(mut self) -> Outcome {
        while self.now_ms < END_MS {
            self.now_ms += STEP_MS;
            self.begin_programs();
            self.send_due();
            self.step_engines();
            if self.now_ms.is_multiple_of(NEWS_PERIOD_MS) {
                self.tell();
            }
        }
        let late = self.ended.iter().filter(|(began_ms, _)| *began_ms > 15_000);
        let times: Vec<f64> = late
            .map(|(began_ms, end_ms)| (end_ms - began_ms) as f64)
            .collect();
        let read: u64 = self.engines.iter().map(|engine| engine.read_tokens).sum();
        Outcome {
            mean_ms: times.iter().sum::<f64>() / times.len().max(1) as f64,
            read_tokens_each: read as f64 / self.turns as f64,
        }
    }

    fn begin_programs(&mut self) {
        let per_s = if RUSH_MS.contains(&self.now_ms) {
            RUSH_PER_S
        } else {
            USUAL_PER_S
        };
        if self.random.random::<f64>() < per_s * STEP_MS as f64 / 1e3 {
            let program = Program {
                id: self.programs,
                turn: 0,
                began_ms: self.now_ms,
            };
            self.programs += 1;
            self.due.push_back((self.now_ms, program));
        }
    }

    fn send_due(&mut self) {
        for _ in 0..self.due.len() {
            let Some((at_ms, program)) = self.due.pop_front() else {
                return;
            };
            if at_ms <= self.now_ms {
                self.send(program);
            } else {
                self.due.push_back((at_ms, program));
            }
        }
    }

    fn send(&mut self, program: Program) {
        let vm = self.random.random_range(0..VMS);
        let tokens = FIRST_TOKENS + u64::from(program.turn) * ADDED_TOKENS;
        let facts = facts(program.id, tokens);
        let Vm { targets, lines } = &mut self.vms[vm];
        let ask = PlacementRequest {
            service: "s",
            metadata: &facts,
            domain: "d",
            last_target: lines
                .target_of(&facts)
                .and_then(|tag| targets.key_by_hash(tag)),
            excluded_targets: &[],
            random: self.random.random(),
        };
        let choice = place(&*targets, &self.settings, &ask, self.now_ms);
        let key = choice.expect("all are ready").key;
        targets.request_started(key, self.now_ms);
        let target = targets.get(key).expect("is listed");
        lines.record(&facts, target.id_hash(), self.now_ms);
        let number = usize::from(target.entry.address.port() - 9_000);
        self.turns += 1;
        self.engines[number].send(Job {
            program: program.id,
            turn: program.turn,
            began_ms: program.began_ms,
            sent_ms: self.now_ms,
            tokens,
            vm,
            key,
        });
    }

    fn step_engines(&mut self) {
        for engine in &mut self.engines {
            let ended = engine.step(STEP_MS);
            let load = TargetLoad {
                running: engine.running() as u32,
                waiting: engine.waiting() as u32,
                slots: SLOTS,
            };
            for job in ended {
                let targets = &mut self.vms[job.vm].targets;
                targets.request_ended(job.key);
                targets.record_load(job.key, load, self.now_ms);
                let took_ms = self.now_ms - job.sent_ms;
                targets.record_response(job.key, true, took_ms, self.now_ms);
                let program = Program {
                    id: job.program,
                    turn: job.turn + 1,
                    began_ms: job.began_ms,
                };
                if program.turn == TURNS {
                    self.ended.push((job.began_ms, self.now_ms));
                } else {
                    self.due.push_back((self.now_ms + THINK_MS, program));
                }
            }
        }
    }

    fn tell(&mut self) {
        for teller in 0..VMS {
            let news = self.vms[teller].targets.take_updates(self.now_ms);
            let lines = self.vms[teller].lines.take_updates();
            let address = SocketAddr::from(([127, 0, 0, 1], teller as u16));
            for hearer in (0..VMS).filter(|hearer| *hearer != teller) {
                let vm = &mut self.vms[hearer];
                vm.targets.apply_updates(address, &news, self.now_ms);
                if self.tells_lines {
                    vm.lines.apply_updates(address, &lines, self.now_ms);
                }
            }
        }
    }
}

#[test]
fn rush_is_over_soon_after_its_end() {
    let outcome = World::new(true, PlacementSettings::default()).run();
    let unkept = PlacementSettings {
        prefill_weight: 0.1,
        ..PlacementSettings::default()
    };
    let moving = World::new(true, unkept).run();
    let untold = World::new(false, PlacementSettings::default()).run();
    println!("{outcome:?}\nmoving {moving:?}\nuntold {untold:?}");
    assert!(outcome.mean_ms < 0.7 * moving.mean_ms);
    assert!(outcome.mean_ms < 0.9 * untold.mean_ms);
    assert!(outcome.read_tokens_each < 0.7 * moving.read_tokens_each);
}
