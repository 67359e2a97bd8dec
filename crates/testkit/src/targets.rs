//! Simulated targets, which repeat the request body in their responses.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use lagoon_ids::{CallKey, TargetName};
use lagoon_node::{AttemptFailure, Dispatch, TargetEvent};

/// Interval between two tokens of a stream.
const TOKEN_INTERVAL_US: u64 = 5_000;
/// Time to the response head of a stream, and service time of a plain call.
const FIRST_EVENT_US: u64 = 20_000;
/// Time after which a hanging attempt is reported as interrupted.
const HANG_TIMEOUT_US: u64 = 10_000_000;

/// Behaviour of a target: regular, or with an injected fault.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TargetMode {
    /// No fault.
    #[default]
    Ok,
    /// Refuses connections, so that no call is received.
    RefuseConnection,
    /// Reports that it did not run the call.
    NotRun,
    /// Runs the call, then the connection breaks: in a stream after three tokens,
    /// otherwise without a response.
    Disconnect,
    /// Runs the call and never responds.
    Hang,
    /// Sends each event twice.
    DuplicateEvents,
}

/// One execution of a call at a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Execution {
    /// Call that was executed.
    pub call: CallKey,
    /// Target that executed the call.
    pub target: TargetName,
    /// Virtual time at which the execution started.
    pub started_us: u64,
    /// Prompt and output tokens; 0 for a plain service.
    pub tokens: u64,
    /// Whether it is a call of a plain service.
    pub is_service: bool,
}

/// Event of an attempt, with its delay in microseconds.
pub(crate) type TimedEvent = (u64, TargetEvent);

#[derive(Clone, Debug, Default)]
pub(crate) struct Targets {
    by_address: BTreeMap<SocketAddr, TargetName>,
    modes: BTreeMap<TargetName, TargetMode>,
    pub(crate) executions: Vec<Execution>,
    /// Interrupted streams by resume id, with the events not sent yet.
    streams: BTreeMap<String, Vec<TimedEvent>>,
    /// All events of the streams that were started, by resume id.
    started: BTreeMap<String, Vec<TimedEvent>>,
    /// Requests per second that targets state to take.
    limits: BTreeMap<TargetName, f64>,
    /// Targets of resumable streams by resume id.
    stream_targets: BTreeMap<String, TargetName>,
    /// Virtual times of all requests that reached a target, executed or not.
    pub(crate) arrivals: Vec<(TargetName, u64)>,
    /// Number of streams started; a stream's number is its resume id.
    started_streams: u64,
}

/// Output tokens that a body of the form `... tokens=N` requests.
fn requested_tokens(body: &str) -> u64 {
    let text = body.rsplit("tokens=").next().unwrap_or_default();
    text.parse().unwrap_or(0)
}

fn token_event(sequence: u64, body: &str) -> TargetEvent {
    let content = format!("{body}#{sequence} ");
    let data = serde_json::json!({"choices": [{"delta": {"content": content}}]});
    TargetEvent::Chunk {
        sequence: Some(sequence),
        data: data.to_string(),
    }
}

fn interrupted() -> TargetEvent {
    TargetEvent::Failed {
        failure: AttemptFailure::Interrupted,
        detail: "connection broke".to_owned(),
    }
}

impl Targets {
    pub(crate) fn add(&mut self, name: TargetName, address: SocketAddr) {
        self.by_address.insert(address, name);
    }

    /// Address of a target; panics on an unknown name.
    pub(crate) fn address(&self, name: &str) -> SocketAddr {
        let mut targets = self.by_address.iter();
        let found = targets.find(|(_, target)| target.as_str() == name);
        *found.unwrap_or_else(|| panic!("no target {name}")).0
    }

    /// Whether the target at this address accepts connections.
    pub(crate) fn accepts(&self, address: SocketAddr) -> bool {
        let target = self.by_address.get(&address);
        target.is_some_and(|target| self.mode(target) != TargetMode::RefuseConnection)
    }

    /// Resume id of the stream that was started last.
    pub(crate) fn last_resume_id(&self) -> String {
        self.started_streams.to_string()
    }

    /// Lets a stream whose connection was cut be resumed.
    pub(crate) fn break_stream(&mut self, resume_id: &str) {
        if let Some(events) = self.started.get(resume_id) {
            let events = events.clone();
            self.streams.insert(resume_id.to_owned(), events);
        }
    }

    pub(crate) fn set_mode(&mut self, name: &TargetName, mode: TargetMode) {
        self.modes.insert(name.clone(), mode);
    }

    pub(crate) fn set_limit(&mut self, name: &TargetName, per_s: Option<f64>) {
        match per_s {
            Some(per_s) => self.limits.insert(name.clone(), per_s),
            None => self.limits.remove(name),
        };
    }

    /// Counts a request, and puts what its response states of the limit before the
    /// first event.
    fn answer(
        &mut self,
        target: &TargetName,
        mut events: Vec<TimedEvent>,
        now_us: u64,
    ) -> Vec<TimedEvent> {
        self.arrivals.push((target.clone(), now_us));
        let per_s = self.limits.get(target).copied();
        let has_response = |event: &TargetEvent| {
            let failure = match event {
                TargetEvent::Failed { failure, .. } => failure,
                _ => return true,
            };
            *failure == AttemptFailure::NotRun
        };
        if let Some((at_us, event)) = events.first() {
            if has_response(event) {
                events.insert(0, (*at_us, TargetEvent::Limit { per_s }));
            }
        }
        events
    }

    fn mode(&self, name: &TargetName) -> TargetMode {
        self.modes.get(name).copied().unwrap_or_default()
    }

    /// Events that a dispatched request causes.
    pub(crate) fn dispatch(&mut self, dispatch: &Dispatch, now_us: u64) -> Vec<TimedEvent> {
        let Some(target) = self.by_address.get(&dispatch.address).cloned() else {
            return vec![(1_000, failed(AttemptFailure::NotConnected))];
        };
        let mode = self.mode(&target);
        match mode {
            TargetMode::RefuseConnection => {
                return vec![(1_000, failed(AttemptFailure::NotConnected))]
            }
            TargetMode::NotRun => {
                let events = vec![(1_000, failed(AttemptFailure::NotRun))];
                return self.answer(&target, events, now_us);
            }
            _ => {}
        }
        let body = String::from_utf8_lossy(&dispatch.body).into_owned();
        let is_service = dispatch.path.starts_with("/v1/call/");
        let tokens = if is_service {
            0
        } else {
            requested_tokens(&body)
        };
        let prompt_tokens = dispatch.body.len() as u64 / 4;
        self.executions.push(Execution {
            call: dispatch.call.clone(),
            target: target.clone(),
            started_us: now_us,
            tokens: if is_service {
                0
            } else {
                prompt_tokens + tokens
            },
            is_service,
        });
        let events = if is_service {
            service_events(&body)
        } else {
            self.started_streams += 1;
            stream_events(&body, tokens, prompt_tokens, self.started_streams)
        };
        let resume_id = self.started_streams.to_string();
        if !is_service {
            self.started.insert(resume_id.clone(), events.clone());
        }
        self.stream_targets.insert(resume_id, target.clone());
        let events = self.apply_mode(mode, events, dispatch);
        self.answer(&target, events, now_us)
    }

    fn apply_mode(
        &mut self,
        mode: TargetMode,
        events: Vec<TimedEvent>,
        dispatch: &Dispatch,
    ) -> Vec<TimedEvent> {
        match mode {
            TargetMode::Hang => vec![(HANG_TIMEOUT_US, interrupted())],
            TargetMode::Disconnect if dispatch.stream => {
                let sent = events.len().min(4);
                let (sent, remaining) = events.split_at(sent);
                let at_us = sent.last().map_or(0, |(at_us, _)| at_us + 1_000);
                self.streams
                    .insert(self.started_streams.to_string(), remaining.to_vec());
                let mut events = sent.to_vec();
                events.push((at_us, interrupted()));
                events
            }
            TargetMode::Disconnect => vec![(FIRST_EVENT_US, interrupted())],
            TargetMode::DuplicateEvents => events
                .into_iter()
                .flat_map(|event| [event.clone(), event])
                .collect(),
            _ => events,
        }
    }

    /// Remaining events of a resumed stream.
    pub(crate) fn resume(
        &mut self,
        resume_id: &str,
        last_event_id: u64,
        now_us: u64,
    ) -> Vec<TimedEvent> {
        let mut events = self.remaining_events(resume_id);
        events.retain(|(_, event)| match event {
            TargetEvent::Chunk { sequence, .. } => {
                sequence.is_none_or(|sequence| sequence > last_event_id)
            }
            TargetEvent::Head { .. } => false,
            _ => true,
        });
        match self.stream_targets.get(resume_id).cloned() {
            Some(target) => self.answer(&target, events, now_us),
            None => events,
        }
    }

    fn remaining_events(&mut self, resume_id: &str) -> Vec<TimedEvent> {
        match self.streams.remove(resume_id) {
            Some(remaining) => {
                let start_us = remaining.first().map_or(0, |(at_us, _)| *at_us);
                let remaining = remaining.into_iter();
                remaining
                    .map(|(at_us, event)| (at_us - start_us + TOKEN_INTERVAL_US, event))
                    .collect()
            }
            None => vec![(1_000, interrupted())],
        }
    }
}

fn failed(failure: AttemptFailure) -> TargetEvent {
    TargetEvent::Failed {
        failure,
        detail: "injected failure".to_owned(),
    }
}

fn service_events(body: &str) -> Vec<TimedEvent> {
    let head = TargetEvent::Head {
        status: 200,
        content_type: "text/plain".into(),
        resume_id: None,
    };
    let bytes = format!("done {body}").into_bytes().into();
    vec![
        (FIRST_EVENT_US, head),
        (FIRST_EVENT_US, TargetEvent::Body { bytes }),
    ]
}

fn stream_events(body: &str, tokens: u64, prompt_tokens: u64, resume_id: u64) -> Vec<TimedEvent> {
    let head = TargetEvent::Head {
        status: 200,
        content_type: "text/event-stream".into(),
        resume_id: Some(resume_id.to_string().into()),
    };
    let mut events = vec![(FIRST_EVENT_US, head)];
    for sequence in 1..=tokens {
        let at_us = FIRST_EVENT_US + sequence * TOKEN_INTERVAL_US;
        events.push((at_us, token_event(sequence, body)));
    }
    let at_us = FIRST_EVENT_US + (tokens + 1) * TOKEN_INTERVAL_US;
    let usage = serde_json::json!({
        "choices": [], "usage": {"total_tokens": prompt_tokens + tokens},
    });
    events.push((
        at_us,
        TargetEvent::Chunk {
            sequence: Some(tokens + 1),
            data: usage.to_string(),
        },
    ));
    events.push((at_us, TargetEvent::Done));
    events
}
