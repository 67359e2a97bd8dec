//! Polling of the load of targets.

use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use lagoon_membership::LoadReport;
use lagoon_node::{Event, LoadPoll};
use serde::Deserialize;
use ureq::Agent;

use crate::input::InputSender;

#[derive(Deserialize)]
struct LoadResponse {
    running: u32,
    waiting: u32,
    #[serde(default)]
    leaving: bool,
}

/// Thread that polls the load of each target in `polls`, one after another, and
/// sleeps for `interval` after each round.
pub(super) struct LoadPoller {
    pub(super) agent: Agent,
    pub(super) interval: Duration,
    /// Targets to poll; replaced whenever the node sends a new list.
    pub(super) polls: Arc<Mutex<Vec<LoadPoll>>>,
    pub(super) input_sender: InputSender,
}

impl LoadPoller {
    pub(super) fn run(&self) {
        loop {
            let polls = self
                .polls
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            for poll in &polls {
                let Some(report) = self.read_load(poll) else {
                    continue;
                };
                if self.input_sender.send(Event::Load(report).into()).is_err() {
                    return;
                }
            }
            thread::sleep(self.interval);
        }
    }

    fn read_load(&self, poll: &LoadPoll) -> Option<LoadReport> {
        let url = format!("http://{}/load", poll.address);
        let mut response = self.agent.get(url).call().ok()?;
        let load: LoadResponse = response.body_mut().read_json().ok()?;
        Some(LoadReport {
            target: poll.target.clone(),
            running: load.running,
            waiting: load.waiting,
            leaving: load.leaving,
        })
    }
}
