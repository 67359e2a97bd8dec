//! Simulated callers that retry refused and timed-out calls.

use compact_str::CompactString;
use lagoon_errors::ErrorKind;
use lagoon_testkit::{Request, RequestId, RequestKind, Simulation};

use super::faults::Plan;

const VMS: [&str; 3] = ["vm1", "vm2", "vm3"];
/// Time after which a caller abandons a request and retries it.
const REQUEST_TIMEOUT_US: u64 = 20_000_000;
/// Token limit that each program requests.
pub(crate) const BUDGET_TOKENS: u64 = 2_000;

/// State of one program at its caller.
#[derive(Clone, Debug)]
pub(crate) struct Program {
    pub(crate) name: String,
    /// Kind of each call, as [`Program::request`] decodes it.
    pub(crate) calls: Vec<u8>,
    /// Number of calls that have a response or are in doubt.
    pub(crate) finished: u32,
    /// Number of the last call whose response was reported as durable; 0 if there is none.
    pub(crate) last_durable: u32,
    continuation: Option<CompactString>,
    /// Error without a retry time, after which the caller gave up the program.
    pub(crate) abandoned: Option<ErrorKind>,
    /// All requests sent, with their call numbers.
    pub(crate) sent: Vec<(u32, RequestId)>,
    /// Request that the caller waits for, with its send time in microseconds.
    in_flight: Option<(RequestId, u64)>,
    retry_at_us: u64,
}

/// Callers of all programs, which send their requests to the VMs in turn.
#[derive(Clone, Debug)]
pub(crate) struct Callers {
    pub(crate) programs: Vec<Program>,
    vm_index: usize,
}

impl Program {
    pub(crate) fn request(&self, number: u32) -> Request {
        let kind = match self.calls[number as usize - 1] {
            0 => RequestKind::Service("booking".into()),
            1 => RequestKind::Service("payment".into()),
            2 => RequestKind::Service("lookup".into()),
            _ => RequestKind::Chat { tokens: 20 },
        };
        Request {
            program: Some(self.name.as_str().into()),
            number: Some(number),
            parent: None,
            budget_tokens: Some(BUDGET_TOKENS),
            continuation: self.continuation.clone(),
            kind,
            tag: format!("{}-{number}", self.name),
        }
    }

    fn is_done(&self) -> bool {
        self.abandoned.is_some() || self.finished as usize == self.calls.len()
    }

    fn process_outcome(&mut self, sim: &Simulation) {
        let Some((id, since_us)) = self.in_flight else {
            return;
        };
        let outcome = sim.outcome(id);
        if !outcome.is_finished() {
            if sim.now_us > since_us + REQUEST_TIMEOUT_US {
                self.in_flight = None;
            }
            return;
        }
        self.in_flight = None;
        if let Some(summary) = &outcome.summary {
            self.finished += 1;
            if summary.durable {
                self.last_durable = self.finished;
            }
            self.continuation.clone_from(&summary.continuation);
            return;
        }
        let Some(error) = &outcome.error else {
            return;
        };
        match error.kind {
            ErrorKind::InDoubt => self.finished += 1,
            kind if error.retry_after_s.is_none() => self.abandoned = Some(kind),
            _ => {
                let after_s = error.retry_after_s.unwrap_or_default();
                self.retry_at_us = sim.now_us + u64::from(after_s) * 1_000_000;
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
            finished: 0,
            last_durable: 0,
            continuation: None,
            abandoned: None,
            sent: Vec::new(),
            in_flight: None,
            retry_at_us: 0,
        });
        Callers {
            programs: programs.collect(),
            vm_index: plan.seed as usize % VMS.len(),
        }
    }

    /// Lets each caller process its response and send its next request.
    pub(crate) fn step(&mut self, sim: &mut Simulation) {
        for program in &mut self.programs {
            program.process_outcome(sim);
            let idle = program.in_flight.is_none() && !program.is_done();
            if !idle || sim.now_us < program.retry_at_us {
                continue;
            }
            self.vm_index += 1;
            let vm = VMS[self.vm_index % VMS.len()];
            let number = program.finished + 1;
            let id = sim.send_request(vm, program.request(number));
            program.sent.push((number, id));
            program.in_flight = Some((id, sim.now_us));
        }
    }

    pub(crate) fn are_done(&self) -> bool {
        self.programs.iter().all(Program::is_done)
    }

    /// Describes the unfinished programs, for assertion messages.
    pub(crate) fn describe(&self, sim: &Simulation) -> String {
        let stuck = self.programs.iter().filter(|program| !program.is_done());
        stuck
            .map(|program| {
                let last = program
                    .sent
                    .last()
                    .map(|(_, id)| sim.outcome(*id).describe());
                let next = program.finished + 1;
                format!("{} is at call {next}: {last:?}; ", program.name)
            })
            .collect()
    }
}
