//! Actor for targets: one thread for each try, one for load reports.

mod attempt;
mod loads;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use compact_str::CompactString;
use lagoon_node::{
    AttemptFailure, AttemptId, Dispatch, Event, LoadPoll, StreamResume, TargetEvent,
};
use stakker::CX;
use ureq::Agent;

use crate::constants::{
    CONNECT_TIMEOUT, CONTROL_REQUEST_TIMEOUT, TARGET_BUFFER_BYTES, WORKER_STACK_BYTES,
};
use crate::input::InputSender;

/// Settings of the actor.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetIoSettings {
    /// Silence after which a stream counts as broken.
    pub(crate) stream_idle_timeout: Duration,
    /// Longest wait for an answer that comes as a whole.
    pub(crate) response_timeout: Duration,
    /// Time between load reports of one target.
    pub(crate) load_poll_interval: Duration,
}

/// Actor for targets.
pub(crate) struct TargetsActor {
    streams: Agent,
    answers: Agent,
    short: Agent,
    polls: Arc<Mutex<Vec<LoadPoll>>>,
    input_sender: InputSender,
}

impl TargetsActor {
    pub(crate) fn init(
        _: CX![],
        settings: TargetIoSettings,
        input_sender: InputSender,
    ) -> Option<Self> {
        let polls = Arc::new(Mutex::new(Vec::new()));
        let short = agent(CONTROL_REQUEST_TIMEOUT);
        let poller = loads::Poller {
            agent: short.clone(),
            period: settings.load_poll_interval,
            polls: Arc::clone(&polls),
            input_sender: input_sender.clone(),
        };
        thread::Builder::new()
            .name("loads".to_owned())
            .stack_size(WORKER_STACK_BYTES)
            .spawn(move || poller.run())
            .ok()?;
        Some(TargetsActor {
            streams: agent(settings.stream_idle_timeout),
            answers: agent(settings.response_timeout),
            short,
            polls,
            input_sender,
        })
    }

    pub(crate) fn dispatch(&mut self, _: CX![], dispatch: Box<Dispatch>) {
        let agent = if dispatch.stream {
            self.streams.clone()
        } else {
            self.answers.clone()
        };
        let id = dispatch.attempt;
        self.spawn(id, move |input_sender| {
            attempt::dispatch(&agent, &dispatch, input_sender)
        });
    }

    pub(crate) fn resume(&mut self, _: CX![], resume: Box<StreamResume>) {
        let agent = self.streams.clone();
        let id = resume.attempt;
        self.spawn(id, move |input_sender| {
            attempt::resume(&agent, &resume, input_sender)
        });
    }

    pub(crate) fn cancel(
        &mut self,
        _: CX![],
        address: SocketAddr,
        resume_id: Option<CompactString>,
    ) {
        let Some(resume_id) = resume_id else {
            return;
        };
        let agent = self.short.clone();
        let spawned = thread::Builder::new()
            .stack_size(WORKER_STACK_BYTES)
            .spawn(move || attempt::cancel(&agent, address, &resume_id));
        if let Err(error) = spawned {
            log::error!(error = error.to_string(); "no thread for a cancellation");
        }
    }

    pub(crate) fn poll(&mut self, _: CX![], polls: Vec<LoadPoll>) {
        *self.polls.lock().unwrap_or_else(PoisonError::into_inner) = polls;
    }

    /// Runs a try in a thread of its own.
    fn spawn<F>(&self, attempt: AttemptId, f: F)
    where
        F: FnOnce(&InputSender) + Send + 'static,
    {
        let input_sender = self.input_sender.clone();
        let spawned = thread::Builder::new()
            .stack_size(WORKER_STACK_BYTES)
            .spawn(move || f(&input_sender));
        if let Err(error) = spawned {
            let event = TargetEvent::Failed {
                failure: AttemptFailure::NotConnected,
                detail: format!("no thread: {error}"),
            };
            // The receiver outlives this actor.
            let _ = self
                .input_sender
                .send(Event::Target { attempt, event }.into());
        }
    }
}

/// Agent that opens a connection for each request.
///
/// A request on a kept connection that the target closes meanwhile could not
/// be told from one that ran.
fn agent(silence: Duration) -> Agent {
    Agent::config_builder()
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_per_read(Some(silence))
        .timeout_per_write(Some(silence))
        .max_idle_connections(0)
        .input_buffer_size(TARGET_BUFFER_BYTES)
        .output_buffer_size(TARGET_BUFFER_BYTES)
        .max_redirects(0)
        .http_status_as_error(false)
        .build()
        .into()
}
