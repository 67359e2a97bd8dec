//! Order of the calls of one program.

mod support;

use lagoon_errors::ErrorKind;
use lagoon_program::{CallDecision, Programs, Record};
use support::{call, finished, open, program_id};

fn with_finished(numbers: &[u32]) -> Programs {
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

fn refusal_kind(arrival: &CallDecision<'_>) -> Option<ErrorKind> {
    match arrival {
        CallDecision::Reject(refusal) => Some(refusal.kind),
        _ => None,
    }
}

#[yare::parameterized(
    next = { 3, 3, "run" },
    ahead = { 4, 4, "wait" },
    repeated = { 2, 2, "replay" },
    other_content = { 2, 9, "conflict" },
)]
fn arrive_after_two_calls(number: u32, content_hash: u128, expected: &str) {
    let programs = with_finished(&[1, 2]);
    let key = programs.find(&program_id("p")).expect("program");
    let arrival = programs
        .get(key)
        .expect("program")
        .decide_call(number, content_hash);
    let found = match &arrival {
        CallDecision::Run => "run",
        CallDecision::Wait => "wait",
        CallDecision::Replay(call) if call.content_hash == content_hash => "replay",
        other if refusal_kind(other) == Some(ErrorKind::CallConflict) => "conflict",
        _ => "other",
    };
    assert_eq!(found, expected);
}

#[test]
fn arrive_while_running_attaches_or_waits() {
    let mut programs = with_finished(&[]);
    let key = programs.find(&program_id("p")).expect("program");
    let program = programs.get_mut(key).expect("program");
    program.set_running(1, 7);
    assert_eq!(program.decide_call(1, 7), CallDecision::Attach);
    assert_eq!(program.decide_call(2, 7), CallDecision::Wait);
    assert_eq!(
        refusal_kind(&program.decide_call(1, 8)),
        Some(ErrorKind::CallConflict)
    );
}

#[test]
fn arrive_same_request_again_and_again_is_stopped() {
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
        refusal_kind(&program.decide_call(9, 5)),
        Some(ErrorKind::LoopStopped)
    );
    assert_eq!(program.decide_call(9, 6), CallDecision::Run);
}

#[test]
fn arrive_after_end_is_refused_but_replayed() {
    let mut programs = with_finished(&[1]);
    programs.apply(&Record::Ended {
        program: program_id("p"),
    });
    let key = programs.find(&program_id("p")).expect("program");
    let program = programs.get(key).expect("program");
    assert_eq!(
        refusal_kind(&program.decide_call(2, 2)),
        Some(ErrorKind::ProgramEnded)
    );
    assert!(matches!(program.decide_call(1, 1), CallDecision::Replay(_)));
}
