//! Constructors shared by the tests.
#![allow(dead_code)]

use lagoon_ids::{CallKey, ProgramId};
use lagoon_program::{
    FinishedCall, Outcome, ProgramKey, ProgramSpec, Programs, RecordedResponse, ResourceAmounts,
};

pub(crate) fn program_id(text: &str) -> ProgramId {
    text.parse().expect("program")
}

pub(crate) fn call(program: &str, number: u32) -> CallKey {
    CallKey {
        program: program_id(program),
        number,
    }
}

pub(crate) fn tokens(tokens: u64) -> ResourceAmounts {
    ResourceAmounts {
        tokens,
        ..ResourceAmounts::default()
    }
}

pub(crate) fn finished(content_hash: u128, used_tokens: u64) -> FinishedCall {
    FinishedCall {
        content_hash,
        target: "engine-1".parse().expect("target"),
        used: tokens(used_tokens),
        outcome: Outcome::Answered(RecordedResponse {
            status: 200,
            content_type: "text/plain".into(),
            bytes: b"answer".as_slice().into(),
        }),
    }
}

pub(crate) fn open(programs: &mut Programs, id: &str, limit_tokens: u64) -> ProgramKey {
    let record = programs
        .open(ProgramSpec {
            program: program_id(id),
            account: "account".parse().expect("account"),
            market: "market".parse().expect("market"),
            limit: tokens(limit_tokens),
        })
        .expect("opens");
    programs.apply(&record);
    programs.find(&program_id(id)).expect("program")
}
