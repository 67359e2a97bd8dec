//! Actor that owns the node and executes its effects.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use lagoon_ids::FastMap;
use lagoon_node::{
    CallRef, Effect, Event, Node, OperatorRef, OperatorReply, ResponseFrame, StageSpan,
};
use lagoon_telemetry::{FinishedSpan, Metrics, SpanKind, Tracer};
use stakker::{after, call, Actor, CX};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::actors::{PeersActor, StoreActor, TargetsActor};
use crate::clock::Clock;
use crate::constants::{BUSY_TICK_INTERVAL, GAUGE_INTERVAL, IDLE_TICK_INTERVAL};
use crate::http::{BoundCounts, ClientMemory};
use crate::input::Input;

/// Why the main loop ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ExitReason {
    /// The planned stop is complete.
    Stopped,
    /// A successor sealed this incarnation, or its row in the store belongs to
    /// another daemon.
    Fenced,
}

/// Node, the other actors and the state shared with other threads.
pub(crate) struct NodeParts {
    pub(crate) node: Node,
    pub(crate) clock: Clock,
    pub(crate) tracer: Arc<Tracer>,
    pub(crate) metrics: Metrics,
    pub(crate) ready: Arc<AtomicBool>,
    /// Bounds that clients have met.
    pub(crate) bound_counts: Arc<BoundCounts>,
    pub(crate) client_memory: ClientMemory,
    /// Why the main loop is to end; `None` until then.
    pub(crate) exit: Rc<Cell<Option<ExitReason>>>,
    pub(crate) peers: Actor<PeersActor>,
    pub(crate) store: Actor<StoreActor>,
    pub(crate) targets: Actor<TargetsActor>,
}

/// Actor that owns the node and the reply channels of open requests.
pub(crate) struct NodeActor {
    parts: NodeParts,
    /// Whether a tick at the busy interval is scheduled.
    is_tick_scheduled: bool,
    callers: FastMap<CallRef, UnboundedSender<ResponseFrame>>,
    operators: FastMap<OperatorRef, oneshot::Sender<OperatorReply>>,
}

impl NodeActor {
    pub(crate) fn init(cx: CX![], parts: NodeParts) -> Option<Self> {
        call!([cx], idle_tick());
        call!([cx], report_gauges());
        Some(NodeActor {
            parts,
            is_tick_scheduled: false,
            callers: FastMap::default(),
            operators: FastMap::default(),
        })
    }

    pub(crate) fn handle_input(&mut self, cx: CX![], input: Input) {
        let event = match input {
            Input::Call {
                call_ref,
                request,
                frames,
            } => {
                self.callers.insert(call_ref, frames);
                self.parts.metrics.count("calls", 1);
                Event::Call { call_ref, request }
            }
            Input::EndProgram {
                call_ref,
                api_key,
                program,
                frames,
            } => {
                self.callers.insert(call_ref, frames);
                Event::EndProgram {
                    call_ref,
                    api_key: api_key.into(),
                    program: program.into(),
                }
            }
            Input::Operator {
                operator_ref,
                request,
                reply,
            } => {
                self.operators.insert(operator_ref, reply);
                Event::Operator {
                    operator_ref,
                    request,
                }
            }
            Input::InvalidResponse(target) => {
                let metrics = &self.parts.metrics;
                metrics.count_tagged("invalid_responses", 1, "target", target.as_str());
                return;
            }
            Input::Event(event) => event,
        };
        if let Event::CallerDisconnected { call_ref } = &event {
            self.callers.remove(call_ref);
        }
        self.handle_event(cx, event);
    }

    fn busy_tick(&mut self, cx: CX![]) {
        self.is_tick_scheduled = false;
        self.handle_event(cx, Event::Tick);
    }

    fn idle_tick(&mut self, cx: CX![]) {
        self.handle_event(cx, Event::Tick);
        after!(IDLE_TICK_INTERVAL, [cx], idle_tick());
    }

    /// Schedules a tick at the busy interval if the node has work in flight.
    fn schedule_busy_tick(&mut self, cx: CX![]) {
        if !self.is_tick_scheduled && self.parts.node.is_busy() {
            self.is_tick_scheduled = true;
            after!(BUSY_TICK_INTERVAL, [cx], busy_tick());
        }
    }

    fn report_gauges(&mut self, cx: CX![]) {
        let status = self.parts.node.status();
        let metrics = &self.parts.metrics;
        metrics.gauge("programs", status.programs as u64);
        metrics.gauge("calls_under_way", status.calls as u64);
        metrics.gauge("queued", status.queued as u64);
        metrics.gauge("forwarded", status.forwarded as u64);
        metrics.gauge("carried_by_others", status.carried_by_others as u64);
        metrics.gauge("carried_for_others", status.carried_for_others as u64);
        metrics.gauge("lost_paths", status.lost_paths as u64);
        metrics.gauge("journal_backlog", status.journal_backlog as u64);
        metrics.gauge("connections", self.parts.bound_counts.connections());
        metrics.gauge("held_bytes", self.parts.client_memory.held_bytes());
        for (bound, count) in self.parts.bound_counts.take() {
            metrics.count_tagged("bounds_met", count as i64, "bound", bound);
        }
        metrics.flush();
        after!(GAUGE_INTERVAL, [cx], report_gauges());
    }

    fn handle_event(&mut self, cx: CX![], event: Event) {
        let now_us = self.parts.clock.now_us();
        for effect in self.parts.node.handle(event, now_us) {
            self.execute(cx, effect);
        }
        self.schedule_busy_tick(cx);
    }

    fn execute(&mut self, _cx: CX![], effect: Effect) {
        let parts = &self.parts;
        match effect {
            Effect::Reply { call_ref, frame } => self.reply(call_ref, frame),
            Effect::Send { to, message } => call!([parts.peers], send(to, message)),
            Effect::Dispatch(dispatch) => call!([parts.targets], dispatch(dispatch)),
            Effect::Resume(resume) => call!([parts.targets], resume(resume)),
            Effect::Cancel {
                address, resume_id, ..
            } => call!([parts.targets], cancel(address, resume_id)),
            Effect::Store {
                request_id,
                request,
            } => call!([parts.store], submit(request_id, request)),
            Effect::Operator {
                operator_ref,
                reply,
            } => {
                if let Some(sender) = self.operators.remove(&operator_ref) {
                    // Fails if the operator's request has timed out.
                    let _ = sender.send(reply);
                }
            }
            Effect::ProbePath(probe) => call!([parts.targets], probe(probe)),
            Effect::PollLoads(polls) => call!([parts.targets], poll(polls)),
            Effect::Span(span) => parts.tracer.record(finished_span(span)),
            Effect::Ready(ready) => {
                log::info!(ready; "readiness changed");
                parts.ready.store(ready, Ordering::SeqCst);
            }
            Effect::Exit { fenced } => {
                let exit = if fenced {
                    ExitReason::Fenced
                } else {
                    ExitReason::Stopped
                };
                parts.exit.set(Some(exit));
            }
        }
    }

    fn reply(&mut self, call_ref: CallRef, frame: ResponseFrame) {
        let is_last = match &frame {
            ResponseFrame::Head { .. } | ResponseFrame::Data { .. } => false,
            ResponseFrame::End { .. } => {
                self.parts.metrics.count("answers", 1);
                true
            }
            ResponseFrame::Failed { error, .. } => {
                let kind = error.kind.to_string();
                self.parts
                    .metrics
                    .count_tagged("refusals", 1, "kind", &kind);
                true
            }
            ResponseFrame::ProgramEnded { .. } => true,
        };
        if let Some(sender) = self.callers.get(&call_ref) {
            // Fails if the caller has disconnected, which its HTTP server reports.
            let _ = sender.send(frame);
        }
        if is_last {
            self.callers.remove(&call_ref);
        }
    }
}

fn finished_span(span: StageSpan) -> FinishedSpan {
    let kind = match span.name {
        "target" | "store" | "forward" => SpanKind::Client,
        _ => SpanKind::Internal,
    };
    FinishedSpan {
        name: span.name,
        kind,
        context: span.context,
        parent: span.parent,
        start_us: span.start_us,
        end_us: span.end_us,
        attributes: span.attributes,
    }
}
