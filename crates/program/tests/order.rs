//! Order, deduplication and replay of the calls of a program.

mod support;

use lagoon_errors::ErrorKind;
use lagoon_program::{CallDecision, Programs, Record};
use support::{call, finished, open, program_id};

fn programs_with_finished(numbers: &[u32]) -> Programs {
    let mut programs = Programs::default();
    open(&mut programs, "p", 1_000);
    for number in numbers {
        programs.apply(&Record::Finished {
            call: call("p", *number),
            finished: finished(u128::from(*number), 1),
        });
    }
    programs
}

fn rejection_kind(decision: &CallDecision<'_>) -> Option<ErrorKind> {
    match decision {
        CallDecision::Reject(error) => Some(error.kind),
        _ => None,
    }
}

#[yare::parameterized(
    next = { 3, 3, "run" },
    skips_a_number = { 4, 4, "wait" },
    same_content = { 2, 2, "replay" },
    other_content = { 2, 9, "conflict" },
)]
fn decide_call_after_two_finished_calls(number: u32, content_hash: u128, expected: &str) {
    let programs = programs_with_finished(&[1, 2]);
    let key = programs.find(&program_id("p")).expect("program");
    let decision = programs
        .get(key)
        .expect("program")
        .decide_call(number, content_hash);
    let found = match &decision {
        CallDecision::Run => "run",
        CallDecision::Wait => "wait",
        CallDecision::Replay(call) if call.content_hash == content_hash => "replay",
        other if rejection_kind(other) == Some(ErrorKind::CallConflict) => "conflict",
        _ => "other",
    };
    assert_eq!(found, expected);
}

#[test]
fn decide_call_while_running_attaches_or_waits() {
    let mut programs = programs_with_finished(&[]);
    let key = programs.find(&program_id("p")).expect("program");
    let program = programs.get_mut(key).expect("program");
    program.set_running(1, 7);
    assert_eq!(program.decide_call(1, 7), CallDecision::Attach);
    assert_eq!(program.decide_call(2, 7), CallDecision::Wait);
    assert_eq!(
        rejection_kind(&program.decide_call(1, 8)),
        Some(ErrorKind::CallConflict)
    );
}

#[test]
fn decide_call_rejects_the_ninth_identical_request() {
    let mut programs = Programs::default();
    let key = open(&mut programs, "p", 1_000);
    for number in 1..=8 {
        let program = programs.get(key).expect("program");
        assert_eq!(program.decide_call(number, 5), CallDecision::Run);
        programs.apply(&Record::Finished {
            call: call("p", number),
            finished: finished(5, 1),
        });
    }
    let program = programs.get(key).expect("program");
    assert_eq!(
        rejection_kind(&program.decide_call(9, 5)),
        Some(ErrorKind::LoopStopped)
    );
    assert_eq!(program.decide_call(9, 6), CallDecision::Run);
}

#[test]
fn decide_call_after_end_rejects_new_calls_and_replays_finished_ones() {
    let mut programs = programs_with_finished(&[1]);
    programs.apply(&Record::Ended {
        program: program_id("p"),
    });
    let key = programs.find(&program_id("p")).expect("program");
    let program = programs.get(key).expect("program");
    assert_eq!(
        rejection_kind(&program.decide_call(2, 2)),
        Some(ErrorKind::ProgramEnded)
    );
    assert!(matches!(program.decide_call(1, 1), CallDecision::Replay(_)));
}
