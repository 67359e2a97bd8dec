//! Scripted failure scenarios in virtual time.
//!
//! Directives:
//! - `vms` starts VMs, `call` sends a request, and `run ms=` advances the time;
//! - `outcome`, `runs` and `hosts` show the results;
//! - `kill`, `start`, `pause`, `resume`, `stop`, `cut`, `heal`, `store`, `target`
//!   and `loss` inject or end faults;
//! - `double` duplicates messages between VMs; the copies arrive after later messages;
//! - `doubts`, `settle` and `programs` send requests of operators;
//! - `end` sends a caller's request to end a program.
//!
//! The argument `program=of.ID` or `parent=of.ID` stands for the program identifier in the
//! response to call `ID`.

use std::collections::BTreeMap;
use std::fmt::Write;

use datadriven::TestCase;
use lagoon_node::{OperatorReply, OperatorRequest};
use lagoon_testkit::{Request, RequestId, RequestKind, Simulation, StoreMode, TargetMode};

#[derive(Default)]
struct Script {
    sim: Option<Simulation>,
    requests_by_id: BTreeMap<String, RequestId>,
    shown_executions: usize,
}

fn arg(case: &mut TestCase, name: &str) -> String {
    case.take_arg(name)
        .unwrap_or_else(|error| panic!("{name}: {error}"))
}

fn opt_arg(case: &mut TestCase, name: &str) -> Option<String> {
    case.try_take_arg(name)
        .unwrap_or_else(|error| panic!("{name}: {error}"))
}

impl Script {
    fn sim(&mut self) -> &mut Simulation {
        self.sim.get_or_insert_with(|| Simulation::new(1))
    }

    fn run(&mut self, case: &mut TestCase) -> String {
        let directive = case.directive.clone();
        match directive.as_str() {
            "vms" => self.vms(case),
            "call" => self.call(case),
            "run" => {
                let ms = arg(case, "ms").parse().expect("number");
                self.sim().run_ms(ms);
                String::new()
            }
            "outcome" => self.outcome(case),
            "runs" => self.runs(),
            "doubts" => self.doubts(case),
            "settle" => self.settle(case),
            "programs" => self.programs(case),
            _ => self.fault(&directive, case),
        }
    }

    fn vms(&mut self, case: &mut TestCase) -> String {
        let names: Vec<String> = case.take_args("names").expect("names");
        for name in &names {
            self.sim().start(name);
        }
        self.sim().run_ms(1_000);
        let ready = self
            .sim()
            .vms()
            .filter(|(_, sim_vm)| sim_vm.node.is_ready());
        format!("{} ready\n", ready.count())
    }

    fn program(&mut self, text: Option<String>) -> Option<String> {
        let text = text?;
        let Some(id) = text.strip_prefix("of.") else {
            return Some(text);
        };
        let id = self.requests_by_id[id];
        let program = self.sim().outcome(id).program.clone();
        Some(program.expect("response with a program").to_string())
    }

    /// Returns the continuation token in the response to the earlier call that the
    /// `after=ID` argument of a step names; `None` without that argument.
    fn continuation(&mut self, case: &mut TestCase) -> Option<compact_str::CompactString> {
        let id = self.requests_by_id[&opt_arg(case, "after")?];
        let summary = self.sim().outcome(id).summary.clone();
        summary.expect("complete response").continuation
    }

    fn call(&mut self, case: &mut TestCase) -> String {
        let id = arg(case, "id");
        let vm = arg(case, "vm");
        let kind = match (opt_arg(case, "chat"), opt_arg(case, "service")) {
            (Some(tokens), None) => RequestKind::Chat {
                tokens: tokens.parse().expect("number"),
            },
            (None, Some(service)) => RequestKind::Service(service.into()),
            _ => panic!("either chat or service must be given"),
        };
        let program = opt_arg(case, "program");
        let parent = opt_arg(case, "parent");
        let request = Request {
            program: self.program(program).map(Into::into),
            number: opt_arg(case, "n").map(|n| n.parse().expect("number")),
            parent: self.program(parent).map(Into::into),
            budget_tokens: opt_arg(case, "budget").map(|n| n.parse().expect("number")),
            continuation: self.continuation(case),
            kind,
            tag: opt_arg(case, "tag").unwrap_or_else(|| id.clone()),
        };
        let sent = self.sim().send_request(&vm, request);
        self.requests_by_id.insert(id, sent);
        String::new()
    }

    fn outcome(&mut self, case: &mut TestCase) -> String {
        let ids: Vec<String> = case.take_args("ids").expect("ids");
        let mut text = String::new();
        for id in ids {
            let sent = self.requests_by_id[&id];
            let sim = self.sim();
            let outcome = sim.outcome(sent);
            let expected = sim.sent_request(sent).expected_response().into_bytes();
            let right = !outcome.is_complete() || outcome.bytes == expected;
            let mismatch = if right { "" } else { ", WRONG RESPONSE" };
            writeln!(text, "{id}: {}{mismatch}", outcome.describe()).expect("string");
        }
        text
    }

    fn runs(&mut self) -> String {
        let shown = self.shown_executions;
        let mut text = String::new();
        for execution in &self.sim().executions()[shown..] {
            let number = execution.call.number;
            let child = execution
                .call
                .program
                .as_str()
                .split_once('/')
                .map_or("", |(_, child)| child);
            writeln!(text, "{child}#{number} at {}", execution.target).expect("string");
        }
        self.shown_executions = self.sim().executions().len();
        text
    }

    fn doubts(&mut self, case: &mut TestCase) -> String {
        let vm = arg(case, "vm");
        match self
            .sim()
            .send_operator_request(&vm, OperatorRequest::InDoubtCalls)
        {
            Some(OperatorReply::InDoubtCalls(doubts)) => doubts
                .iter()
                .map(|doubt| format!("#{} at {}\n", doubt.number, doubt.target))
                .collect(),
            other => panic!("{other:?}"),
        }
    }

    fn settle(&mut self, case: &mut TestCase) -> String {
        let vm = arg(case, "vm");
        let program = opt_arg(case, "program");
        let program = self.program(program).expect("program");
        let call = lagoon_ids::CallKey {
            program: program.parse().expect("program"),
            number: arg(case, "n").parse().expect("number"),
        };
        let ran = arg(case, "ran") == "yes";
        let reply = self
            .sim()
            .send_operator_request(&vm, OperatorRequest::ResolveInDoubt { call, ran });
        format!("{}\n", serde_json::to_string(&reply).expect("json"))
    }

    fn programs(&mut self, case: &mut TestCase) -> String {
        let vm = arg(case, "vm");
        match self
            .sim()
            .send_operator_request(&vm, OperatorRequest::Programs)
        {
            Some(OperatorReply::Programs(programs)) => programs
                .iter()
                .map(|program| {
                    format!(
                        "{}, {} calls, {} tokens spent, {} in flight\n",
                        program.state,
                        program.calls.len(),
                        program.budget.spent.tokens,
                        program.budget.in_flight.tokens
                    )
                })
                .collect(),
            other => panic!("{other:?}"),
        }
    }

    fn fault(&mut self, directive: &str, case: &mut TestCase) -> String {
        match directive {
            "kill" => {
                let vm = arg(case, "vm");
                self.sim().kill(&vm);
            }
            "start" => {
                let vm = arg(case, "vm");
                self.sim().start(&vm);
            }
            "pause" => {
                let vm = arg(case, "vm");
                self.sim().pause(&vm);
            }
            "resume" => {
                let vm = arg(case, "vm");
                self.sim().resume(&vm);
            }
            "stop" => {
                let vm = arg(case, "vm");
                self.sim().stop(&vm);
            }
            "cut" => {
                let vms: Vec<String> = case.take_args("between").expect("VMs");
                self.sim().partition(&vms[0], &vms[1]);
            }
            "heal" => self.sim().heal(),
            "loss" => {
                self.sim().message_loss_percent = arg(case, "percent").parse().expect("number")
            }
            "double" => {
                self.sim().message_duplication_percent =
                    arg(case, "percent").parse().expect("number");
            }
            "store" => {
                self.sim().store_mode = match arg(case, "mode").as_str() {
                    "up" => StoreMode::Up,
                    "down" => StoreMode::Down,
                    "lose-replies" => StoreMode::LoseReplies,
                    other => panic!("{other}"),
                }
            }
            "target" => {
                let name = arg(case, "name");
                let mode = match arg(case, "mode").as_str() {
                    "ok" => TargetMode::Ok,
                    "refuse" => TargetMode::RefuseConnection,
                    "not-run" => TargetMode::NotRun,
                    "break" => TargetMode::Disconnect,
                    "hang" => TargetMode::Hang,
                    "double" => TargetMode::DuplicateEvents,
                    other => panic!("{other}"),
                };
                self.sim().set_target_mode(&name, mode);
            }
            "end" => {
                let vm = arg(case, "vm");
                let program = opt_arg(case, "program");
                let program = self.program(program).expect("program");
                self.sim().end_program(&vm, &program);
            }
            "hosts" => {
                return self
                    .sim()
                    .vms()
                    .map(|(vm, sim_vm)| format!("{vm} holds {}\n", sim_vm.node.programs().len()))
                    .collect()
            }
            other => panic!("unknown directive {other}"),
        }
        String::new()
    }
}

#[test]
fn scenarios_all_files() {
    datadriven::walk("tests/scenarios", |file| {
        let mut script = Script::default();
        file.run(|case| {
            let text = script.run(case);
            case.expect_empty().expect("no further arguments");
            text
        });
    });
}
