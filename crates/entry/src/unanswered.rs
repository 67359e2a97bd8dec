//! Log lines and counts of callers' requests that end without a whole response.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{Error, ErrorKind};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use compact_str::CompactString;
use derive_more::Display;
use lagoon_adapter::request_id_in;
use lagoon_connections::{ConnectionMemory, Refusal};
use lagoon_memory::{HoldingWatch, OutsideGuard};

use crate::caller_io::CallerIo;
use crate::connection::UNACKNOWLEDGED_TIMEOUT;
use crate::state::DaemonState;

/// Time for a head that a caller sent within the header timeout to arrive.
const HEAD_GRACE_MS: u64 = 1_000;

/// Time for which a caller may leave what was sent unread. Linux counts the time in which its
/// window is shut.
const CALLER_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(15);

/// Why a request has no response, or only a part of one.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Cause {
    /// The caller closed or reset its connection.
    #[display("caller left")]
    CallerLeft,
    /// The connection to the caller failed: an error, or data unacknowledged for too
    /// long.
    #[display("connection to the caller broke")]
    ConnectionBroke,
    /// The head did not arrive whole in time.
    #[display("header timeout")]
    HeaderTimeout,
    /// The idle limit closed the connection while a request was on its way.
    #[display("closed when idle")]
    IdleLimit,
    /// The stop closed the connection while a request was on its way.
    #[display("closed by the stop")]
    Stop,
    /// The connection was closed after a response, with bytes of the caller unread.
    #[display("closed after a response")]
    ClosedAfterResponse,
    #[display("request body not read")]
    BodyNotRead,
    /// The target's stream was interrupted and not resumed.
    #[display("stream broke off")]
    StreamBroke,
    #[display("out of time in the stream")]
    OutOfTime,
    /// The reservation did not cover the stream.
    #[display("charge used up in the stream")]
    TokensUsedUp,
    #[display("turn not kept")]
    TurnNotKept,
    /// The connection was closed before anything was read.
    #[display("too many connections")]
    TooManyConnections,
    /// The connection was closed before anything was read.
    #[display("too many connections of one address")]
    TooManyOfAddress,
    /// The bytes that are held for all peers are too many, and this one's cost most.
    #[display("memory exhausted")]
    NoMemory,
    #[display("process ended")]
    ProcessEnded,
    #[display("panic")]
    Panic,
}

/// Request whose response is not known to be with the caller's host.
struct OpenRequest {
    number: u64,
    id: CompactString,
    /// Name of the account; empty without one.
    account: CompactString,
    started_ms: u64,
    /// Version at the start; 0 without a configuration.
    config_version: u64,
    /// Whether a target may have got a part of it.
    is_passed_on: bool,
    /// Whether the whole response is in the connection's buffer.
    is_responded: bool,
    cause: Option<Cause>,
    /// Counts the socket to a target.
    _socket: OutsideGuard,
}

/// Who opens the connections of a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Client {
    Caller,
    /// The load balancer, another VM or a scraper; these report lost requests
    /// themselves.
    Other,
}

/// Requests of one connection. Each that is open when a caller's connection ends leaves
/// a log line.
pub(crate) struct CallerConnection {
    state: Rc<DaemonState>,
    client: Client,
    /// In order of arrival; more than one only if the caller pipelines.
    open: RefCell<VecDeque<OpenRequest>>,
    requests: Cell<u64>,
    has_caller_left: Cell<bool>,
    is_broken: Cell<bool>,
    /// Whether the daemon asked the connection to close because it stops.
    is_stopped: Cell<bool>,
    has_ended: Cell<bool>,
    /// Head that has not arrived whole, and responses that are not sent.
    held: ConnectionMemory,
    _socket: OutsideGuard,
    /// Counts the connection's buffers until they are allocated.
    buffers: Cell<Option<OutsideGuard>>,
}

impl CallerConnection {
    pub(crate) fn new(state: &Rc<DaemonState>, client: Client) -> Rc<CallerConnection> {
        Rc::new(CallerConnection {
            state: Rc::clone(state),
            client,
            open: RefCell::default(),
            requests: Cell::new(0),
            has_caller_left: Cell::new(false),
            is_broken: Cell::new(false),
            is_stopped: Cell::new(false),
            has_ended: Cell::new(false),
            held: ConnectionMemory::new(state.memory.hold_connection()),
            _socket: state.memory.count_socket(),
            buffers: Cell::new(Some(state.memory.count_buffers())),
        })
    }

    pub(crate) fn has_request(&self) -> bool {
        self.requests.get() > 0
    }

    /// Whether no request is open, and none has begun to arrive within `patience`.
    pub(crate) fn is_idle(&self, patience: Duration) -> bool {
        let age_ms = self.state.now_ms() - self.held.received_ms();
        let arrives = self.held.received_bytes() > 0 && u128::from(age_ms) < patience.as_millis();
        self.open.borrow().is_empty() && !arrives
    }

    /// Records that the head of the next request was read.
    pub(crate) fn begin_request(self: &Rc<Self>) -> RequestGuard {
        let number = self.requests.get();
        self.requests.set(number + 1);
        self.held.begin_request(self.state.now_ms());
        self.open.borrow_mut().push_back(OpenRequest {
            number,
            id: CompactString::default(),
            account: CompactString::default(),
            started_ms: self.state.now_ms(),
            config_version: self.state.config_version(),
            is_passed_on: false,
            is_responded: false,
            cause: None,
            _socket: self.state.memory.count_socket(),
        });
        RequestGuard {
            connection: Rc::clone(self),
            number,
        }
    }

    /// Makes room in memory for the connection or its next request; `false` if there is
    /// none.
    pub(crate) fn claim_room(&self) -> bool {
        self.held.claim_room(self.state.now_ms()).is_ok()
    }

    /// Records that the connection's buffers are allocated.
    pub(crate) fn record_allocated(&self) {
        self.buffers.take();
    }

    /// Time after which the system closes the connection if sent data stays
    /// unacknowledged, or the peer's window shut.
    pub(crate) fn unacknowledged_timeout(&self) -> Duration {
        match self.client {
            Client::Caller => CALLER_UNACKNOWLEDGED_TIMEOUT,
            Client::Other => UNACKNOWLEDGED_TIMEOUT,
        }
    }

    pub(crate) fn record_sent(&self, bytes: usize) {
        self.held.record_sent(bytes, self.state.now_ms());
    }

    pub(crate) fn record_received(&self, bytes: usize) {
        self.held.record_received(bytes, self.state.now_ms());
    }

    /// Waits until the connection is to be closed, for lack of memory or as a head takes too
    /// long.
    pub(crate) async fn until_refused(&self) {
        let state = &self.state;
        let limit = || Duration::from_millis(state.limits().header_timeout_ms + HEAD_GRACE_MS);
        match self.held.until_refused(limit, || state.now_ms()).await {
            Refusal::NoMemory => self.record_withdrawn(),
            Refusal::TimedOut => state.memory.record_late("head"),
        }
    }

    fn record_withdrawn(&self) {
        let mut open = self.open.borrow_mut();
        let what = match open.is_empty() {
            true => "connection",
            false => "response",
        };
        for request in open.iter_mut() {
            request.cause = Some(Cause::NoMemory);
        }
        self.state.memory.record_exhausted(what);
    }

    pub(crate) fn record_caller_left(&self) {
        self.has_caller_left.set(true);
    }

    pub(crate) fn record_error(&self, error: &Error) {
        if error.kind() == ErrorKind::ConnectionReset {
            self.has_caller_left.set(true);
        } else {
            self.is_broken.set(true);
        }
    }

    pub(crate) fn record_stop(&self) {
        self.is_stopped.set(true);
    }

    /// Records that the system has all bytes of the connection's buffer.
    pub(crate) fn record_flushed(&self) {
        self.held.record_all_sent(self.state.now_ms());
        let mut open = self.open.borrow_mut();
        let before = open.len();
        open.retain(|request| !request.is_done());
        let done = before - open.len();
        if done > 0 {
            self.held.end_requests(done, self.state.now_ms());
        }
    }

    /// Logs what is open after hyper has ended the connection. `unread` and the bytes
    /// that the socket holds, or receives until the caller closes it, belong to no
    /// request that was begun.
    pub(crate) async fn end(
        &self,
        ended: &Result<(), hyper::Error>,
        mut io: CallerIo,
        mut unread: Vec<u8>,
    ) {
        self.has_ended.set(true);
        if ended.is_ok() {
            let mut open = self.open.borrow_mut();
            open.retain(|request| !request.is_responded || request.cause.is_some());
        }
        let has_open = !self.open.borrow().is_empty();
        self.log_open(self.lost_cause());
        // hyper answers a head that it can't parse.
        let is_refused = ended.as_ref().is_err_and(hyper::Error::is_parse);
        if has_open || is_refused || self.client == Client::Other {
            return;
        }
        io.peek_rest(&mut unread);
        let is_timeout = ended.as_ref().is_err_and(hyper::Error::is_timeout);
        if unread.is_empty() && !self.has_caller_left.get() && !self.is_broken.get() {
            io.peek_late(&mut unread).await;
        }
        if !unread.is_empty() {
            if self.held.received_bytes() == 0 {
                self.record_received(unread.len());
            }
            let id = request_id_in(&unread).unwrap_or_default();
            self.log_unread(id, self.unread_cause(is_timeout), unread.len());
        }
    }

    /// Why a request that is open is lost, if nothing else is known.
    fn lost_cause(&self) -> Cause {
        if self.is_broken.get() && !self.has_caller_left.get() {
            Cause::ConnectionBroke
        } else if self.has_caller_left.get() || self.has_ended.get() {
            Cause::CallerLeft
        } else if thread::panicking() {
            Cause::Panic
        } else if self.state.exiting.get() {
            Cause::ProcessEnded
        } else {
            Cause::CallerLeft
        }
    }

    /// Why the bytes of a request whose head was not read are lost.
    fn unread_cause(&self, is_timeout: bool) -> Cause {
        let age_ms = self.state.now_ms() - self.held.received_ms();
        if self.has_caller_left.get() {
            Cause::CallerLeft
        } else if self.is_broken.get() {
            Cause::ConnectionBroke
        } else if let Some(refusal) = self.held.refusal() {
            match refusal {
                Refusal::NoMemory => Cause::NoMemory,
                Refusal::TimedOut => Cause::HeaderTimeout,
            }
        } else if is_timeout {
            let is_late = age_ms >= self.state.limits().header_timeout_ms;
            match is_late || !self.has_request() {
                true => Cause::HeaderTimeout,
                false => Cause::IdleLimit,
            }
        } else if self.is_stopped.get() {
            Cause::Stop
        } else {
            Cause::ClosedAfterResponse
        }
    }

    fn log_open(&self, lost_cause: Cause) {
        if self.client == Client::Other {
            return;
        }
        let now_ms = self.state.now_ms();
        let open = std::mem::take(&mut *self.open.borrow_mut());
        for request in open {
            self.state.record_unanswered(&Unanswered {
                id: &request.id,
                account: &request.account,
                cause: request.cause.unwrap_or(lost_cause),
                age_ms: now_ms - request.started_ms,
                started_version: request.config_version,
                is_passed_on: request.is_passed_on,
                unread_bytes: 0,
            });
        }
    }

    fn log_unread(&self, id: &str, cause: Cause, unread_bytes: usize) {
        if self.client == Client::Other {
            return;
        }
        let received_ms = match self.held.received_bytes() {
            0 => self.state.now_ms(),
            _ => self.held.received_ms(),
        };
        self.state.record_unanswered(&Unanswered {
            id,
            account: "",
            cause,
            age_ms: self.state.now_ms() - received_ms,
            started_version: self.state.config_version(),
            is_passed_on: false,
            unread_bytes,
        });
    }
}

impl OpenRequest {
    fn is_done(&self) -> bool {
        self.is_responded && self.cause.is_none()
    }
}

impl Drop for CallerConnection {
    /// Logs what is open when the connection's task is dropped: at the exit of the
    /// process, or by a panic outside of the handling of a request.
    fn drop(&mut self) {
        if self.has_ended.get() {
            return;
        }
        let cause = match thread::panicking() {
            true => Cause::Panic,
            false => Cause::ProcessEnded,
        };
        let has_open = !self.open.borrow().is_empty();
        self.log_open(cause);
        if !has_open && self.held.received_bytes() > 0 {
            self.log_unread("", cause, self.held.received_bytes());
        }
    }
}

/// Handle to one request of a connection, for what handles it.
#[derive(Clone)]
pub(crate) struct RequestGuard {
    connection: Rc<CallerConnection>,
    number: u64,
}

impl RequestGuard {
    fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut OpenRequest),
    {
        let mut open = self.connection.open.borrow_mut();
        if let Some(request) = open.iter_mut().find(|r| r.number == self.number) {
            change(request);
        }
    }

    /// Makes room in memory for the request; `false` if there is none.
    pub(crate) fn claim_room(&self) -> bool {
        self.connection.claim_room()
    }

    pub(crate) fn set_id(&self, id: &CompactString) {
        self.update(|request| request.id = id.clone());
    }

    pub(crate) fn set_account(&self, name: &CompactString) {
        self.update(|request| request.account = name.clone());
    }

    /// Whether the response tells the caller that it is the connection's last one: the
    /// daemon stops, and would close the connection while it rests.
    pub(crate) fn announces_close(&self) -> bool {
        self.connection.client == Client::Caller && self.connection.state.stopping.get()
    }

    /// Records why the response is missing or ends early.
    pub(crate) fn set_cause(&self, cause: Cause) {
        self.update(|request| request.cause = Some(cause));
    }

    /// Takes back a cause that was set ahead of what has succeeded.
    pub(crate) fn clear_cause(&self) {
        self.update(|request| request.cause = None);
    }

    /// Records that the rest of the request's body is discarded.
    pub(crate) fn begin_discard(&self) {
        self.connection.held.begin_discard();
    }

    /// Records that a whole response with these bytes waits to be sent from now on.
    pub(crate) fn record_response(&self, bytes: HoldingWatch) {
        let now_ms = self.connection.state.now_ms();
        self.connection.held.record_response(bytes, now_ms);
    }

    /// Records bytes of a stream that wait to be sent from now on.
    pub(crate) fn record_unsent(&self, bytes: usize) {
        let now_ms = self.connection.state.now_ms();
        self.connection.held.record_unsent(bytes, now_ms);
    }

    /// Waits until at most this many bytes of a stream wait to be sent.
    pub(crate) async fn until_sent(&self, max_bytes: usize) {
        self.connection.held.until_sent(max_bytes).await;
    }

    /// Records that a target may get a part of the request from now on.
    pub(crate) fn set_passed_on(&self) {
        self.update(|request| request.is_passed_on = true);
    }

    /// Records that the handling of the request panicked; returns whether a target may
    /// have got a part of it.
    pub(crate) fn record_panic(&self) -> bool {
        let mut is_passed_on = self.connection.client == Client::Other;
        self.update(|request| {
            is_passed_on |= request.is_passed_on;
            request.cause = None;
            log::error!(request = request.id.as_str(), passed_on = is_passed_on; "handling of a request panicked");
        });
        is_passed_on
    }

    /// Records that the connection's buffer has the last byte of the response.
    pub(crate) fn set_responded(&self) {
        self.update(|request| request.is_responded = true);
    }

    /// Why the caller gets no more of a response that is dropped before its end.
    pub(crate) fn lost_cause(&self) -> Cause {
        self.connection.lost_cause()
    }
}

struct Unanswered<'a> {
    /// Empty if it isn't known.
    id: &'a str,
    /// Empty without one, or if it isn't known.
    account: &'a str,
    cause: Cause,
    age_ms: u64,
    started_version: u64,
    is_passed_on: bool,
    unread_bytes: usize,
}

impl DaemonState {
    /// Version of the configuration; 0 without one.
    pub(crate) fn config_version(&self) -> u64 {
        let config = self.config.borrow();
        config.as_ref().map_or(0, |config| config.version)
    }

    /// Counts a connection that is closed before anything is read, and logs that now and
    /// then.
    pub(crate) fn record_closed_unread(&self, client: Client, cause: Cause) {
        if client == Client::Other {
            return;
        }
        self.metrics.record_unanswered(&cause.to_string());
        if let Some(unlogged) = self.closed_log.admit(self.now_ms()) {
            let unanswered = Unanswered {
                id: "",
                account: "",
                cause,
                age_ms: 0,
                started_version: self.config_version(),
                is_passed_on: false,
                unread_bytes: 0,
            };
            self.log_unanswered(&unanswered, unlogged);
        }
    }

    fn record_unanswered(&self, unanswered: &Unanswered<'_>) {
        self.metrics
            .record_unanswered(&unanswered.cause.to_string());
        self.log_unanswered(unanswered, 0);
    }

    /// `unlogged` is the number of connections that ended in the same way since the last
    /// line.
    fn log_unanswered(&self, unanswered: &Unanswered<'_>, unlogged: u64) {
        let cause = unanswered.cause;
        let level = match cause {
            Cause::CallerLeft => log::Level::Info,
            _ => log::Level::Warn,
        };
        let or_dash = |text| match text {
            "" => "-",
            text => text,
        };
        log::log!(
            level,
            request = or_dash(unanswered.id),
            account = or_dash(unanswered.account),
            cause = cause.to_string(),
            age_ms = unanswered.age_ms,
            config_version = unanswered.started_version,
            config_version_now = self.config_version(),
            passed_on = unanswered.is_passed_on,
            stopping = self.stopping.get(),
            unread_bytes = unanswered.unread_bytes,
            connections = self.connections.get(),
            unlogged;
            "unanswered: {cause}"
        );
    }
}
