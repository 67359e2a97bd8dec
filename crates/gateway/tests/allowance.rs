//! Allowances and connectivity while the store is unreachable.

use compact_str::CompactString;
use lagoon_gateway::{
    classify_connectivity, AllowanceRecord, AllowanceRequest, AllowanceSettlement, Allowances,
    Connectivity, DeferredCharge, PeerEntry, PeerOutcome, PeerProbe, Peers, ProgramKey,
};
use yare::parameterized;

const MAX_CALL_TOKENS: u64 = 288;

fn request(expected_tokens: u64) -> AllowanceRequest {
    AllowanceRequest {
        connectivity: Connectivity::OwnDomain,
        program: "p".into(),
        budget_tokens: 900,
        max_tokens: MAX_CALL_TOKENS,
        expected_tokens,
    }
}

fn settlement(granted_tokens: u64, used_tokens: u64) -> AllowanceSettlement {
    AllowanceSettlement {
        program: "p".into(),
        granted_tokens,
        used_tokens,
    }
}

#[test]
fn grant_is_at_most_one_call_in_all() {
    let mut allowances = Allowances::default();
    let mut spent = 0;
    for turn in 0..50 {
        let granted = allowances.grant(&request(20 + turn));
        let used = granted / 2;
        spent += used;
        allowances.settle(&settlement(granted, used));
    }
    assert!(spent <= MAX_CALL_TOKENS);
    assert_eq!(allowances.grant(&request(MAX_CALL_TOKENS)), 0);
}

#[test]
fn grant_is_shared_by_concurrent_calls() {
    let mut allowances = Allowances::default();
    let granted: u64 = (0..10).map(|_| allowances.grant(&request(40))).sum();
    assert!(granted <= MAX_CALL_TOKENS);
}

// Guards against a stream that is cut although its program's allowance has tokens left:
// the rest that its call asks for was taken for the whole allowance.
#[test]
fn grant_of_the_rest_of_a_call_reaches_its_maximum() {
    let mut allowances = Allowances::default();
    let mut granted = allowances.grant(&request(60));
    assert_eq!(granted, 180);
    for _ in 0..20 {
        let rest = AllowanceRequest {
            max_tokens: MAX_CALL_TOKENS - granted,
            expected_tokens: (MAX_CALL_TOKENS - granted) / 4,
            ..request(0)
        };
        granted += allowances.grant(&rest);
    }
    assert_eq!(granted, MAX_CALL_TOKENS);
    assert_eq!(allowances.grant(&request(1)), 0);
}

#[test]
fn grant_too_small_for_a_call_is_refused() {
    let mut allowances = Allowances::default();
    let granted = allowances.grant(&request(90));
    assert_eq!(granted, 270);
    allowances.settle(&settlement(granted, 250));
    assert_eq!(allowances.grant(&request(90)), 0);
    assert_eq!(allowances.grant(&request(12)), 36);
}

#[test]
fn take_deferred_charges_counts_calls_in_flight_in_full() {
    let mut allowances = Allowances::default();
    let first = allowances.grant(&request(30));
    allowances.grant(&request(30));
    allowances.settle(&settlement(first, 12));
    let charge = DeferredCharge {
        program: ProgramKey("p".into()),
        tokens: 12 + 90,
        budget_tokens: 900,
        max_call_tokens: MAX_CALL_TOKENS,
    };
    assert_eq!(allowances.take_deferred_charges(), [charge]);
    assert!(allowances.is_empty());
}

#[test]
fn grant_refused_to_overdrawn_program() {
    let mut allowances = Allowances::default();
    allowances.set_overdrawn(ProgramKey("p".into()), true);
    assert_eq!(allowances.grant(&request(12)), 0);
    allowances.set_overdrawn(ProgramKey("p".into()), false);
    assert_eq!(allowances.grant(&request(12)), 36);
}

fn probe(domain: &str, is_store_down: Option<bool>) -> PeerProbe {
    PeerProbe {
        domain: domain.into(),
        is_store_down,
        is_dead: false,
    }
}

const STORE_DOWN: Option<bool> = Some(true);
const NO_REPLY: Option<bool> = None;
const STORE_UP: Option<bool> = Some(false);

#[parameterized(
    outage = { &[("a", STORE_DOWN), ("b", STORE_DOWN), ("c", STORE_DOWN)], Connectivity::AllDomains },
    outage_with_silent_vms = { &[("a", NO_REPLY), ("b", STORE_DOWN), ("b", NO_REPLY), ("c", STORE_DOWN)], Connectivity::Indeterminate },
    no_other_vm_known = { &[], Connectivity::Indeterminate },
    no_other_vm_of_own_domain_known = { &[("b", NO_REPLY), ("c", NO_REPLY)], Connectivity::Indeterminate },
    store_down_for_this_vm_only = { &[("a", STORE_DOWN), ("b", STORE_UP), ("c", NO_REPLY)], Connectivity::Store },
    domain_is_cut_off = { &[("a", STORE_DOWN), ("a", STORE_DOWN), ("b", NO_REPLY), ("c", NO_REPLY)], Connectivity::OwnDomain },
    half_of_the_domain_is_cut_off = { &[("a", NO_REPLY), ("a", NO_REPLY), ("a", STORE_DOWN), ("b", NO_REPLY)], Connectivity::Indeterminate },
    only_this_vm_is_cut_off = { &[("a", NO_REPLY), ("a", NO_REPLY), ("b", NO_REPLY), ("c", NO_REPLY)], Connectivity::Indeterminate },
    one_of_two_other_domains_replies = { &[("a", STORE_DOWN), ("b", STORE_DOWN), ("c", NO_REPLY)], Connectivity::Indeterminate },
    single_domain = { &[("a", STORE_DOWN), ("a", STORE_DOWN)], Connectivity::OwnDomain },
)]
fn classify_connectivity_from_probes(probes: &[(&str, Option<bool>)], expected: Connectivity) {
    let probes: Vec<PeerProbe> = probes
        .iter()
        .map(|(domain, is_store_down)| probe(domain, *is_store_down))
        .collect();
    assert_eq!(classify_connectivity("a", &probes), expected);
}

#[test]
fn classify_connectivity_ignores_dead_vms() {
    let dead = PeerProbe {
        is_dead: true,
        ..probe("b", NO_REPLY)
    };
    let probes = [probe("a", STORE_DOWN), probe("b", STORE_DOWN), dead];
    assert_eq!(
        classify_connectivity("a", &probes),
        Connectivity::AllDomains
    );
}

#[test]
fn claim_coordinator_keeps_the_first_until_it_expires() {
    let mut allowances = Allowances::default();
    let program = ProgramKey("p".into());
    assert!(allowances.claim_coordinator(&program, "a", 0));
    assert!(!allowances.claim_coordinator(&program, "b", 1));
    assert!(allowances.claim_coordinator(&program, "a", 2));
    allowances.remove_expired(700_000);
    assert!(allowances.claim_coordinator(&program, "b", 700_000));
}

#[test]
fn classify_connectivity_allows_one_group_at_a_time() {
    // Three domains of three VMs each, one of which is cut off: only the VMs of
    // that domain may grant; in the others connectivity is indeterminate.
    for cut in ["a", "b", "c"] {
        let results = ["a", "b", "c"].map(|own| {
            let others = ["a", "b", "c"].into_iter().flat_map(|domain| {
                let is_same_side = (own == cut) == (domain == cut);
                let count = if domain == own { 2 } else { 3 };
                vec![probe(domain, is_same_side.then_some(true)); count]
            });
            (own, classify_connectivity(own, &others.collect::<Vec<_>>()))
        });
        for (own, connectivity) in results {
            let expected = if own == cut {
                Connectivity::OwnDomain
            } else {
                Connectivity::Indeterminate
            };
            assert_eq!(connectivity, expected, "{own} with {cut} cut off");
        }
    }
}

#[test]
fn coordinator_candidates_by_connectivity() {
    let mut peers = Peers::new("own".into(), "d1".into());
    for (name, domain) in [("a", "d1"), ("b", "d2")] {
        let entry = PeerEntry {
            address: ([127, 0, 0, 1], 1).into(),
            domain: domain.into(),
            writer: "w".into(),
            protocol: 0,
        };
        peers.upsert(name.into(), entry, 1);
    }
    let mut local = peers.coordinator_candidates(Connectivity::OwnDomain);
    local.sort();
    assert_eq!(local, ["a", "own"]);
    assert_eq!(
        peers.coordinator_candidates(Connectivity::AllDomains).len(),
        3
    );
    assert_eq!(
        peers.coordinator_candidates(Connectivity::Indeterminate),
        ["own"]
    );
}

fn peers_in(own: &str, domain: &str, others: &[(&str, &str)]) -> Peers {
    let mut peers = Peers::new(own.into(), domain.into());
    for (name, domain) in others {
        let entry = PeerEntry {
            address: ([127, 0, 0, 1], 1).into(),
            domain: (*domain).into(),
            writer: "w".into(),
            protocol: 0,
        };
        peers.upsert((*name).into(), entry, 1);
    }
    peers
}

// Guards against a VM that takes a coordinator's place without knowing what that one
// granted: of any two lists that differ by one VM, one's coordinator holds the claims
// of the other's.
#[test]
fn claim_holders_include_the_next_coordinator() {
    let all = ["a", "b", "c", "d"];
    for number in 0..50 {
        let program = ProgramKey(format!("p{number}").into());
        let view = |own: &'static str, listed: &[&'static str]| {
            let others = listed.iter().filter(|name| **name != own);
            let others: Vec<_> = others.map(|name| (*name, "d1")).collect();
            peers_in(own, "d1", &others)
        };
        let coordinator_of = |listed: &[&'static str]| {
            let peers = view(listed[0], listed);
            let candidates = peers.coordinator_candidates(Connectivity::OwnDomain);
            let name = lagoon_gateway::allowance_coordinator(&program, candidates);
            let name = name.expect("a coordinator").clone();
            *all.iter().find(|listed| **listed == name).expect("listed")
        };
        let first = coordinator_of(&all);
        let rest: Vec<_> = all.into_iter().filter(|name| *name != first).collect();
        let next = coordinator_of(&rest);
        let holders = view(first, &all).claim_holders(&program, Connectivity::OwnDomain, 0);
        assert_eq!(holders, [next]);
        // A VM that joins and ranks first asks the one that ranked first before.
        let holders = view(next, &all).claim_holders(&program, Connectivity::OwnDomain, 0);
        assert!(holders.contains(&first.into()));
    }
}

// Guards against grants that no VM but the coordinator knows of, as the VM that held
// them is dead.
#[test]
fn claim_holders_pass_over_a_dead_second_vm() {
    let program = ProgramKey("p".into());
    let others = [
        ("a", "d1"),
        ("b", "d1"),
        ("c", "d1"),
        ("e", "d2"),
        ("f", "d2"),
    ];
    let mut peers = peers_in("own", "d1", &others);
    let mut holders = peers.claim_holders(&program, Connectivity::AllDomains, 0);
    holders.sort();
    assert!(holders.ends_with(&["e".into(), "f".into()]), "{holders:?}");
    let local = peers.claim_holders(&program, Connectivity::OwnDomain, 0);
    for name in &local {
        peers.record_outcome(name, PeerOutcome::Unreachable, 0);
    }
    let later = peers.claim_holders(&program, Connectivity::OwnDomain, 3_000);
    // The first one in the ranking must agree, whether it is dead or not.
    assert_eq!(later.first(), local.first());
    assert!(later.iter().any(|name| !local.contains(name)) || local.len() == 1);
    assert_eq!(
        peers.claim_holders(&program, Connectivity::Indeterminate, 0),
        Vec::<CompactString>::new()
    );
}

// Guards against grants of a VM that no longer counts as a coordinator elsewhere.
#[test]
fn stopping_vm_grants_nothing_and_is_no_candidate() {
    let mut allowances = Allowances::default();
    assert!(allowances.grant(&request(12)) > 0);
    allowances.stop();
    assert_eq!(allowances.grant(&request(12)), 0);
    let mut peers = peers_in("own", "d1", &[("a", "d1")]);
    peers.set_stopping();
    let candidates = peers.coordinator_candidates(Connectivity::OwnDomain);
    assert_eq!(candidates, ["a"]);
}

fn record(coordinator: &str) -> AllowanceRecord {
    AllowanceRecord {
        program: "p".into(),
        coordinator: coordinator.into(),
        age_ms: 0,
        uncharged_tokens: 0,
        budget_tokens: 0,
        max_call_tokens: 0,
    }
}

// Guards against a claim of a VM's own that outranks what another VM has granted.
#[test]
fn hold_record_replaces_a_pending_claim_only() {
    let program = ProgramKey("p".into());
    let mut allowances = Allowances::default();
    assert!(allowances.claim_own(&program, "own", 0));
    assert_eq!(allowances.records(0), []);
    allowances.hold_record(&record("a"), 0);
    assert!(!allowances.claim_own(&program, "own", 0));
    assert!(allowances.claim_coordinator(&program, "a", 0));
    assert_eq!(allowances.records(0), [record("a")]);
}

// Guards against a grant by either of two VMs that both may have granted.
#[test]
fn contested_allowance_is_granted_by_no_vm() {
    let program = ProgramKey("p".into());
    let mut allowances = Allowances::default();
    assert!(allowances.claim_coordinator(&program, "a", 0));
    allowances.hold_record(&record("a"), 0);
    assert!(allowances.claim_coordinator(&program, "a", 0));
    allowances.hold_record(&record("b"), 0);
    for name in ["a", "b", "c"] {
        assert!(!allowances.claim_coordinator(&program, name, 0), "{name}");
    }
    let records = allowances.records(0);
    let mut other = Allowances::default();
    other.hold_record(&records[0], 0);
    for name in ["a", "b", "c"] {
        assert!(!other.claim_coordinator(&program, name, 0), "{name}");
    }
    let mut allowances = Allowances::default();
    assert!(allowances.claim_own(&program, "own", 0));
    assert!(allowances.grant(&request(12)) > 0);
    allowances.hold_record(&record("b"), 0);
    assert_eq!(allowances.grant(&request(12)), 0);
}

// Guards against a claim that others refused and that its VM then takes for its right.
#[test]
fn withdraw_claim_keeps_what_was_granted() {
    let program = ProgramKey("p".into());
    let mut allowances = Allowances::default();
    assert!(allowances.claim_own(&program, "own", 0));
    allowances.withdraw_claim(&program, "own");
    assert!(allowances.claim_coordinator(&program, "a", 0));
    allowances.withdraw_claim(&program, "own");
    assert!(allowances.claim_coordinator(&program, "a", 0));
    let mut allowances = Allowances::default();
    assert!(allowances.claim_own(&program, "own", 0));
    assert!(allowances.grant(&request(12)) > 0);
    allowances.withdraw_claim(&program, "own");
    assert!(!allowances.claim_coordinator(&program, "a", 0));
}

// Guards against records that are passed on for ever.
#[test]
fn record_expires_by_its_last_claim() {
    let program = ProgramKey("p".into());
    let mut allowances = Allowances::default();
    assert!(allowances.claim_coordinator(&program, "a", 0));
    let records = allowances.records(400_000);
    let mut other = Allowances::default();
    other.hold_record(&records[0], 700_000);
    other.remove_expired(800_000);
    assert_eq!(other.records(800_000).len(), 1);
    other.remove_expired(900_000);
    assert_eq!(other.records(900_000), []);
}
