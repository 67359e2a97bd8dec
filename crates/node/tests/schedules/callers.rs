//! Callers that repeat what may be repeated.

use compact_str::CompactString;
use lagoon_errors::ErrorKind;
use lagoon_testkit::{Request, RequestId, Work, World};

use super::faults::Plan;

const VMS: [&str; 3] = ["vm1", "vm2", "vm3"];
/// Time after which a caller gives a request up and repeats it.
const PATIENCE_US: u64 = 20_000_000;
pub(crate) const BUDGET_TOKENS: u64 = 2_000;

/// One program as its caller sees it.
#[derive(Clone, Debug)]
pub(crate) struct Program {
    pub(crate) name: String,
    pub(crate) calls: Vec<u8>,
    pub(crate) done: u32,
    /// Last call whose answer was said to be durable.
    pub(crate) durable: u32,
    continuation: Option<CompactString>,
    pub(crate) abandoned: Option<ErrorKind>,
    pub(crate) sent: Vec<(u32, RequestId)>,
    waiting: Option<(RequestId, u64)>,
    again_us: u64,
}

/// All callers.
#[derive(Clone, Debug)]
pub(crate) struct Callers {
    pub(crate) programs: Vec<Program>,
    turn: usize,
}

impl Program {
    pub(crate) fn request(&self, number: u32) -> Request {
        let work = match self.calls[number as usize - 1] {
            0 => Work::Service("booking".into()),
            1 => Work::Service("payment".into()),
            2 => Work::Service("lookup".into()),
            _ => Work::Chat { tokens: 20 },
        };
        Request {
            program: Some(self.name.as_str().into()),
            number: Some(number),
            parent: None,
            budget_tokens: Some(BUDGET_TOKENS),
            continuation: self.continuation.clone(),
            work,
            tag: format!("{}-{number}", self.name),
        }
    }

    fn is_done(&self) -> bool {
        self.abandoned.is_some() || self.done as usize == self.calls.len()
    }

    fn look(&mut self, world: &World) {
        let Some((id, since_us)) = self.waiting else {
            return;
        };
        let outcome = world.outcome(id);
        if !outcome.is_over() {
            if world.now_us > since_us + PATIENCE_US {
                self.waiting = None;
            }
            return;
        }
        self.waiting = None;
        if let Some(summary) = &outcome.summary {
            self.done += 1;
            if summary.durable {
                self.durable = self.done;
            }
            self.continuation.clone_from(&summary.continuation);
            return;
        }
        let Some(refusal) = &outcome.refusal else {
            return;
        };
        match refusal.kind {
            ErrorKind::InDoubt => self.done += 1,
            kind if refusal.retry_after_s.is_none() => self.abandoned = Some(kind),
            _ => {
                let after_s = refusal.retry_after_s.unwrap_or_default();
                self.again_us = world.now_us + u64::from(after_s) * 1_000_000;
            }
        }
    }
}

impl Callers {
    pub(crate) fn new(plan: &Plan) -> Callers {
        let programs = plan.programs.iter().enumerate();
        let programs = programs.map(|(place, calls)| Program {
            name: format!("p{place}"),
            calls: calls.clone(),
            done: 0,
            durable: 0,
            continuation: None,
            abandoned: None,
            sent: Vec::new(),
            waiting: None,
            again_us: 0,
        });
        Callers {
            programs: programs.collect(),
            turn: plan.seed as usize % VMS.len(),
        }
    }

    /// Lets each caller look at its answer and send its next request.
    pub(crate) fn step(&mut self, world: &mut World) {
        for program in &mut self.programs {
            program.look(world);
            let idle = program.waiting.is_none() && !program.is_done();
            if !idle || world.now_us < program.again_us {
                continue;
            }
            self.turn += 1;
            let vm = VMS[self.turn % VMS.len()];
            let number = program.done + 1;
            let id = world.request(vm, program.request(number));
            program.sent.push((number, id));
            program.waiting = Some((id, world.now_us));
        }
    }

    pub(crate) fn are_done(&self) -> bool {
        self.programs.iter().all(Program::is_done)
    }

    /// Programs that are not done, for a failure's message.
    pub(crate) fn describe(&self, world: &World) -> String {
        let stuck = self.programs.iter().filter(|program| !program.is_done());
        stuck
            .map(|program| {
                let last = program
                    .sent
                    .last()
                    .map(|(_, id)| world.outcome(*id).describe());
                let next = program.done + 1;
                format!("{} is at call {next}: {last:?}; ", program.name)
            })
            .collect()
    }
}
