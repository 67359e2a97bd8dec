//! Copies of turns, and who may say that a turn never existed.

use std::rc::Rc;

use bytes::Bytes;
use lagoon_turns::{
    CopyPlan, CopyReply, CopyStep, Lookup, PeerAnswer, StoreAnswer, Turn, TurnId, UnsavedTurns,
    Verdict,
};
use yare::parameterized;

fn turn(name: &str, output: &str) -> Rc<Turn> {
    Rc::new(Turn {
        id: TurnId::parse(name).expect("valid id"),
        ancestors: Vec::new(),
        host: "a.example".into(),
        retention_ms: 60_000,
        ended_unix_ms: 0,
        input: Bytes::from_static(b"in"),
        output: Bytes::copy_from_slice(output.as_bytes()),
    })
}

/// Sends until the plan waits or ends; returns the candidates.
fn send_all(plan: &mut CopyPlan) -> (Vec<usize>, CopyStep) {
    let mut sent = Vec::new();
    loop {
        match plan.next_step() {
            CopyStep::Send(candidate) => sent.push(candidate),
            step => return (sent, step),
        }
    }
}

// Guards against a turn whose copies all die with one failure domain.
#[test]
fn copy_plan_needs_another_domain_if_it_accepts() {
    let mut plan = CopyPlan::new(vec![false, false, true, true]);
    assert_eq!(send_all(&mut plan), (vec![0, 1], CopyStep::Wait));
    plan.record_response(0, CopyReply::Held);
    plan.record_response(1, CopyReply::Held);
    assert_eq!(send_all(&mut plan), (vec![2], CopyStep::Wait));
    plan.record_response(2, CopyReply::Refused);
    assert_eq!(send_all(&mut plan), (vec![3], CopyStep::Wait));
    plan.record_response(3, CopyReply::Held);
    assert_eq!(send_all(&mut plan), (vec![], CopyStep::Safe));
}

#[test]
fn copy_plan_in_a_cut_off_domain_takes_its_own_vms() {
    let mut plan = CopyPlan::new(vec![true, false, true, false]);
    let mut asked = Vec::new();
    loop {
        let (sent, step) = send_all(&mut plan);
        asked.extend(sent.clone());
        for candidate in sent {
            plan.record_response(
                candidate,
                match candidate % 2 {
                    1 => CopyReply::Held,
                    _ => CopyReply::Refused,
                },
            );
        }
        if step == CopyStep::Safe {
            break;
        }
        assert_eq!(step, CopyStep::Wait);
    }
    assert_eq!(asked, [0, 1, 2, 3]);
}

/// Responses in rounds, each as long as a request's timeout, in a failure domain that is
/// cut off; returns the number of rounds until the plan ends, and the last step.
fn rounds_when_cut_off(mut plan: CopyPlan, is_remote: &[bool]) -> (usize, CopyStep) {
    for round in 0.. {
        let (sent, step) = send_all(&mut plan);
        if step != CopyStep::Wait {
            return (round, step);
        }
        for candidate in sent {
            let reply = match is_remote[candidate] {
                true => CopyReply::Refused,
                false => CopyReply::Held,
            };
            plan.record_response(candidate, reply);
        }
    }
    unreachable!("a plan ends")
}

// Guards against turns of a domain that is cut off, one of four, which are not kept as
// nearly all VMs that come first are out of reach, or only after a timeout for each.
#[parameterized(
    all_first_ones_remote = { [vec![true; 8], vec![true, false, true, false, false]].concat() },
    one_local_first = { [vec![false], vec![true; 7], vec![true, true, false, true, false]].concat() },
    every_fourth_local = { (0..40).map(|index| index % 4 != 3).collect() },
)]
fn copy_plan_in_a_cut_off_domain_is_safe_soon(is_remote: Vec<bool>) {
    let (rounds, step) = rounds_when_cut_off(CopyPlan::new(is_remote.clone()), &is_remote);
    assert_eq!(step, CopyStep::Safe);
    assert!(
        rounds <= 4,
        "{rounds} timeouts, and a response waits for 1.5 s at most"
    );
}

// Guards against a response that ends although nobody else has the turn.
#[parameterized(
    no_other_vm = { 0 },
    one_other_vm = { 1 },
    five_other_vms = { 5 },
    many_other_vms = { 60 },
)]
fn copy_plan_fails_if_no_vm_accepts(others: usize) {
    let mut plan = CopyPlan::new((0..others).map(|other| other % 2 == 0).collect());
    let mut asked = 0;
    loop {
        match plan.next_step() {
            CopyStep::Send(candidate) => {
                asked += 1;
                plan.record_response(candidate, CopyReply::Refused);
            }
            step => {
                assert_eq!(step, CopyStep::Failed);
                break;
            }
        }
    }
    assert!(asked <= 8, "{asked}");
}

#[test]
fn copy_plan_of_two_vms_is_safe_with_one_copy() {
    let mut plan = CopyPlan::new(vec![true]);
    assert_eq!(send_all(&mut plan), (vec![0], CopyStep::Wait));
    plan.record_response(0, CopyReply::Held);
    assert_eq!(plan.next_step(), CopyStep::Safe);
}

// Guards against 404 for a turn that exists: by a VM that has just started, that
// can't read the store, or while another VM doesn't respond.
#[parameterized(
    all_sure = { PeerAnswer::Unknown, &[PeerAnswer::Unknown; 3], StoreAnswer::None, Verdict::NeverExisted },
    own_start = { PeerAnswer::Unsure, &[PeerAnswer::Unknown; 3], StoreAnswer::None, Verdict::Uncertain },
    peer_started = { PeerAnswer::Unknown, &[PeerAnswer::Unknown, PeerAnswer::Unsure], StoreAnswer::None, Verdict::Uncertain },
    peer_unreachable = { PeerAnswer::Unknown, &[PeerAnswer::Unreachable], StoreAnswer::None, Verdict::Uncertain },
    store_unread = { PeerAnswer::Unknown, &[PeerAnswer::Unknown], StoreAnswer::Unread, Verdict::Uncertain },
    in_store = { PeerAnswer::Unsure, &[PeerAnswer::Unreachable], StoreAnswer::Found, Verdict::Found },
    at_peer = { PeerAnswer::Unsure, &[PeerAnswer::Unreachable, PeerAnswer::Found], StoreAnswer::Unread, Verdict::Found },
)]
fn lookup_verdict(own: PeerAnswer, peers: &[PeerAnswer], store: StoreAnswer, expected: Verdict) {
    let mut lookup = Lookup::new(own);
    peers.iter().for_each(|peer| lookup.record_peer(*peer));
    lookup.record_store(store);
    assert_eq!(lookup.verdict(), expected);
}

// Guards against 404 for a turn that a VM stored between a read of the store and
// the question to that VM.
#[test]
fn lookup_store_read_before_the_peers_proves_nothing() {
    let mut lookup = Lookup::new(PeerAnswer::Unknown);
    lookup.record_store(StoreAnswer::None);
    lookup.record_peer(PeerAnswer::Unknown);
    assert_eq!(lookup.verdict(), Verdict::Uncertain);
    lookup.record_store(StoreAnswer::None);
    assert_eq!(lookup.verdict(), Verdict::NeverExisted);
}

// Guards against a chain through a turn whose response has not ended.
#[test]
fn unsaved_pending_turn_is_not_found() {
    let mut unsaved = UnsavedTurns::new(1_000);
    let turn = turn("t1", "out");
    assert!(unsaved.begin(Rc::clone(&turn)));
    assert!(unsaved.contains(&turn.id) && unsaved.get(&turn.id).is_none());
    unsaved.mark_safe(&turn.id);
    assert_eq!(unsaved.get(&turn.id), Some(turn));
}

// Guards against an answer whose turn has another version on a VM that is asked for
// a copy; a turn that was answered is handed over all the same.
#[test]
fn copy_plan_ends_at_another_version_unless_the_turn_was_answered() {
    let mut plan = CopyPlan::new(vec![false, true, true, true]);
    assert_eq!(send_all(&mut plan), (vec![0, 1], CopyStep::Wait));
    plan.record_response(0, CopyReply::OtherVersion);
    assert_eq!(send_all(&mut plan), (vec![], CopyStep::Failed));
    let mut handover = CopyPlan::for_handover(vec![false, true, true, true]);
    assert_eq!(send_all(&mut handover), (vec![0, 1, 2], CopyStep::Wait));
    handover.record_response(0, CopyReply::OtherVersion);
    assert_eq!(send_all(&mut handover), (vec![3], CopyStep::Wait));
}

// Guards against a VM that drops its own version of a turn as another one is
// withdrawn.
#[test]
fn unsaved_forget_removes_only_copies_of_that_version() {
    let mut unsaved = UnsavedTurns::new(1_000);
    let (own, copy) = (turn("t1", "own"), turn("t2", "copy"));
    assert!(unsaved.begin(Rc::clone(&own)));
    unsaved.mark_safe(&own.id);
    assert_eq!(unsaved.hold(Rc::clone(&copy), 0), CopyReply::Held);
    unsaved.forget(&own.id, |_| true);
    unsaved.forget(&copy.id, |turn| turn.output == b"other"[..]);
    assert_eq!(unsaved.len(), 2);
    unsaved.forget(&copy.id, |turn| *turn == *copy);
    assert_eq!(unsaved.get(&copy.id), None);
    assert_eq!(unsaved.get(&own.id), Some(own));
}

// Guards against two versions of one turn on two callers' sides.
#[test]
fn unsaved_hold_of_another_version_is_rejected() {
    let mut unsaved = UnsavedTurns::new(1_000);
    assert_eq!(unsaved.hold(turn("t1", "one"), 0), CopyReply::Held);
    assert_eq!(unsaved.hold(turn("t1", "one"), 0), CopyReply::Held);
    assert_eq!(
        unsaved.hold(turn("t1", "other"), 0),
        CopyReply::OtherVersion
    );
    assert!(!unsaved.begin(turn("t1", "other")));
}

#[test]
fn unsaved_take_due_repeats_after_the_delay() {
    let mut unsaved = UnsavedTurns::new(1_000);
    assert_eq!(unsaved.hold(turn("t1", "out"), 10), CopyReply::Held);
    assert!(unsaved.take_due(9, 100).is_empty());
    assert_eq!(unsaved.take_due(10, 100).len(), 1);
    assert!(unsaved.take_due(99, 200).is_empty());
    assert_eq!(unsaved.take_due(100, 300).len(), 1);
}

// Guards against memory that grows for as long as the store is away.
#[test]
fn unsaved_beyond_its_size_is_rejected() {
    let mut unsaved = UnsavedTurns::new(100);
    assert!(unsaved.begin(turn("t1", &"x".repeat(60))));
    assert_eq!(
        unsaved.hold(turn("t2", &"x".repeat(60)), 0),
        CopyReply::Refused
    );
    unsaved.remove(&TurnId::parse("t1").expect("valid id"));
    assert_eq!(
        unsaved.hold(turn("t2", &"x".repeat(60)), 0),
        CopyReply::Held
    );
    assert_eq!(unsaved.len(), 1);
}
