//! Targets that answer with what they were asked.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use lagoon_ids::{CallKey, TargetName};
use lagoon_node::{AttemptFailure, Dispatch, TargetEvent};

/// Time between two tokens.
const TOKEN_US: u64 = 5_000;
/// Time until the first token, and of a plain service's call.
const FIRST_US: u64 = 20_000;
/// Time after which a silent answer counts as broken.
const SILENCE_US: u64 = 10_000_000;

/// How a target behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TargetMode {
    /// Answers.
    #[default]
    Ok,
    /// Takes no connection.
    Refuse,
    /// Says that it did not run the call.
    NotRun,
    /// Runs, then the connection breaks; streams after three tokens.
    Break,
    /// Runs and never answers.
    Hang,
    /// Sends each event twice.
    Double,
}

/// One run of a call at a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Call.
    pub call: CallKey,
    /// Target.
    pub target: TargetName,
    /// Time it began.
    pub started_us: u64,
    /// Tokens it used.
    pub tokens: u64,
    /// Whether it is a plain service's.
    pub service: bool,
}

/// Event of a try with its delay.
pub(crate) type Planned = (u64, TargetEvent);

/// All targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Targets {
    by_address: BTreeMap<SocketAddr, TargetName>,
    modes: BTreeMap<TargetName, TargetMode>,
    pub(crate) runs: Vec<Run>,
    /// Streams that can be taken up again, with the events still due.
    streams: BTreeMap<String, Vec<Planned>>,
    /// Streams begun; their numbers are the names they are resumed by.
    begun: u64,
}

/// Number of tokens that a body asks for, `... tokens=N`.
fn tokens_of(body: &str) -> u64 {
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

fn broken() -> TargetEvent {
    TargetEvent::Failed {
        failure: AttemptFailure::Interrupted,
        detail: "connection broke".to_owned(),
    }
}

impl Targets {
    pub(crate) fn add(&mut self, name: TargetName, address: SocketAddr) {
        self.by_address.insert(address, name);
    }

    pub(crate) fn set_mode(&mut self, name: &TargetName, mode: TargetMode) {
        self.modes.insert(name.clone(), mode);
    }

    fn mode(&self, name: &TargetName) -> TargetMode {
        self.modes.get(name).copied().unwrap_or_default()
    }

    /// Events that a request leads to.
    pub(crate) fn dispatch(&mut self, dispatch: &Dispatch, now_us: u64) -> Vec<Planned> {
        let Some(target) = self.by_address.get(&dispatch.address).cloned() else {
            return vec![(1_000, failed(AttemptFailure::NotConnected))];
        };
        let mode = self.mode(&target);
        match mode {
            TargetMode::Refuse => return vec![(1_000, failed(AttemptFailure::NotConnected))],
            TargetMode::NotRun => return vec![(1_000, failed(AttemptFailure::NotRun))],
            _ => {}
        }
        let body = String::from_utf8_lossy(&dispatch.body).into_owned();
        let service = dispatch.path.starts_with("/v1/call/");
        let tokens = if service { 0 } else { tokens_of(&body) };
        let prompt_tokens = dispatch.body.len() as u64 / 4;
        self.runs.push(Run {
            call: dispatch.call.clone(),
            target,
            started_us: now_us,
            tokens: if service { 0 } else { prompt_tokens + tokens },
            service,
        });
        let events = if service {
            answer_events(&body)
        } else {
            self.begun += 1;
            stream_events(&body, tokens, prompt_tokens, self.begun)
        };
        self.apply_mode(mode, events, dispatch)
    }

    fn apply_mode(
        &mut self,
        mode: TargetMode,
        events: Vec<Planned>,
        dispatch: &Dispatch,
    ) -> Vec<Planned> {
        match mode {
            TargetMode::Hang => vec![(SILENCE_US, broken())],
            TargetMode::Break if dispatch.stream => {
                let sent = events.len().min(4);
                let (sent, due) = events.split_at(sent);
                let at_us = sent.last().map_or(0, |(at_us, _)| at_us + 1_000);
                self.streams.insert(self.begun.to_string(), due.to_vec());
                let mut events = sent.to_vec();
                events.push((at_us, broken()));
                events
            }
            TargetMode::Break => vec![(FIRST_US, broken())],
            TargetMode::Double => events
                .into_iter()
                .flat_map(|event| [event.clone(), event])
                .collect(),
            _ => events,
        }
    }

    /// Events of a stream that is taken up again.
    pub(crate) fn resume(&mut self, resume_id: &str) -> Vec<Planned> {
        match self.streams.remove(resume_id) {
            Some(due) => {
                let start_us = due.first().map_or(0, |(at_us, _)| *at_us);
                let later = due.into_iter();
                later
                    .map(|(at_us, event)| (at_us - start_us + TOKEN_US, event))
                    .collect()
            }
            None => vec![(1_000, broken())],
        }
    }
}

fn failed(failure: AttemptFailure) -> TargetEvent {
    TargetEvent::Failed {
        failure,
        detail: "as told".to_owned(),
    }
}

fn answer_events(body: &str) -> Vec<Planned> {
    let head = TargetEvent::Head {
        status: 200,
        content_type: "text/plain".into(),
        resume_id: None,
    };
    let bytes = format!("done {body}").into_bytes().into();
    vec![(FIRST_US, head), (FIRST_US, TargetEvent::Body { bytes })]
}

fn stream_events(body: &str, tokens: u64, prompt_tokens: u64, name: u64) -> Vec<Planned> {
    let head = TargetEvent::Head {
        status: 200,
        content_type: "text/event-stream".into(),
        resume_id: Some(name.to_string().into()),
    };
    let mut events = vec![(FIRST_US, head)];
    for sequence in 1..=tokens {
        let at_us = FIRST_US + sequence * TOKEN_US;
        events.push((at_us, token_event(sequence, body)));
    }
    let at_us = FIRST_US + (tokens + 1) * TOKEN_US;
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
