//! Actor for targets, with a thread for each attempt and one that polls loads.

mod attempt;
mod loads;

use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use compact_str::CompactString;
use lagoon_node::{
    AttemptFailure, AttemptId, Dispatch, Event, LoadPoll, PathProbe, StreamResume, TargetEvent,
};
use stakker::CX;
use ureq::Agent;

use crate::constants::{
    CONNECT_TIMEOUT, CONTROL_REQUEST_TIMEOUT, TARGET_BUFFER_BYTES, WORKER_STACK_BYTES,
};
use crate::input::InputSender;

/// Timeouts and polling interval of the actor.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetIoSettings {
    /// Read timeout of a stream, after which it counts as interrupted.
    pub(crate) stream_idle_timeout: Duration,
    /// Read timeout of a response that is not streamed.
    pub(crate) response_timeout: Duration,
    /// Time between two rounds of load polls.
    pub(crate) load_poll_interval: Duration,
}

/// Actor that sends requests to targets.
pub(crate) struct TargetsActor {
    stream_agent: Agent,
    response_agent: Agent,
    control_agent: Agent,
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
        let control_agent = agent(CONTROL_REQUEST_TIMEOUT);
        let poller = loads::LoadPoller {
            agent: control_agent.clone(),
            interval: settings.load_poll_interval,
            polls: Arc::clone(&polls),
            input_sender: input_sender.clone(),
        };
        thread::Builder::new()
            .name("loads".to_owned())
            .stack_size(WORKER_STACK_BYTES)
            .spawn(move || poller.run())
            .ok()?;
        Some(TargetsActor {
            stream_agent: agent(settings.stream_idle_timeout),
            response_agent: agent(settings.response_timeout),
            control_agent,
            polls,
            input_sender,
        })
    }

    pub(crate) fn dispatch(&mut self, _: CX![], dispatch: Box<Dispatch>) {
        let agent = if dispatch.stream {
            self.stream_agent.clone()
        } else {
            self.response_agent.clone()
        };
        let id = dispatch.attempt;
        self.spawn(id, move |tx| attempt::dispatch(&agent, &dispatch, tx));
    }

    pub(crate) fn resume(&mut self, _: CX![], resume: Box<StreamResume>) {
        let agent = self.stream_agent.clone();
        let id = resume.attempt;
        self.spawn(id, move |tx| attempt::resume(&agent, &resume, tx));
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
        let agent = self.control_agent.clone();
        let spawned = thread::Builder::new()
            .stack_size(WORKER_STACK_BYTES)
            .spawn(move || attempt::cancel(&agent, address, &resume_id));
        if let Err(error) = spawned {
            log::error!(error = error.to_string(); "failed to start a thread to cancel a stream");
        }
    }

    /// Opens a connection to a target and closes it again.
    pub(crate) fn probe(&mut self, _: CX![], probe: PathProbe) {
        let input_sender = self.input_sender.clone();
        let spawned = thread::Builder::new()
            .stack_size(WORKER_STACK_BYTES)
            .spawn(move || {
                let connected = TcpStream::connect_timeout(&probe.address, CONNECT_TIMEOUT);
                let event = Event::PathProbed {
                    target: probe.target,
                    is_connected: connected.is_ok(),
                };
                // Fails only if the process is about to exit.
                let _ = input_sender.send(event.into());
            });
        if let Err(error) = spawned {
            log::error!(error = error.to_string(); "failed to start a thread to probe a target");
        }
    }

    pub(crate) fn poll(&mut self, _: CX![], polls: Vec<LoadPoll>) {
        *self.polls.lock().unwrap_or_else(PoisonError::into_inner) = polls;
    }

    /// Runs an attempt in a thread of its own.
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
            // Can't fail, as the receiver outlives this actor.
            let _ = self
                .input_sender
                .send(Event::Target { attempt, event }.into());
        }
    }
}

/// Creates an agent that opens a new connection for each request.
///
/// If a target closes a reused connection while a request is being sent, there
/// is no way to tell whether the request ran.
fn agent(io_timeout: Duration) -> Agent {
    Agent::config_builder()
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_per_read(Some(io_timeout))
        .timeout_per_write(Some(io_timeout))
        .max_idle_connections(0)
        .input_buffer_size(TARGET_BUFFER_BYTES)
        .output_buffer_size(TARGET_BUFFER_BYTES)
        .max_redirects(0)
        .http_status_as_error(false)
        .build()
        .into()
}
