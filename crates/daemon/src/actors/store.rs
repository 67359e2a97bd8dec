//! Actor that hands requests to the threads that talk to the platform.

use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use lagoon_node::{Event, StoreRequestId};
use lagoon_platform::{Client, PlatformRequest};
use stakker::CX;

use crate::constants::WORKER_STACK_BYTES;
use crate::input::InputSender;

struct Job {
    request_id: StoreRequestId,
    request: PlatformRequest,
}

/// Actor for the platform.
pub(crate) struct StoreActor {
    jobs: Sender<Job>,
}

impl StoreActor {
    pub(crate) fn init(
        _: CX![],
        client: Client,
        workers: u64,
        input_sender: InputSender,
    ) -> Option<Self> {
        let (jobs, queue) = channel();
        let queue = Arc::new(Mutex::new(queue));
        let client = Arc::new(client);
        for _ in 0..workers {
            let queue = Arc::clone(&queue);
            let client = Arc::clone(&client);
            let input_sender = input_sender.clone();
            thread::Builder::new()
                .name("store".to_owned())
                .stack_size(WORKER_STACK_BYTES)
                .spawn(move || work(&queue, &client, &input_sender))
                .ok()?;
        }
        Some(StoreActor { jobs })
    }

    pub(crate) fn submit(
        &mut self,
        _: CX![],
        request_id: StoreRequestId,
        request: PlatformRequest,
    ) {
        if self
            .jobs
            .send(Job {
                request_id,
                request,
            })
            .is_err()
        {
            log::error!("no thread talks to the platform");
        }
    }
}

fn work(queue: &Mutex<Receiver<Job>>, client: &Client, input_sender: &InputSender) {
    loop {
        let job = queue.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(job) = job else {
            return;
        };
        let reply = client.execute(&job.request);
        if let Err(error) = &reply {
            log::warn!(error = error.to_string(); "store gave no reply");
        }
        let event = Event::Store {
            request_id: job.request_id,
            reply,
        };
        if input_sender.send(event.into()).is_err() {
            return;
        }
    }
}
