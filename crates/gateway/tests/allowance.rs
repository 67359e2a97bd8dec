//! Allowances where the store is out of reach.

use lagoon_gateway::{
    classify_connectivity, AllowanceRequest, AllowanceSettlement, Allowances, Connectivity,
    DeferredCharge, PeerEntry, PeerProbe, Peers, ProgramKey,
};
use yare::parameterized;

const MOST: u64 = 288;

fn ask(expected_tokens: u64) -> AllowanceRequest {
    AllowanceRequest {
        connectivity: Connectivity::OwnDomain,
        program: "p".into(),
        budget_tokens: 900,
        max_tokens: MOST,
        expected_tokens,
    }
}

fn end(granted_tokens: u64, used_tokens: u64) -> AllowanceSettlement {
    AllowanceSettlement {
        program: "p".into(),
        granted_tokens,
        used_tokens,
    }
}

#[test]
fn ask_never_more_than_one_call_in_all() {
    let mut allowances = Allowances::default();
    let mut spent = 0;
    for turn in 0..50 {
        let granted = allowances.grant(&ask(20 + turn));
        let used = granted / 2;
        spent += used;
        allowances.settle(&end(granted, used));
    }
    assert!(spent <= MOST);
    assert_eq!(allowances.grant(&ask(MOST)), 0);
}

#[test]
fn ask_calls_at_once_share() {
    let mut allowances = Allowances::default();
    let granted: u64 = (0..10).map(|_| allowances.grant(&ask(40))).sum();
    assert!(granted <= MOST);
}

#[test]
fn ask_scant_rest_is_kept() {
    let mut allowances = Allowances::default();
    let granted = allowances.grant(&ask(90));
    assert_eq!(granted, 270);
    allowances.settle(&end(granted, 250));
    assert_eq!(allowances.grant(&ask(90)), 0);
    assert_eq!(allowances.grant(&ask(12)), 36);
}

#[test]
fn take_debts_counts_calls_under_way_in_full() {
    let mut allowances = Allowances::default();
    let first = allowances.grant(&ask(30));
    allowances.grant(&ask(30));
    allowances.settle(&end(first, 12));
    let debt = DeferredCharge {
        program: ProgramKey("p".into()),
        tokens: 12 + 90,
        budget_tokens: 900,
        max_call_tokens: MOST,
    };
    assert_eq!(allowances.take_deferred_charges(), [debt]);
    assert!(allowances.is_empty());
}

#[test]
fn ask_overdrawn_program_gets_nothing() {
    let mut allowances = Allowances::default();
    allowances.set_overdrawn(ProgramKey("p".into()), true);
    assert_eq!(allowances.grant(&ask(12)), 0);
    allowances.set_overdrawn(ProgramKey("p".into()), false);
    assert_eq!(allowances.grant(&ask(12)), 36);
}

fn sounding(domain: &str, is_away: Option<bool>) -> PeerProbe {
    PeerProbe {
        domain: domain.into(),
        is_store_down: is_away,
        is_dead: false,
    }
}

const AWAY: Option<bool> = Some(true);
const SILENT: Option<bool> = None;
const HAS_STORE: Option<bool> = Some(false);

#[parameterized(
    outage = { &[("a", AWAY), ("b", AWAY), ("c", AWAY)], Connectivity::AllDomains },
    outage_some_silent = { &[("a", SILENT), ("b", AWAY), ("b", SILENT), ("c", AWAY)], Connectivity::Indeterminate },
    nobody_is_known = { &[], Connectivity::Indeterminate },
    no_neighbour_is_known = { &[("b", SILENT), ("c", SILENT)], Connectivity::Indeterminate },
    only_this_vm_is_without = { &[("a", AWAY), ("b", HAS_STORE), ("c", SILENT)], Connectivity::Store },
    domain_is_cut_off = { &[("a", AWAY), ("a", AWAY), ("b", SILENT), ("c", SILENT)], Connectivity::OwnDomain },
    half_of_the_domain_is_cut_off = { &[("a", SILENT), ("a", SILENT), ("a", AWAY), ("b", SILENT)], Connectivity::Indeterminate },
    vm_is_cut_off_alone = { &[("a", SILENT), ("a", SILENT), ("b", SILENT), ("c", SILENT)], Connectivity::Indeterminate },
    one_other_domain_answers = { &[("a", AWAY), ("b", AWAY), ("c", SILENT)], Connectivity::Indeterminate },
    one_domain_in_all = { &[("a", AWAY), ("a", AWAY)], Connectivity::OwnDomain },
)]
fn judge_soundings(soundings: &[(&str, Option<bool>)], expected: Connectivity) {
    let soundings: Vec<PeerProbe> = soundings
        .iter()
        .map(|(d, away)| sounding(d, *away))
        .collect();
    assert_eq!(classify_connectivity("a", &soundings), expected);
}

#[test]
fn judge_vm_that_is_long_gone_does_not_count() {
    let gone = PeerProbe {
        is_dead: true,
        ..sounding("b", SILENT)
    };
    let soundings = [sounding("a", AWAY), sounding("b", AWAY), gone];
    assert_eq!(
        classify_connectivity("a", &soundings),
        Connectivity::AllDomains
    );
}

#[test]
fn note_steward_first_one_stays() {
    let mut allowances = Allowances::default();
    let program = ProgramKey("p".into());
    assert!(allowances.claim_coordinator(&program, "a", 0));
    assert!(!allowances.claim_coordinator(&program, "b", 1));
    assert!(allowances.claim_coordinator(&program, "a", 2));
    allowances.remove_expired(700_000);
    assert!(allowances.claim_coordinator(&program, "b", 700_000));
}

#[test]
fn judge_never_sees_two_groups_at_once() {
    // Three domains of three VMs, one domain cut off from the others: no VM
    // on either side takes part with the other side.
    for cut in ["a", "b", "c"] {
        let reaches = ["a", "b", "c"].map(|own| {
            let others = ["a", "b", "c"].into_iter().flat_map(|domain| {
                let is_same_side = (own == cut) == (domain == cut);
                let count = if domain == own { 2 } else { 3 };
                vec![sounding(domain, is_same_side.then_some(true)); count]
            });
            (own, classify_connectivity(own, &others.collect::<Vec<_>>()))
        });
        for (own, reach) in reaches {
            let expected = if own == cut {
                Connectivity::OwnDomain
            } else {
                Connectivity::Indeterminate
            };
            assert_eq!(reach, expected, "{own} with {cut} cut off");
        }
    }
}

#[test]
fn group_of_the_own_domain() {
    let mut peers = Peers::new("own".into(), "d1".into());
    for (name, domain) in [("a", "d1"), ("b", "d2")] {
        let entry = PeerEntry {
            address: ([127, 0, 0, 1], 1).into(),
            domain: domain.into(),
            writer: "w".into(),
        };
        peers.upsert(name.into(), entry, 1);
    }
    let mut near = peers.coordinator_candidates(Connectivity::OwnDomain);
    near.sort();
    assert_eq!(near, ["a", "own"]);
    assert_eq!(
        peers.coordinator_candidates(Connectivity::AllDomains).len(),
        3
    );
    assert_eq!(
        peers.coordinator_candidates(Connectivity::Indeterminate),
        ["own"]
    );
}
