//! Load patterns: several VMs choose targets by their estimates, without a network.
//!
//! The objective of callers allows a program 1.4 times its best possible time. Each
//! pattern bounds the share of programs of seven calls that take longer, and compares
//! it with a random choice, for which it must be worse.

mod fleet {
    pub(crate) mod simulation;
}

use fleet::simulation::{Figures, Outcome, Pattern, Simulation};

/// Bound on the share of programs that end outside of the objective.
const MAX_LATE: f64 = 0.05;

fn run(pattern: Pattern) -> (Outcome, Outcome) {
    let outcome = Simulation::new(pattern, true).run();
    let random = Simulation::new(pattern, false).run();
    println!("estimates {outcome:?}\nrandom choice {random:?}");
    (outcome, random)
}

// Guards against requests that go to slow targets as often as to others.
#[test]
fn a_third_of_the_targets_is_slower() {
    let (outcome, random) = run(Pattern {
        slow_third: 1.7,
        ..Pattern::default()
    });
    assert!(outcome.late_share <= MAX_LATE);
    assert!(random.late_share > 2.0 * MAX_LATE);
}

// Guards against estimates that follow neighbours too late, or remember them for long.
#[test]
fn targets_are_slowed_down_at_random() {
    let (outcome, random) = run(Pattern {
        neighbors: 2.5,
        ..Pattern::default()
    });
    assert!(outcome.late_share <= MAX_LATE);
    assert!(random.late_share > 2.0 * MAX_LATE);
}

// Guards against filling a target beyond the load at which it slows down.
#[test]
fn a_third_slows_down_from_half_of_its_slots_on() {
    let (outcome, random) = run(Pattern {
        knee_third: 2.5,
        load: 0.45,
        ..Pattern::default()
    });
    assert!(outcome.mean_ratio <= 1.4);
    assert!(random.mean_ratio > 3.0 * 1.4);
}

// Guards against taking fast failures, of a thirtieth of the usual time, for speed: the
// target counts as a mean one.
#[test]
fn a_target_that_fails_fast_does_not_count_as_fast() {
    let (outcome, _) = run(Pattern {
        fails_fast: true,
        ..Pattern::default()
    });
    assert!(outcome.first_target_slowness > 0.95);
}

// Guards against estimates of removed targets that apply to their successors.
#[test]
fn a_release_replaces_all_targets() {
    let (outcome, random) = run(Pattern {
        slow_third: 1.7,
        release_at_ms: Some(10_000),
        ..Pattern::default()
    });
    assert!(outcome.late_share <= MAX_LATE);
    assert!(random.late_share > 2.0 * MAX_LATE);
}

// Guards against trust in figures that disagree with measured times.
#[test]
fn figures_are_false() {
    let (outcome, random) = run(Pattern {
        slow_third: 1.7,
        figures: Figures::Inverted,
        ..Pattern::default()
    });
    assert!(outcome.late_share <= MAX_LATE);
    assert!(random.late_share > 2.0 * MAX_LATE);
}

// Guards against figures that count long after they were reported.
#[test]
fn figures_stop() {
    let (outcome, random) = run(Pattern {
        slow_third: 1.7,
        figures: Figures::StopAt(4_000),
        ..Pattern::default()
    });
    assert!(outcome.late_share <= MAX_LATE);
    assert!(random.late_share > 2.0 * MAX_LATE);
}

// Guards against taking long requests for slow targets.
#[test]
fn sizes_are_mixed() {
    let (outcome, random) = run(Pattern {
        slow_third: 1.7,
        has_mixed_sizes: true,
        ..Pattern::default()
    });
    assert!(outcome.late_share <= MAX_LATE);
    assert!(random.late_share > 2.0 * MAX_LATE);
}

// Guards against extreme estimates from few samples. With so few, a random choice is the
// bound.
#[test]
fn there_is_nearly_no_traffic() {
    let (outcome, random) = run(Pattern {
        slow_third: 1.7,
        load: 0.002,
        ..Pattern::default()
    });
    assert!(outcome.mean_ratio <= random.mean_ratio * 1.02);
}

// Guards against many VMs that move to the same target on the same update, and back:
// the share of any target in the requests of 250 ms stays near the mean. Updates that are
// nearly as old as neighbours are busy tell nothing; they may cost a tenth.
#[test]
fn many_vms_do_not_all_choose_the_same_target() {
    let (outcome, random) = run(Pattern {
        neighbors: 2.5,
        vms: 90,
        gossip_delay_ms: (100, 500),
        ..Pattern::default()
    });
    assert!(outcome.max_window_share <= 0.25, "of 24 targets");
    assert!(outcome.mean_ratio <= 1.1 * random.mean_ratio);
}
