//! Allowances and connectivity while the store is unreachable.

use lagoon_gateway::{
    classify_connectivity, AllowanceRequest, AllowanceSettlement, Allowances, Connectivity,
    DeferredCharge, PeerEntry, PeerProbe, Peers, ProgramKey,
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
