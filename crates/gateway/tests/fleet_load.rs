//! Admission and fairness on a fleet of 88 VMs before twelve engines, without a network.
//!
//! Bounds are stated by what callers need: programs that end within 1.5 times their time
//! at engines that aren't overloaded, waits included, as a share of those that the engines
//! can run in time.

#[path = "fleet_load/simulation.rs"]
mod simulation;

use simulation::{Burst, Load, Outcome, Score, Simulation, ACCOUNTS, CAPACITY_PER_S};

const SEEDS: [u64; 3] = [1, 2, 3];

/// Usual traffic as a share of what the engines can run.
const USUAL: Load<'_> = Load {
    usual: 0.65,
    first_account: 1.0,
    bursts: &[],
    seed: 0,
};

fn run(load: Load<'_>) -> Vec<Outcome> {
    let outcomes = SEEDS.map(|seed| Simulation::run(Load { seed, ..load }));
    for outcome in &outcomes {
        let numbers = |values: &[f64]| -> Vec<f64> {
            let rounded = values.iter().map(|value| (value * 10.0).round() / 10.0);
            rounded.collect()
        };
        println!(
            "in time {:.3}, served {:.3}, admitted within objective {:.3}, at most {} calls at an \
             engine\n  ended in time {:?}\n  mean calls {:?}",
            outcome.all().share(),
            outcome.all().served(),
            outcome.within_objective,
            outcome.max_running,
            numbers(&outcome.ended_in_time),
            numbers(&outcome.running)
        );
    }
    outcomes.into()
}

/// Score of all programs that arrived in these seconds in any of the runs, and those of
/// the urgent kind and the other one.
fn between(outcomes: &[Outcome], from_s: usize, to_s: usize) -> (Score, [Score; 2]) {
    let mut all = Score::default();
    let mut kinds = [Score::default(); 2];
    for outcome in outcomes {
        let (score, of_kinds) = outcome.between(from_s, to_s);
        all.add(&score);
        kinds[0].add(&of_kinds[0]);
        kinds[1].add(&of_kinds[1]);
    }
    println!(
        "{from_s} s to {to_s} s: {:.3} of {} in time, urgent {:.3}, other {:.3}",
        all.share(),
        all.all,
        kinds[0].share(),
        kinds[1].share()
    );
    (all, kinds)
}

/// Share that could end in time if each place of the engines were used.
fn best_share(programs: &Score, seconds: usize) -> f64 {
    let capacity = CAPACITY_PER_S * (seconds * SEEDS.len()) as f64;
    (capacity / programs.all).min(1.0)
}

fn accounts(outcomes: &[Outcome]) -> Vec<Score> {
    let mut accounts = vec![Score::default(); ACCOUNTS];
    for outcome in outcomes {
        for (sum, score) in accounts.iter_mut().zip(&outcome.accounts) {
            sum.add(score);
        }
    }
    accounts
}

fn sum(scores: &[Score]) -> Score {
    let mut sum = Score::default();
    scores.iter().for_each(|score| sum.add(score));
    sum
}

// Guards against one account of 86 that takes places from the others with ten times its
// usual traffic, and against accounts that are starved: the others lose at most 0.03 of
// their programs in time, the worst tenth of accounts is served at least half as well as
// all, and none less than a quarter as often.
#[test]
fn an_account_with_ten_times_its_traffic_takes_little_from_others() {
    let usual = accounts(&run(USUAL));
    let greedy = accounts(&run(Load {
        first_account: 10.0,
        ..USUAL
    }));
    let all = sum(&greedy);
    let others = [&usual, &greedy].map(|accounts| sum(&accounts[1..]).share());
    let mut in_time: Vec<f64> = greedy.iter().map(Score::share).collect();
    in_time.sort_by(f64::total_cmp);
    let worst_tenth = in_time[..9].iter().sum::<f64>() / 9.0;
    let served = greedy.iter().map(Score::served);
    let least_served = served.fold(1.0, f64::min);
    println!(
        "others {:.3} -> {:.3}, first {:.3}, worst tenth {worst_tenth:.3}, least served \
         {least_served:.3}, all {:.3}",
        others[0],
        others[1],
        greedy[0].share(),
        all.share()
    );
    assert!(others[1] >= others[0] - 0.03);
    assert!(worst_tenth >= 0.5 * all.share());
    assert!(least_served >= 0.25 * all.served());
}

// Guards against the worst tenth of accounts, and single ones, that get next to nothing
// while half again as many programs come as the engines can run.
#[test]
fn no_account_is_starved_under_overload() {
    let outcomes = run(Load {
        usual: 1.5,
        ..USUAL
    });
    let accounts = accounts(&outcomes);
    let all = sum(&accounts);
    let mut in_time: Vec<f64> = accounts.iter().map(Score::share).collect();
    in_time.sort_by(f64::total_cmp);
    let worst_tenth = in_time[..9].iter().sum::<f64>() / 9.0;
    let served = accounts.iter().map(Score::served);
    let least_served = served.fold(1.0, f64::min);
    println!("worst tenth {worst_tenth:.3}, least served {least_served:.3}, all {all:?}");
    assert!(worst_tenth >= 0.5 * all.share());
    assert!(least_served >= 0.25 * all.served());
}

// Guards against a less urgent kind that is served more often than the urgent kind of its
// service, or that is starved by it, and against programs that are admitted and then all
// end late: what is begun is worth finishing in time.
#[test]
fn an_urgent_kind_comes_before_a_less_urgent_one_of_its_service() {
    let outcomes = run(Load {
        usual: 1.5,
        ..USUAL
    });
    let (all, [urgent, other]) = between(&outcomes, 4, 22);
    assert!(urgent.share() >= other.share());
    assert!(urgent.served() >= other.served());
    assert!(other.served() >= 0.25 * all.served());
    assert!(all.share() >= 0.5 * best_share(&all, 18));
    for outcome in &outcomes {
        assert!(outcome.within_objective >= 0.85);
    }
}

// Guards against a burst of one kind that takes the places of the other, or that engines
// don't recover from: at least half of the programs that the engines can run in time end
// in time, of those that come in it and after it.
#[test]
fn a_burst_of_the_less_urgent_kind_precedes_one_of_the_urgent_kind() {
    let burst = |from_ms, to_ms, factors| Burst {
        from_ms,
        to_ms,
        factors,
    };
    let bursts = [
        burst(6_000, 12_000, [1.0, 2.4]),
        burst(12_000, 18_000, [1.8, 1.0]),
    ];
    let outcomes = run(Load {
        bursts: &bursts,
        ..USUAL
    });
    for (from_s, to_s) in [(6, 12), (12, 18)] {
        let (all, [urgent, other]) = between(&outcomes, from_s, to_s);
        assert!(urgent.share() >= other.share());
        assert!(other.served() >= 0.25 * all.served());
        assert!(all.share() >= 0.5 * best_share(&all, to_s - from_s));
    }
    for outcome in &outcomes {
        assert!(outcome.within_objective >= 0.85);
    }
}
