//! Choice of the other VMs to ask.

use lagoon_gateway::{PeerEntry, PeerOutcome, Peers};

fn entry(port: u16) -> PeerEntry {
    PeerEntry {
        address: ([127, 0, 0, 1], port).into(),
        domain: "d1".into(),
        writer: "w".into(),
        protocol: 0,
    }
}

fn peers() -> Peers {
    let mut peers = Peers::new("own".into(), "d1".into());
    for (name, port) in [("own", 1), ("a", 2), ("b", 3), ("c", 4)] {
        peers.upsert(name.into(), entry(port), 10);
    }
    peers
}

fn names(peers: &Peers, random: u64, now_ms: u64) -> Vec<String> {
    let mut names = ordered(peers, random, now_ms);
    names.sort();
    names
}

fn ordered(peers: &Peers, random: u64, now_ms: u64) -> Vec<String> {
    let candidates = peers.candidates(9, random, now_ms);
    candidates
        .into_iter()
        .map(|(name, _)| name.into())
        .collect()
}

#[test]
fn candidates_exclude_this_vm() {
    assert_eq!(names(&peers(), 0, 0), ["a", "b", "c"]);
}

#[test]
fn candidates_order_spreads_the_load() {
    let mut first: Vec<String> = (0..50).map(|r| ordered(&peers(), r, 0).remove(0)).collect();
    first.sort();
    first.dedup();
    assert_eq!(first, ["a", "b", "c"]);
}

#[test]
fn candidates_of_other_domains_come_first() {
    let mut peers = peers();
    let far = PeerEntry {
        domain: "d2".into(),
        ..entry(9)
    };
    peers.upsert("far".into(), far, 11);
    assert!((0..20).all(|random| ordered(&peers, random, 0)[0] == "far"));
}

#[test]
fn holder_candidates_of_known_writers_come_first() {
    let mut peers = peers();
    let far = PeerEntry {
        domain: "d2".into(),
        writer: "holder".into(),
        ..entry(9)
    };
    peers.upsert("far".into(), far, 11);
    let names = |writers: &[&str], count| -> Vec<String> {
        let writers: Vec<_> = writers.iter().map(|w| (*w).into()).collect();
        let holders = peers.holder_candidates(&writers, count, 0);
        holders.into_iter().map(|(name, _)| name.into()).collect()
    };
    assert_eq!(names(&[], 9), ["a", "b", "c", "far"]);
    assert_eq!(names(&["gone", "holder"], 2), ["far", "a"]);
}

#[test]
fn probe_candidates_are_limited_per_domain() {
    let mut peers = peers();
    let far = PeerEntry {
        domain: "d2".into(),
        ..entry(9)
    };
    peers.upsert("far".into(), far, 11);
    let probed = peers.probe_candidates(2);
    let names: Vec<&str> = probed.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["a", "b", "far"]);
}

#[test]
fn candidates_back_off_exponentially_after_failures() {
    let mut peers = peers();
    peers.record_outcome("a", PeerOutcome::Unreachable, 0);
    assert_eq!(names(&peers, 0, 500), ["b", "c"]);
    assert_eq!(names(&peers, 0, 1_000), ["a", "b", "c"]);
    peers.record_outcome("a", PeerOutcome::Unreachable, 1_000);
    assert_eq!(names(&peers, 0, 2_500), ["b", "c"]);
    peers.record_outcome("a", PeerOutcome::Answered, 3_000);
    peers.record_outcome("a", PeerOutcome::Unreachable, 3_000);
    assert_eq!(names(&peers, 0, 4_000), ["a", "b", "c"]);
}

#[test]
fn upsert_of_new_incarnation_resets_the_backoff() {
    let mut peers = peers();
    peers.record_outcome("a", PeerOutcome::Unreachable, 0);
    let new = PeerEntry {
        writer: "new".into(),
        ..entry(2)
    };
    peers.upsert("a".into(), new, 11);
    assert_eq!(names(&peers, 0, 1), ["a", "b", "c"]);
}

#[test]
fn expired_only_after_continuous_failures() {
    let mut peers = peers();
    peers.record_outcome("a", PeerOutcome::Unreachable, 0);
    assert!(peers.expired(100_000).is_empty());
    peers.record_outcome("b", PeerOutcome::Unreachable, 0);
    peers.record_outcome("b", PeerOutcome::Declined, 50_000);
    assert_eq!(peers.expired(120_000), [("a".into(), 10)]);
}

#[test]
fn split_gossip_peers_follow_this_vm_in_its_domain() {
    let mut peers = Peers::new("b".into(), "d1".into());
    for (name, port, domain) in [
        ("a", 1, "d1"),
        ("c", 3, "d1"),
        ("d", 4, "d1"),
        ("far", 5, "d2"),
    ] {
        let entry = PeerEntry {
            domain: domain.into(),
            ..entry(port)
        };
        peers.upsert(name.into(), entry, 10);
    }
    let ports = |addresses: Vec<std::net::SocketAddr>| -> Vec<u16> {
        addresses.iter().map(std::net::SocketAddr::port).collect()
    };
    let (gossip_peers, others) = peers.split_gossip_peers(2);
    assert_eq!(ports(gossip_peers), [3, 4]);
    assert_eq!(ports(others), [1, 5]);
    let (gossip_peers, others) = peers.split_gossip_peers(9);
    assert_eq!(ports(gossip_peers), [3, 4, 1]);
    assert_eq!(ports(others), [5]);
}

// Guards against a VM of an older build that is taken for unreachable, or dead, as it
// refuses a message that it doesn't know.
#[test]
fn vm_that_refuses_an_unknown_message_counts_as_reachable() {
    let mut peers = peers();
    peers.record_outcome("a", PeerOutcome::Unreachable, 0);
    assert!(peers.record_unknown_message("a", 3, 4_000));
    assert!(!peers.is_dead("a", 10_000));
    assert!(peers.expired(200_000).is_empty());
    assert_eq!(names(&peers, 0, 4_000), ["a", "b", "c"]);
    assert!(peers.responsive_at(([127, 0, 0, 1], 2).into()).is_some());
}

// Guards against callers that wait for a message to a VM that has refused such ones.
#[test]
fn refused_protocol_is_remembered_for_a_time() {
    let mut peers = peers();
    assert!(!peers.lacks_protocol("a", 3, 0));
    assert!(peers.record_unknown_message("a", 3, 0));
    assert!(!peers.record_unknown_message("a", 4, 1_000));
    let lacking = |now_ms| {
        (1..=5)
            .filter(|v| peers.lacks_protocol("a", *v, now_ms))
            .collect()
    };
    let lacking: [Vec<u32>; 3] = [1_000, 30_999, 31_000].map(lacking);
    assert_eq!(lacking, [vec![3, 4, 5], vec![3, 4, 5], vec![]]);
    assert!(!peers.lacks_protocol("b", 3, 1_000));
}

// Guards against a VM that isn't sent messages any more which it knows since it was
// started with a new build.
#[test]
fn refused_protocol_is_forgotten_with_the_incarnation() {
    let mut peers = peers();
    peers.record_unknown_message("a", 3, 0);
    let new = PeerEntry {
        writer: "new".into(),
        protocol: 7,
        ..entry(2)
    };
    peers.upsert("a".into(), new, 11);
    assert!(!peers.lacks_protocol("a", 3, 1));
}

// Guards against messages to a VM whose entry says that it doesn't know them, and
// against none to VMs whose entry doesn't say.
#[test]
fn stated_protocol_tells_which_messages_a_vm_lacks() {
    let mut peers = peers();
    let stated = PeerEntry {
        protocol: 7,
        ..entry(2)
    };
    peers.upsert("a".into(), stated, 11);
    assert!(!peers.lacks_protocol("a", 7, 0));
    assert!(peers.lacks_protocol("a", 8, 0));
    assert!(!peers.lacks_protocol("b", 8, 0));
    assert!(!peers.lacks_protocol("unknown", 8, 0));
}

// Guards against VMs that look for the copies of a program's turns where no VM has sent
// them.
#[test]
fn domain_holders_are_the_same_for_all_vms() {
    let vms = [
        ("a", "d1"),
        ("b", "d1"),
        ("c", "d2"),
        ("e", "d2"),
        ("f", "d3"),
    ];
    let holders_at = |own: (&str, &str), key: &str| {
        let mut peers = Peers::new(own.0.into(), own.1.into());
        for (number, (name, domain)) in vms.iter().enumerate() {
            let entry = PeerEntry {
                domain: (*domain).into(),
                ..entry(number as u16)
            };
            peers.upsert((*name).into(), entry, 10);
        }
        let mut holders = peers.domain_holders(key);
        holders.sort();
        let names = holders.into_iter().map(|(domain, name, _)| (domain, name));
        names.collect::<Vec<_>>()
    };
    for key in ["p1", "p2", "p3", "p4", "p5", "p6"] {
        let own = |own| holders_at(own, key);
        let stranger = own(("x", "d4"));
        assert_eq!(stranger.len(), 3, "{key}");
        for vm in vms {
            let others = stranger.iter().filter(|(_, name)| name != vm.0);
            let others: Vec<_> = others.cloned().collect();
            assert_eq!(own(vm), others, "{key} at {}", vm.0);
        }
    }
}

// Guards against VMs that refuse to be grantors after a restart, until they have written
// rows of their own, although all others know them by those of their earlier runs.
#[test]
fn own_row_of_an_earlier_run_is_known() {
    let mut peers = Peers::new("own".into(), "d1".into());
    assert!(!peers.is_own_listed());
    peers.retain(|name| name == "own", 0);
    assert!(peers.is_own_listed());
    peers.remove("a", 1);
    assert!(peers.is_own_listed());
    peers.remove("own", 2);
    assert!(!peers.is_own_listed());
    peers.upsert("own".into(), entry(1), 10);
    assert!(peers.is_own_listed());
    peers.retain(|_| false, 3);
    assert!(!peers.is_own_listed());
}
