//! Time per decision by number of targets and programs, as Markdown tables.

use std::hint::black_box;
use std::time::Instant;

use lagoon_gateway::{
    place, BudgetSettings, ChargeDecision, ChargeRequest, EventReader, PlacementRequest,
    PlacementSettings, ProgramBudgets, ProgramKey, RequestMetadata, StoreReply, TargetEntry,
    TargetLoad, TargetStatus, Targets, WaiterId,
};

const ROUNDS: u64 = 20_000;

fn microseconds<F>(mut decide: F) -> f64
where
    F: FnMut(u64),
{
    let start = Instant::now();
    (0..ROUNDS).for_each(&mut decide);
    start.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}

fn targets(count: u16, work_percent: Option<u32>) -> Targets {
    let mut targets = Targets::default();
    for number in 0..count {
        targets.upsert(TargetEntry {
            id: format!("i-{number}").into(),
            service: "s".into(),
            address: ([10, 0, 0, 1], 1_000 + number).into(),
            domain: format!("d{}", number % 5).into(),
            software_version: "v1".into(),
            slots: 12,
            status: TargetStatus::Ready,
            started_unix_ms: None,
        });
    }
    let keys: Vec<_> = targets.of_service("s").map(|(key, _)| key).collect();
    for (number, key) in (0..).zip(keys) {
        let load = TargetLoad {
            running: number % 12,
            waiting: 0,
            slots: 12,
            work_percent,
        };
        targets.record_load(key, load, 0);
    }
    targets
}

fn placement_us(targets: &Targets, metadata: &RequestMetadata) -> f64 {
    let settings = PlacementSettings::default();
    microseconds(|round| {
        let request = PlacementRequest {
            service: "s",
            metadata,
            domain: "d1",
            last_target: None,
            excluded_targets: &[],
            demand: lagoon_limits::Demand::Running,
            skips_limited: false,
            software: None,
            distant_targets: &[],
            random: lagoon_ids::hash64(&round.to_le_bytes()),
        };
        black_box(place(targets, &settings, &request, round % 300));
    })
}

fn main() {
    println!("| targets | placement, µs | plain call with estimates | model call with estimates |\n|---|---|---|---|");
    for count in [8, 40, 120, 600] {
        let model_call = RequestMetadata {
            program: Some("p".into()),
            prompt_tokens: 2_000,
            prompt_parts: vec![(1, 512), (2, 1_488)],
            ..RequestMetadata::default()
        };
        let without = placement_us(&targets(count, None), &model_call);
        let estimated = targets(count, Some(130));
        let plain = placement_us(&estimated, &RequestMetadata::default());
        let model = placement_us(&estimated, &model_call);
        println!("| {count} | {without:.1} | {plain:.1} | {model:.1} |");
    }

    println!(
        "\n| programs at a VM | charge from held, µs | charge by a write, µs |\n|---|---|---|"
    );
    for programs in [100, 424, 10_000] {
        let settings = BudgetSettings::new("w".into());
        let mut budgets = ProgramBudgets::new(BudgetSettings {
            max_held_calls: 0,
            ..settings.clone()
        });
        let key = |round: u64| ProgramKey(format!("program-{}", round % programs).into());
        let request = |round| ChargeRequest {
            waiter: WaiterId(round),
            budget_tokens: u64::MAX / 4,
            tokens: 288,
            retention_ms: u64::MAX / 8,
        };
        let written = microseconds(|round| {
            let key = key(round);
            if budgets.request_charge(&key, request(round), 0).is_none() {
                black_box(budgets.charge_write(&key));
                let applied = Ok(StoreReply::Applied { version: round + 1 });
                budgets.on_write_reply(&key, &applied, 0);
            }
        });
        budgets = ProgramBudgets::new(settings);
        for round in 0..programs {
            let key = key(round);
            budgets.request_charge(&key, request(round), 0);
            budgets.charge_write(&key);
            budgets.on_write_reply(&key, &Ok(StoreReply::Applied { version: 1 }), 0);
        }
        let held = microseconds(|round| {
            let key = key(round);
            if let Some(ChargeDecision::Granted(grant)) =
                budgets.request_charge(&key, request(round), 0)
            {
                budgets.settle(&key, grant, 0, 0);
            }
        });
        println!("| {programs} | {held:.1} | {written:.1} |");
    }

    let event = b"id: 7\ndata: some words of an answer that is passed on\n\n";
    let elapsed_us = microseconds(|_| {
        let mut reader = EventReader::default();
        black_box(reader.push(event));
    });
    println!("\nevent of a stream: {elapsed_us:.2} µs");
}
