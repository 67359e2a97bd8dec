//! Target that runs requests: streams of events, or whole answers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{Request, Response, StatusCode};
use lagoon_adapter::standin::{
    decode_received_request, not_executed_headers, response_headers, ReceivedRequest,
};
use lagoon_gateway::{TargetEntry, TargetStatus as TargetState};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::{serve, whole, Answer, Cut};

/// What is wrong with a target; most faults hit one request and are over.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TargetFault {
    /// Nothing.
    #[default]
    None,
    /// It says that it is full, until that is over.
    Full,
    /// The next request runs and its answer is lost.
    LosesAnswer,
    /// The next stream ends in the middle of the event after this one.
    BreaksAfter(u64),
    /// Whatever it begins to run crashes it, until that is over.
    Crashes,
    /// The next answer bears another request's identity.
    AnswersAnother,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// It goes on.
    UnderWay,
    /// All of the answer was sent.
    Complete,
    /// The connection closed before.
    Dropped,
}

/// Request that a target ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// What the target saw of it.
    pub received: ReceivedRequest,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// How it ended.
    pub end: RunEnd,
}

#[derive(Default)]
struct State {
    fault: TargetFault,
    runs: Vec<Run>,
    events: u64,
    event_period: Duration,
}

/// Target on loopback.
#[derive(Clone)]
pub struct Target {
    /// Identity.
    pub id: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Target {
    /// Starts a target whose streams have `events` events, one each period.
    pub fn start(id: &str, events: u64, event_period: Duration) -> Target {
        let state = Arc::new(Mutex::new(State {
            events,
            event_period,
            ..State::default()
        }));
        let id = CompactString::new(id);
        let (shared, own) = (Arc::clone(&state), id.clone());
        let crash = Arc::new(Notify::new());
        let address = serve(Arc::clone(&crash), move |request| {
            handle(
                own.clone(),
                Arc::clone(&shared),
                Arc::clone(&crash),
                request,
            )
        });
        Target { id, address, state }
    }

    /// Entry for the store's list.
    pub fn entry(&self, service: &str, state: TargetState) -> TargetEntry {
        TargetEntry {
            id: self.id.clone(),
            service: service.into(),
            address: self.address,
            domain: "d1".into(),
            slots: 12,
            status: state,
        }
    }

    /// Sets what is wrong.
    pub fn set_fault(&self, fault: TargetFault) {
        lock(&self.state).fault = fault;
    }

    /// Requests that it ran so far.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state).runs.clone()
    }
}

/// Notes the end of a run that nobody waits for any more.
struct Running {
    state: Arc<Mutex<State>>,
    index: usize,
}

impl Running {
    fn end(&self, end: RunEnd) {
        let mut state = lock(&self.state);
        let run = &mut state.runs[self.index];
        if run.end == RunEnd::UnderWay {
            run.end = end;
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.end(RunEnd::Dropped);
    }
}

async fn handle(
    id: CompactString,
    state: Arc<Mutex<State>>,
    crash: Arc<Notify>,
    request: Request<Incoming>,
) -> Result<Answer, Cut> {
    let received = decode_received_request(request.headers());
    let path = request.uri().to_string();
    let body = request.into_body().collect().await.map_err(|_| Cut)?;
    if received.target_id != id {
        return Ok(whole(StatusCode::MISDIRECTED_REQUEST, Vec::new()));
    }
    let fault = lock(&state).fault;
    if fault == TargetFault::Full {
        let mut answer = whole(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
        *answer.headers_mut() = not_executed_headers();
        return Ok(answer);
    }
    let running = {
        let mut locked = lock(&state);
        if fault != TargetFault::Crashes {
            locked.fault = TargetFault::None;
        }
        locked.runs.push(Run {
            received: received.clone(),
            path: path.clone(),
            body: body.to_bytes().to_vec(),
            end: RunEnd::UnderWay,
        });
        Running {
            index: locked.runs.len() - 1,
            state: Arc::clone(&state),
        }
    };
    if fault == TargetFault::Crashes {
        crash.notify_one();
        return Err(Cut);
    }
    let request_id = match fault {
        TargetFault::AnswersAnother => "another".into(),
        _ => received.request_id.clone(),
    };
    let is_stream = path.starts_with("/stream/");
    let mut answer = if is_stream {
        events(running, &received, fault)
    } else {
        let period = lock(&state).event_period;
        sleep(period).await;
        if fault == TargetFault::LosesAnswer {
            return Err(Cut);
        }
        running.end(RunEnd::Complete);
        whole(StatusCode::OK, b"done".to_vec())
    };
    answer
        .headers_mut()
        .extend(response_headers(&request_id, &id));
    Ok(answer)
}

fn events(running: Running, received: &ReceivedRequest, fault: TargetFault) -> Answer {
    let first = received.last_event_id.unwrap_or(0) + 1;
    let pieces = stream::unfold((running, first), move |(running, number)| async move {
        let (events, period) = {
            let state = lock(&running.state);
            (state.events, state.event_period)
        };
        if number > events {
            running.end(RunEnd::Complete);
            return None;
        }
        sleep(period).await;
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        let piece = match fault {
            TargetFault::BreaksAfter(last) if number == last + 1 => {
                let half = event.as_bytes()[..event.len() / 2].to_vec();
                Ok(Frame::data(Bytes::from(half)))
            }
            TargetFault::BreaksAfter(last) if number > last => Err(Cut),
            _ => Ok(Frame::data(Bytes::from(event))),
        };
        Some((piece, (running, number + 1)))
    });
    let mut answer = Response::new(StreamBody::new(pieces).boxed_unsync());
    let kind = HeaderValue::from_static("text/event-stream");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}
