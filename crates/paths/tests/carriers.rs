//! Choice of the VM that carries an attempt.

use std::collections::BTreeMap;

use compact_str::CompactString;
use lagoon_paths::{CarrierSettings, Carriers, Decline, Vm};

const VMS: [Vm<'_>; 6] = [
    Vm {
        name: "a1",
        domain: "a",
    },
    Vm {
        name: "a2",
        domain: "a",
    },
    Vm {
        name: "b1",
        domain: "b",
    },
    Vm {
        name: "b2",
        domain: "b",
    },
    Vm {
        name: "c1",
        domain: "c",
    },
    Vm {
        name: "c2",
        domain: "c",
    },
];

fn choose(carriers: &Carriers, asked: &[&str], random: u64, now_ms: u64) -> Option<&'static str> {
    let asked: Vec<CompactString> = asked.iter().map(|name| (*name).into()).collect();
    let chosen = carriers.choose(VMS, &asked, "a", "b", random, now_ms);
    chosen.map(|vm| vm.name)
}

fn carriers() -> Carriers {
    Carriers::new(CarrierSettings::default())
}

#[test]
fn own_domain_comes_first_then_that_of_the_target() {
    let carriers = carriers();
    for random in 0..50 {
        assert!(choose(&carriers, &[], random, 0).is_some_and(|name| name.starts_with('a')));
        let next = choose(&carriers, &["a1", "a2"], random, 0);
        assert!(next.is_some_and(|name| name.starts_with('b')));
        let last = choose(&carriers, &["a1", "a2", "b1", "b2"], random, 0);
        assert!(last.is_some_and(|name| name.starts_with('c')));
    }
    assert_eq!(
        choose(&carriers, &["a1", "a2", "b1", "b2", "c1", "c2"], 1, 0),
        None
    );
}

#[test]
fn less_used_of_two_is_taken() {
    let mut carriers = carriers();
    carriers.started("a1");
    assert_eq!(choose(&carriers, &[], 1, 0), Some("a2"));
    carriers.ended("a1");
    carriers.started("a2");
    assert_eq!(choose(&carriers, &[], 1, 0), Some("a1"));
}

// Guards against all attempts at the VM that is first by name.
#[test]
fn attempts_spread_over_a_domain() {
    let names: Vec<String> = (0..20).map(|number| format!("vm-{number}")).collect();
    let vms = || names.iter().map(|name| Vm { name, domain: "a" });
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    let carriers = carriers();
    for random in 0..2_000 {
        let chosen = carriers.choose(vms(), &[], "a", "a", random, 0);
        *counts.entry(chosen.expect("a VM").name).or_default() += 1;
    }
    assert_eq!(counts.len(), 20);
    assert!(
        counts.values().all(|count| (50..200).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn domain_is_passed_over_after_two_that_are_isolated() {
    let mut carriers = carriers();
    carriers.record_declined(VMS[0], Decline::Isolated, 1_000);
    assert_eq!(choose(&carriers, &[], 1, 1_000), Some("a2"));
    carriers.record_declined(VMS[1], Decline::Isolated, 1_000);
    assert!(choose(&carriers, &[], 1, 1_500).is_some_and(|name| name.starts_with('b')));
    assert!(choose(&carriers, &[], 1, 2_000).is_some_and(|name| name.starts_with('a')));
    // If no other domain is left, it isn't.
    carriers.record_declined(VMS[0], Decline::Isolated, 3_000);
    let own = [VMS[1]];
    let chosen = carriers.choose(own, &[], "a", "b", 1, 3_000);
    assert!(chosen.is_some());
}

#[test]
fn full_vm_is_left_alone_and_its_domain_is_not() {
    let mut carriers = carriers();
    carriers.record_declined(VMS[0], Decline::NoRoom, 1_000);
    for random in 0..20 {
        assert_eq!(choose(&carriers, &[], random, 1_100), Some("a2"));
    }
    carriers.record_declined(VMS[1], Decline::UnknownTarget, 1_000);
    assert_eq!(choose(&carriers, &[], 1, 1_100), Some("a2"));
}

// Guards against VMs that aren't asked at all because each lacks a path to one target.
#[test]
fn vm_without_a_path_to_one_target_is_asked_for_others() {
    let mut carriers = carriers();
    for vm in VMS {
        carriers.record_declined(vm, Decline::NoPath, 1_000);
    }
    let chosen = choose(&carriers, &[], 1, 1_000);
    assert!(chosen.is_some_and(|name| name.starts_with('a')));
}
