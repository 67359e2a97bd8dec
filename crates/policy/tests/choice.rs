//! Load balancing over targets and scheduling of waiting calls.

use lagoon_ids::TargetName;
use lagoon_policy::{Balancer, BalancerSettings, PlacementHint, Priority, WaitQueue};
use lagoon_sheet::{parse, Sheet, Workload};

const KUMABARK: &str = include_str!("../../../samples/kumabark.csv");

fn sheet() -> Sheet {
    parse(KUMABARK).expect("sample sheet is valid")
}

fn workload(sheet: &Sheet) -> Workload {
    let market = sheet
        .market_key(&"kumabark".parse().expect("market name is valid"))
        .expect("market is in the sheet");
    Workload::Model(
        sheet
            .model("contract-agent", market)
            .expect("model is in the sheet"),
    )
}

fn balancer() -> Balancer {
    Balancer::new(
        "kumamoto".parse().expect("domain name is valid"),
        BalancerSettings::default(),
    )
}

fn target(name: &str) -> TargetName {
    name.parse().expect("target name is valid")
}

fn choose(balancer: &Balancer, last: Option<&TargetName>, now_ms: u64) -> Option<TargetName> {
    let sheet = sheet();
    let hint = PlacementHint {
        last_target: last,
        ..PlacementHint::default()
    };
    balancer
        .choose(&sheet, workload(&sheet), hint, now_ms)
        .cloned()
}

#[test]
fn choose_spreads_own_calls() {
    let mut balancer = balancer();
    for _ in 0..30 {
        let chosen = choose(&balancer, None, 0).expect("a target has a free slot");
        balancer.on_sent(&chosen);
    }
    for name in ["contract-1", "contract-4", "contract-7"] {
        assert_eq!(balancer.state(&target(name)).in_flight, 10);
    }
}

#[test]
fn choose_prefers_last_target_until_it_is_loaded() {
    let mut balancer = balancer();
    let last = target("contract-4");
    balancer.on_load(&last, 3, 0);
    assert_eq!(choose(&balancer, Some(&last), 0), Some(last.clone()));
    balancer.on_load(&last, 20, 0);
    assert_ne!(choose(&balancer, Some(&last), 0), Some(last));
}

#[test]
fn choose_skips_draining_targets() {
    let mut balancer = balancer();
    for name in ["contract-1", "contract-4", "contract-7"] {
        balancer.on_draining(&target(name));
    }
    assert_eq!(choose(&balancer, None, 0), None);
}

#[test]
fn choose_uses_ejected_target_after_the_ejection() {
    let mut balancer = balancer();
    balancer.on_load(&target("contract-1"), 9, 0);
    balancer.on_load(&target("contract-7"), 9, 0);
    balancer.eject(&target("contract-4"), 0);
    assert_ne!(choose(&balancer, None, 1_999), Some(target("contract-4")));
    assert_eq!(choose(&balancer, None, 2_000), Some(target("contract-4")));
}

#[test]
fn choose_ignores_ejections_of_most_targets() {
    let mut balancer = balancer();
    for name in ["contract-1", "contract-4", "contract-7"] {
        balancer.eject(&target(name), 0);
    }
    assert!(choose(&balancer, None, 1).is_some());
}

#[test]
fn load_counts_own_calls_once() {
    let mut balancer = balancer();
    let name = target("contract-1");
    balancer.on_sent(&name);
    balancer.on_sent(&name);
    balancer.on_load(&name, 5, 0);
    assert_eq!(balancer.state(&name).load(), 5);
    balancer.on_sent(&name);
    assert_eq!(balancer.state(&name).load(), 6);
}

fn priority(attained_tokens: u64, queued_at_ms: u64) -> Priority {
    Priority {
        attained_tokens,
        queued_at_ms,
        deadline_ms: None,
    }
}

#[test]
fn in_order_ranks_least_attained_first_with_ageing() {
    let mut queue = WaitQueue::default();
    queue.push('a', priority(50_000, 0));
    queue.push('b', priority(1_000, 0));
    assert_eq!(queue.in_order(0), ['b', 'a']);
    queue.push('c', priority(0, 26_000));
    assert_eq!(queue.in_order(26_000), ['a', 'b', 'c']);
}

#[test]
fn in_order_ranks_call_near_its_deadline_first() {
    let mut queue = WaitQueue::default();
    queue.push('a', priority(0, 0));
    let urgent = Priority {
        deadline_ms: Some(3_000),
        ..priority(9_000, 0)
    };
    queue.push('b', urgent);
    assert_eq!(queue.in_order(0), ['a', 'b']);
    assert_eq!(queue.in_order(1_500), ['b', 'a']);
}
