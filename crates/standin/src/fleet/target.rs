//! Simulated target that responds with an event stream or a plain body.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use compact_str::CompactString;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE};
use hyper::{Request, Response, StatusCode};
use lagoon_adapter::standin::{
    decode_received_request, leaving_header, limit_header, load_header, not_executed_headers,
    response_headers, ReceivedRequest,
};
use lagoon_gateway::{TargetEntry, TargetLoad, TargetStatus};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::{full_response, serve, ConnectionAborted, HttpResponse};

/// Prefixes of the paths whose requests get an event stream.
const STREAM_PREFIXES: [&str; 2] = ["/stream/", "/chat/"];

/// Requests that a target runs concurrently at most, by its entry.
const SLOTS: u32 = 12;

/// Fault injected into a target. Unless stated otherwise it affects one request and
/// then ends.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TargetFault {
    /// No fault.
    #[default]
    None,
    /// Rejects requests with 503 and the not-executed headers, until the fault is
    /// cleared.
    AtCapacity,
    /// The next request is executed and, unless it is a stream, its response dropped.
    DropResponse,
    /// If the next request is a stream, the response ends within an event: the event
    /// with this id is sent whole, and half of the following one.
    TruncateAfter(u64),
    /// Every request that starts to run crashes the target, until the fault is
    /// cleared.
    CrashOnRequest,
    /// Requests are executed and get a response with this status, until the fault is
    /// cleared.
    Fail(StatusCode),
    /// The next response carries the id of another request.
    WrongRequestId,
}

/// How a target crashes under a request that crashes it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Crash {
    /// Its connections and its listening socket close; it is soon back.
    Closed,
    /// It responds to this request no more, and its connections stay open.
    Silent,
}

/// How far the response to an executed request has been sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionState {
    /// In progress.
    Running,
    /// The whole response was sent.
    Complete,
    /// The connection closed before the response was complete.
    Disconnected,
}

/// Request that a target started to execute.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Decoded headers of the request.
    pub received: ReceivedRequest,
    /// Path and query of the request.
    pub path: String,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Whether it is in progress, complete or disconnected.
    pub state: ExecutionState,
    /// Time of its start.
    pub started: Instant,
}

#[derive(Default)]
struct State {
    fault: TargetFault,
    /// Path of the requests that crash the target, and how.
    crash_path: Option<(String, Crash)>,
    executions: Vec<Execution>,
    event_count: u64,
    event_interval: Duration,
    /// Version of the software, which each event of a stream names.
    software_version: CompactString,
    /// Start of this run, as a Unix time.
    started_unix_ms: u64,
    /// Whether this run has announced in its responses that it will stop.
    is_leaving: bool,
    /// Requests per second that this run states in its responses to take.
    limit_per_s: Option<f64>,
    /// How long work takes, in percent of the usual, which each response reports; `None`
    /// reports no load.
    work_percent: Option<u32>,
    /// Times of all requests that were addressed to this target, executed or not.
    arrivals: Vec<Instant>,
}

impl State {
    /// Time of a plain response or between two events.
    fn interval(&self) -> Duration {
        let percent = self.work_percent.unwrap_or(100);
        self.event_interval * percent / 100
    }

    fn load_header(&self) -> Option<(HeaderName, HeaderValue)> {
        let running = self.executions.iter();
        let running = running.filter(|execution| execution.state == ExecutionState::Running);
        let load = TargetLoad {
            running: running.count() as u32,
            waiting: 0,
            slots: SLOTS,
            work_percent: Some(self.work_percent?),
        };
        load_header(&load)
    }
}

/// Handle of a simulated target on loopback.
#[derive(Clone)]
pub struct Target {
    /// Target id; requests addressed to another id get status 421.
    pub id: CompactString,
    /// Address of its HTTP server, on loopback.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unix_now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Target {
    /// Starts a target whose streams have `event_count` events, one per `event_interval`;
    /// a plain response takes one interval.
    pub fn start(id: &str, event_count: u64, event_interval: Duration) -> Target {
        let state = Arc::new(Mutex::new(State {
            event_count,
            event_interval,
            software_version: "v1".into(),
            started_unix_ms: unix_now_ms(),
            ..State::default()
        }));
        let id = CompactString::new(id);
        let (shared, own_id) = (Arc::clone(&state), id.clone());
        let crash = Arc::new(Notify::new());
        let address = serve(Arc::clone(&crash), move |request| {
            handle(
                own_id.clone(),
                Arc::clone(&shared),
                Arc::clone(&crash),
                request,
            )
        });
        Target { id, address, state }
    }

    /// Row of this target for the target table.
    pub fn entry(&self, service: &str, status: TargetStatus) -> TargetEntry {
        let state = lock(&self.state);
        TargetEntry {
            id: self.id.clone(),
            service: service.into(),
            address: self.address,
            domain: "d1".into(),
            software_version: state.software_version.clone(),
            slots: SLOTS,
            status,
            started_unix_ms: Some(state.started_unix_ms),
        }
    }

    /// Injects a fault; [`TargetFault::None`] clears it.
    pub fn set_fault(&self, fault: TargetFault) {
        lock(&self.state).fault = fault;
    }

    /// Makes later entries those of a new run under the same id, which isn't leaving.
    pub fn restart(&self) {
        let mut state = lock(&self.state);
        state.started_unix_ms = unix_now_ms().max(state.started_unix_ms + 1);
        state.is_leaving = false;
        state.limit_per_s = None;
    }

    /// Runs another version of the software from now on; its entry must be written
    /// again.
    pub fn set_software_version(&self, version: &str) {
        lock(&self.state).software_version = version.into();
    }

    /// Announces in each response from now on that this run will stop.
    pub fn leave(&self) {
        lock(&self.state).is_leaving = true;
    }

    /// States this limit in each response from now on; `None` states none.
    pub fn limit(&self, per_s: Option<f64>) {
        lock(&self.state).limit_per_s = per_s;
    }

    /// Reports in each response from now on how long work takes, in percent of the usual;
    /// plain responses and stream events take so long, too.
    pub fn set_work_percent(&self, percent: u32) {
        lock(&self.state).work_percent = Some(percent);
    }

    /// Times of the requests that were addressed to this target, executed or not.
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.state).arrivals.clone()
    }

    /// Makes each request with this path crash the target when it starts to run.
    pub fn crash_on_path(&self, path: &str, crash: Crash) {
        lock(&self.state).crash_path = Some((path.to_owned(), crash));
    }

    /// Requests whose execution has started, in order.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.state).executions.clone()
    }
}

/// Marks an execution as disconnected when its response is dropped unfinished.
struct ExecutionGuard {
    state: Arc<Mutex<State>>,
    index: usize,
}

impl ExecutionGuard {
    fn finish(&self, final_state: ExecutionState) {
        let mut state = lock(&self.state);
        let execution = &mut state.executions[self.index];
        if execution.state == ExecutionState::Running {
            execution.state = final_state;
        }
    }
}

impl Drop for ExecutionGuard {
    fn drop(&mut self) {
        self.finish(ExecutionState::Disconnected);
    }
}

async fn handle(
    id: CompactString,
    state: Arc<Mutex<State>>,
    crash: Arc<Notify>,
    request: Request<Incoming>,
) -> Result<HttpResponse, ConnectionAborted> {
    let mut response = respond(id, Arc::clone(&state), crash, request).await?;
    let state = lock(&state);
    if state.is_leaving {
        response.headers_mut().extend([leaving_header()]);
    }
    let limit = state.limit_per_s.and_then(limit_header);
    response.headers_mut().extend(limit);
    response.headers_mut().extend(state.load_header());
    Ok(response)
}

async fn respond(
    id: CompactString,
    state: Arc<Mutex<State>>,
    crash: Arc<Notify>,
    request: Request<Incoming>,
) -> Result<HttpResponse, ConnectionAborted> {
    let received = decode_received_request(request.headers());
    let path = request.uri().to_string();
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|_| ConnectionAborted)?;
    if received.target_id != id {
        return Ok(full_response(StatusCode::MISDIRECTED_REQUEST, Vec::new()));
    }
    let fault = {
        let mut state = lock(&state);
        state.arrivals.push(Instant::now());
        state.fault
    };
    if fault == TargetFault::AtCapacity {
        let mut response = full_response(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
        *response.headers_mut() = not_executed_headers();
        return Ok(response);
    }
    let guard = {
        let mut locked = lock(&state);
        let is_lasting = matches!(fault, TargetFault::CrashOnRequest | TargetFault::Fail(_));
        if !is_lasting {
            locked.fault = TargetFault::None;
        }
        locked.executions.push(Execution {
            received: received.clone(),
            path: path.clone(),
            body: body.to_bytes().to_vec(),
            state: ExecutionState::Running,
            started: Instant::now(),
        });
        ExecutionGuard {
            index: locked.executions.len() - 1,
            state: Arc::clone(&state),
        }
    };
    let crash_path = lock(&state).crash_path.clone();
    let crashes_by_path = crash_path.filter(|(crash_path, _)| *crash_path == path);
    let crashes_by_fault = fault == TargetFault::CrashOnRequest;
    let how = crashes_by_path.map(|(_, how)| how);
    match how.or(crashes_by_fault.then_some(Crash::Closed)) {
        Some(Crash::Silent) => return std::future::pending().await,
        Some(Crash::Closed) => {
            crash.notify_one();
            return Err(ConnectionAborted);
        }
        None => {}
    }
    let request_id = match fault {
        TargetFault::WrongRequestId => "another".into(),
        _ => received.request_id.clone(),
    };
    let is_stream = STREAM_PREFIXES
        .iter()
        .any(|prefix| path.starts_with(prefix));
    let mut response = if let TargetFault::Fail(status) = fault {
        guard.finish(ExecutionState::Complete);
        full_response(status, b"failed".to_vec())
    } else if is_stream {
        stream_response(guard, &received, fault)
    } else {
        let interval = lock(&state).interval();
        sleep(interval).await;
        if fault == TargetFault::DropResponse {
            return Err(ConnectionAborted);
        }
        guard.finish(ExecutionState::Complete);
        full_response(StatusCode::OK, b"done".to_vec())
    };
    response
        .headers_mut()
        .extend(response_headers(&request_id, &id));
    Ok(response)
}

fn stream_response(
    guard: ExecutionGuard,
    received: &ReceivedRequest,
    fault: TargetFault,
) -> HttpResponse {
    let first_event_id = received.last_event_id.unwrap_or(0) + 1;
    let software_version = lock(&guard.state).software_version.clone();
    let frames = stream::unfold(
        (guard, first_event_id, software_version),
        move |(guard, event_id, software_version)| async move {
            let (event_count, interval) = {
                let state = lock(&guard.state);
                (state.event_count, state.interval())
            };
            if event_id > event_count {
                guard.finish(ExecutionState::Complete);
                return None;
            }
            sleep(interval).await;
            let event = format!("id: {event_id}\ndata: {software_version} piece {event_id}\n\n");
            let frame = match fault {
                TargetFault::TruncateAfter(last) if event_id == last + 1 => {
                    let half = event.as_bytes()[..event.len() / 2].to_vec();
                    Ok(Frame::data(Bytes::from(half)))
                }
                TargetFault::TruncateAfter(last) if event_id > last => Err(ConnectionAborted),
                _ => Ok(Frame::data(Bytes::from(event))),
            };
            Some((frame, (guard, event_id + 1, software_version)))
        },
    );
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
