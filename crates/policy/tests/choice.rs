//! Choice of a target and order of waiting calls.

use lagoon_ids::TargetName;
use lagoon_policy::{Balancer, BalancerSettings, PlacementHint, Priority, WaitQueue};
use lagoon_sheet::{parse, Sheet, Workload};

const KUMABARK: &str = include_str!("../../../samples/kumabark.csv");

fn sheet() -> Sheet {
    parse(KUMABARK).expect("sheet")
}

fn serves(sheet: &Sheet) -> Workload {
    let market = sheet
        .market_key(&"kumabark".parse().expect("name"))
        .expect("market");
    Workload::Model(sheet.model("contract-agent", market).expect("model"))
}

fn balancer() -> Balancer {
    Balancer::new(
        "kumamoto".parse().expect("domain"),
        BalancerSettings::default(),
    )
}

fn target(name: &str) -> TargetName {
    name.parse().expect("target")
}

fn choose(balancer: &Balancer, last: Option<&TargetName>, now_ms: u64) -> Option<TargetName> {
    let sheet = sheet();
    let hint = PlacementHint {
        last_target: last,
        ..PlacementHint::default()
    };
    balancer
        .choose(&sheet, serves(&sheet), hint, now_ms)
        .cloned()
}

#[test]
fn choose_spreads_own_calls() {
    let mut balancer = balancer();
    for _ in 0..30 {
        let chosen = choose(&balancer, None, 0).expect("room");
        balancer.on_sent(&chosen);
    }
    for name in ["contract-1", "contract-4", "contract-7"] {
        assert_eq!(balancer.state(&target(name)).in_flight, 10);
    }
}

#[test]
fn choose_stays_with_last_until_it_is_loaded() {
    let mut balancer = balancer();
    let last = target("contract-4");
    balancer.on_load(&last, 3, 0);
    assert_eq!(choose(&balancer, Some(&last), 0), Some(last.clone()));
    balancer.on_load(&last, 20, 0);
    assert_ne!(choose(&balancer, Some(&last), 0), Some(last));
}

#[test]
fn choose_leaving_target_gets_nothing() {
    let mut balancer = balancer();
    for name in ["contract-1", "contract-4", "contract-7"] {
        balancer.on_draining(&target(name));
    }
    assert_eq!(choose(&balancer, None, 0), None);
}

#[test]
fn choose_ejected_target_comes_back() {
    let mut balancer = balancer();
    balancer.on_load(&target("contract-1"), 9, 0);
    balancer.on_load(&target("contract-7"), 9, 0);
    balancer.eject(&target("contract-4"), 0);
    assert_ne!(choose(&balancer, None, 1_999), Some(target("contract-4")));
    assert_eq!(choose(&balancer, None, 2_000), Some(target("contract-4")));
}

#[test]
fn choose_most_ejected_are_used_all_the_same() {
    let mut balancer = balancer();
    for name in ["contract-1", "contract-4", "contract-7"] {
        balancer.eject(&target(name), 0);
    }
    assert!(choose(&balancer, None, 1).is_some());
}

#[test]
fn load_own_calls_are_not_counted_twice() {
    let mut balancer = balancer();
    let name = target("contract-1");
    balancer.on_sent(&name);
    balancer.on_sent(&name);
    balancer.on_load(&name, 5, 0);
    assert_eq!(balancer.state(&name).load(), 5);
    balancer.on_sent(&name);
    assert_eq!(balancer.state(&name).load(), 6);
}

fn waiting(attained_tokens: u64, since_ms: u64) -> Priority {
    Priority {
        attained_tokens,
        queued_at_ms: since_ms,
        deadline_ms: None,
    }
}

#[test]
fn order_least_attained_goes_first_but_ages() {
    let mut queue = WaitQueue::default();
    queue.push('a', waiting(50_000, 0));
    queue.push('b', waiting(1_000, 0));
    assert_eq!(queue.in_order(0), ['b', 'a']);
    queue.push('c', waiting(0, 26_000));
    assert_eq!(queue.in_order(26_000), ['a', 'b', 'c']);
}

#[test]
fn order_window_about_to_close_goes_first() {
    let mut queue = WaitQueue::default();
    queue.push('a', waiting(0, 0));
    let urgent = Priority {
        deadline_ms: Some(3_000),
        ..waiting(9_000, 0)
    };
    queue.push('b', urgent);
    assert_eq!(queue.in_order(0), ['a', 'b']);
    assert_eq!(queue.in_order(1_500), ['b', 'a']);
}
