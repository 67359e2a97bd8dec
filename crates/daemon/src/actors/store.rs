//! Actor that passes platform requests to a pool of worker threads.

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

/// Actor that owns the queue of platform requests.
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
                .spawn(move || run_worker(&queue, &client, &input_sender))
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
            log::error!("platform request dropped: no worker thread is left");
        }
    }
}

fn run_worker(queue: &Mutex<Receiver<Job>>, client: &Client, input_sender: &InputSender) {
    loop {
        let job = queue.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(job) = job else {
            return;
        };
        let reply = client.execute(&job.request);
        if let Err(error) = &reply {
            log::warn!(error = error.to_string(); "platform request failed");
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
