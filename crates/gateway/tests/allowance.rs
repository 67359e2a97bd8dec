//! Allowances and connectivity while the store is unreachable.

use lagoon_gateway::{
    classify_connectivity, AllowanceRequest, AllowanceRow, AllowanceSettlement, Allowances,
    Connectivity, DeferredCharge, PassedAllowance, PeerEntry, PeerOutcome, PeerProbe, Peers,
    ProgramKey,
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

/// Row that names the VM, and has all of its charges.
fn row(overspent_tokens: u64) -> AllowanceRow {
    AllowanceRow {
        is_holder: true,
        overspent_tokens,
        has_pending_charges: false,
    }
}

/// Row that the VM doesn't know.
const UNKNOWN: AllowanceRow = AllowanceRow {
    is_holder: false,
    overspent_tokens: 0,
    has_pending_charges: false,
};

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
        let granted = allowances.grant(&request(20 + turn), row(0), 0);
        let used = granted / 2;
        spent += used;
        allowances.settle(&settlement(granted, used));
    }
    assert!(spent <= MAX_CALL_TOKENS);
    assert_eq!(allowances.grant(&request(MAX_CALL_TOKENS), row(0), 0), 0);
}

#[test]
fn grant_is_shared_by_concurrent_calls() {
    let mut allowances = Allowances::default();
    let granted: u64 = (0..10)
        .map(|_| allowances.grant(&request(40), row(0), 0))
        .sum();
    assert!(granted <= MAX_CALL_TOKENS);
}

// Guards against a stream that is cut although its program's allowance has tokens left:
// the rest that its call asks for was taken for the whole allowance.
#[test]
fn grant_of_the_rest_of_a_call_reaches_its_maximum() {
    let mut allowances = Allowances::default();
    let mut granted = allowances.grant(&request(60), row(0), 0);
    assert_eq!(granted, 180);
    for _ in 0..20 {
        let rest = AllowanceRequest {
            max_tokens: MAX_CALL_TOKENS - granted,
            expected_tokens: (MAX_CALL_TOKENS - granted) / 4,
            ..request(0)
        };
        granted += allowances.grant(&rest, row(0), 0);
    }
    assert_eq!(granted, MAX_CALL_TOKENS);
    assert_eq!(allowances.grant(&request(1), row(0), 0), 0);
}

#[test]
fn grant_too_small_for_a_call_is_refused() {
    let mut allowances = Allowances::default();
    let granted = allowances.grant(&request(90), row(0), 0);
    assert_eq!(granted, 270);
    allowances.settle(&settlement(granted, 250));
    assert_eq!(allowances.grant(&request(90), row(0), 0), 0);
    assert_eq!(allowances.grant(&request(12), row(0), 0), 36);
}

#[test]
fn take_deferred_charges_counts_calls_in_flight_in_full() {
    let mut allowances = Allowances::default();
    let first = allowances.grant(&request(30), row(0), 0);
    allowances.grant(&request(30), row(0), 0);
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
    assert_eq!(allowances.grant(&request(12), row(0), 0), 0);
    allowances.set_overdrawn(ProgramKey("p".into()), false);
    assert_eq!(allowances.grant(&request(12), row(0), 0), 36);
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
fn classify_connectivity_of_the_domain_that_is_cut_off_alone() {
    // Three domains of three VMs each, one of which is cut off: only its VMs know that
    // it is theirs; in the others connectivity is indeterminate.
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

fn passed(used_tokens: u64) -> PassedAllowance {
    PassedAllowance {
        program: "p".into(),
        used_tokens,
    }
}

// Guards against an allowance that is granted on top of one that the row charges already.
#[test]
fn grant_counts_what_the_row_charges_beyond_the_budget() {
    let mut allowances = Allowances::default();
    assert_eq!(allowances.grant(&request(12), row(MAX_CALL_TOKENS), 0), 0);
    let granted: u64 = (0..20)
        .map(|_| allowances.grant(&request(12), row(MAX_CALL_TOKENS - 40), 0))
        .sum();
    assert!((1..=40).contains(&granted), "{granted}");
}

// Guards against tokens of a call that count for nothing, as the report of another one,
// whose grant was charged in full before, takes their place.
#[test]
fn report_of_a_call_that_is_charged_has_no_effect() {
    let mut allowances = Allowances::default();
    let granted = allowances.grant(&request(MAX_CALL_TOKENS), row(0), 0);
    assert_eq!(granted, MAX_CALL_TOKENS);
    assert_eq!(allowances.take_deferred_charges().len(), 1);
    let granted = allowances.grant(&request(20), row(0), 0);
    assert_eq!(granted, 60);
    allowances.settle(&settlement(MAX_CALL_TOKENS, 0));
    let charges = allowances.take_deferred_charges();
    assert_eq!(charges.first().map(|charge| charge.tokens), Some(60));
}

// Guards against a grant of a VM that has passed its allowances on, and against two VMs
// that both grant the rest of one.
#[test]
fn allowance_that_is_passed_on_is_granted_by_its_heir_alone() {
    let program = ProgramKey("p".into());
    let mut stopping = Allowances::default();
    let granted = stopping.grant(&request(60), row(10), 0);
    assert_eq!(granted, 180);
    let sent = stopping.stop(vec![(program.clone(), row(10))]);
    assert_eq!(sent, [passed(190)]);
    assert_eq!(stopping.grant(&request(12), row(10), 0), 0);
    let mut heir = Allowances::default();
    assert!(heir.receive(&sent[0], 0));
    assert!(heir.has_received(&program));
    let granted: u64 = (0..20).map(|_| heir.grant(&request(12), UNKNOWN, 0)).sum();
    assert!((1..=MAX_CALL_TOKENS - 190).contains(&granted), "{granted}");
    let used_tokens = 190 + granted;
    assert_eq!(heir.stop(Vec::new()), [passed(used_tokens)]);
    assert!(!heir.has_received(&program));
}

// Guards against allowances of programs that ended long ago, kept for ever.
#[test]
fn received_allowance_expires() {
    let program = ProgramKey("p".into());
    let mut allowances = Allowances::default();
    assert!(allowances.receive(&passed(0), 1_000));
    allowances.remove_expired(600_000, |_| false);
    assert!(allowances.has_received(&program));
    allowances.remove_expired(601_000, |_| false);
    assert!(!allowances.has_received(&program));
}

// Guards against an allowance whose heir no VM finds: the others of the domain name the
// same one as the VM that stops.
#[test]
fn allowance_heir_is_the_same_for_all_vms_of_the_domain() {
    let all = ["a", "b", "c", "d"];
    for number in 0..50 {
        let program = ProgramKey(format!("p{number}").into());
        let view = |own: &'static str, without: &str| {
            let others = all.iter().filter(|name| **name != own && **name != without);
            let mut others: Vec<_> = others.map(|name| (*name, "d1")).collect();
            others.push(("e", "d2"));
            peers_in(own, "d1", &others)
        };
        let mut stopping = view("a", "");
        stopping.set_stopping();
        let heir = stopping.allowance_heir(&program, 0);
        let heir = heir.expect("an heir");
        for own in ["b", "c", "d"] {
            let peers = view(own, "a");
            assert_eq!(peers.allowance_heir(&program, 0), Some(heir.clone()));
        }
        let mut peers = view("a", "");
        peers.set_stopping();
        peers.record_outcome(&heir, PeerOutcome::Unreachable, 0);
        let later = peers.allowance_heir(&program, 10_000);
        assert!(later.is_some_and(|later| later != heir && later != "e"));
    }
}

// Guards against an allowance that is granted again by the next heir, as the one before has
// charged its grants and so no longer counts them.
#[parameterized(
    calls_ended = { true },
    calls_in_flight = { false },
)]
fn allowance_that_is_passed_on_again_includes_charged_grants(has_ended: bool) {
    let mut used_tokens = 0;
    for vm in 0..4 {
        let mut heir = Allowances::default();
        assert!(heir.receive(&passed(used_tokens), 0));
        let granted = heir.grant(&request(24), UNKNOWN, 0);
        assert_eq!(granted, 72, "VM {vm}");
        used_tokens += if has_ended { 40 } else { granted };
        if has_ended {
            heir.settle(&settlement(granted, 40));
        }
        assert_eq!(heir.take_deferred_charges().len(), 1);
        // The charge is in the row, or not yet.
        let pending = AllowanceRow {
            has_pending_charges: vm % 2 == 0,
            ..UNKNOWN
        };
        let rows = vec![(ProgramKey("p".into()), pending)];
        assert_eq!(heir.stop(rows), [passed(used_tokens)]);
    }
}

// Guards against a call whose tokens count twice, as its grant was passed on and its
// charge is in the row that the heir reads.
#[test]
fn used_tokens_by_count_and_by_row_are_the_same_tokens() {
    let mut heir = Allowances::default();
    assert!(heir.receive(&passed(200), 0));
    let knows_row = AllowanceRow {
        is_holder: false,
        ..row(200)
    };
    assert_eq!(heir.grant(&request(20), knows_row, 0), 60);
}

// Guards against a holder whose charge is on its way to the row that is forgotten by the
// VM to which it passes the allowance on.
#[test]
fn stop_before_a_charge_is_confirmed_passes_it_on() {
    let mut stopping = Allowances::default();
    assert_eq!(stopping.grant(&request(60), row(30), 0), 180);
    assert_eq!(stopping.take_deferred_charges().len(), 1);
    let pending = AllowanceRow {
        has_pending_charges: true,
        ..row(30)
    };
    assert_eq!(stopping.grant(&request(40), pending, 0), 78);
    let rows = vec![(ProgramKey("p".into()), pending)];
    assert_eq!(stopping.stop(rows), [passed(288)]);
}

// Guards against an allowance of which one part counts only, where two VMs pass on what
// each has granted, or the receiver has granted tokens of it itself.
#[test]
fn receive_adds_what_is_used_to_what_counts_already() {
    let mut heir = Allowances::default();
    assert!(heir.receive(&passed(100), 0));
    assert_eq!(heir.grant(&request(20), UNKNOWN, 0), 60);
    assert!(heir.receive(&passed(90), 0));
    assert_eq!(heir.grant(&request(20), UNKNOWN, 0), 38);
    assert_eq!(heir.stop(Vec::new()), [passed(MAX_CALL_TOKENS)]);
    assert!(!heir.receive(&passed(0), 0));
    assert!(!heir.has_received(&ProgramKey("p".into())));
}

// Guards against a second allowance for as long as the charge of the first one waits for
// the store.
#[test]
fn remove_expired_keeps_an_allowance_whose_charge_is_pending() {
    let mut allowances = Allowances::default();
    assert_eq!(allowances.grant(&request(20), row(0), 0), 60);
    allowances.remove_expired(600_000, |_| false);
    assert_eq!(allowances.take_deferred_charges().len(), 1);
    let pending = AllowanceRow {
        has_pending_charges: true,
        ..row(0)
    };
    allowances.remove_expired(700_000, |_| true);
    assert_eq!(
        allowances.grant(&request(MAX_CALL_TOKENS / 3 + 1), pending, 700_000),
        228
    );
}
