//! Start, main loop and shutdown of the daemon.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use lagoon_node::{Event, Node, NodeSettings};
use lagoon_platform::{Client, ClientSettings, RetrySettings};
use lagoon_settings::Settings;
use lagoon_telemetry::{Metrics, TraceError, Tracer};
use rand::RngExt;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use stakker::{actor, call, ret_nop, ActorOwn, Stakker};
use thiserror::Error;

use crate::actors::{
    ExitReason, NodeActor, NodeParts, PeersActor, StoreActor, TargetIoSettings, TargetsActor,
};
use crate::clock::Clock;
use crate::constants::{DRAIN_TIMEOUT, MAX_INPUT_BATCH, MAX_OPERATOR_CONNECTIONS};
use crate::http::{
    ActiveRequests, BoundCounts, CallerApi, ClientMemory, ConnectionLimits, OperatorApi, Server,
};
use crate::input::{Input, InputSender};

/// Reason why the daemon ends other than by a planned stop.
#[derive(Debug, Error)]
pub enum RunError {
    /// The incarnation, made of the names of the failure domain and the VM and the
    /// start time, would be too long.
    #[error("vm.name: {0}")]
    InvalidName(#[from] lagoon_ids::NameError),
    /// Tracing can't be set up.
    #[error(transparent)]
    Tracing(#[from] TraceError),
    /// A socket or the signal handler can't be set up.
    #[error("{key}: {detail}")]
    Socket {
        /// Settings key of the socket's address, or `signals`.
        key: &'static str,
        /// Text of the underlying error.
        detail: String,
    },
    /// A successor sealed this incarnation, or its row in the store belongs to
    /// another daemon.
    #[error("a successor has taken over this VM's programs")]
    Fenced,
}

fn socket_error<E>(key: &'static str) -> impl FnOnce(E) -> RunError
where
    E: ToString,
{
    move |error| RunError::Socket {
        key,
        detail: error.to_string(),
    }
}

/// Runs until a planned stop is complete.
///
/// # Errors
///
/// Fails if a name is invalid, if tracing, a socket or the signal handler
/// can't be set up, or with [`RunError::Fenced`] if the daemon is fenced.
pub fn run(settings: &Settings) -> Result<(), RunError> {
    let clock = Clock::start();
    let vm = settings.vm.name.as_str();
    let tracer = Arc::new(Tracer::new(
        &settings.traces,
        vm,
        settings.vm.domain.as_str(),
    )?);
    let metrics =
        Metrics::new(settings.metrics.statsd, vm).map_err(socket_error("metrics.statsd"))?;
    let node = Node::new(node_settings(settings, clock))?;
    let (input_sender, inputs) = channel();
    let ready = Arc::new(AtomicBool::new(false));
    let peer_socket =
        crate::actors::listen(settings.listen.peers).map_err(socket_error("listen.peers"))?;
    let client_memory = ClientMemory::new(settings.callers.body_limit_bytes);
    let bound_counts = Arc::new(BoundCounts::default());
    let limits = connection_limits(settings);
    let server = |name, limits| Server {
        name,
        limits,
        memory: client_memory.clone(),
        clock,
        counts: Arc::clone(&bound_counts),
    };
    let callers = server("callers", limits);
    let active = start_caller_api(callers, settings, &input_sender, &tracer, &ready)?;
    let operators = server("operators", limits_of_operators(limits));
    start_operator_api(operators, settings, &input_sender)?;
    handle_signals(&input_sender).map_err(socket_error("signals"))?;

    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let exit = Rc::new(Cell::new(None));
    let client = Client::new(client_settings(settings));
    let workers = settings.platform.workers;
    let io_settings = TargetIoSettings {
        stream_idle_timeout: Duration::from_millis(settings.targets.stream_silence_ms),
        response_timeout: Duration::from_millis(settings.targets.answer_wait_ms),
        load_poll_interval: Duration::from_millis(settings.targets.load_poll_ms),
    };
    let local_address = settings.listen.peers;
    let peers = actor!(
        s,
        PeersActor::init(peer_socket, local_address, input_sender.clone()),
        ret_nop!()
    );
    let store = actor!(
        s,
        StoreActor::init(client, workers, input_sender.clone()),
        ret_nop!()
    );
    let targets = actor!(
        s,
        TargetsActor::init(io_settings, input_sender.clone()),
        ret_nop!()
    );
    let parts = NodeParts {
        node,
        clock,
        tracer: Arc::clone(&tracer),
        metrics,
        ready,
        bound_counts: Arc::clone(&bound_counts),
        client_memory: client_memory.clone(),
        exit: Rc::clone(&exit),
        peers: peers.clone(),
        store: store.clone(),
        targets: targets.clone(),
    };
    let node = actor!(s, NodeActor::init(parts), ret_nop!());
    log::info!(
        vm_domain = settings.vm.domain.as_str(),
        callers = settings.listen.callers.to_string();
        "started"
    );
    let exit = main_loop(s, &node, &inputs, &exit);
    drain(s, &active, &tracer);
    match exit {
        ExitReason::Stopped => Ok(()),
        ExitReason::Fenced => Err(RunError::Fenced),
    }
}

fn main_loop(
    s: &mut Stakker,
    node: &ActorOwn<NodeActor>,
    inputs: &Receiver<Input>,
    exit: &Cell<Option<ExitReason>>,
) -> ExitReason {
    s.run(Instant::now(), false);
    loop {
        if let Some(exit) = exit.get() {
            return exit;
        }
        let wait = s.next_wait_max(Instant::now(), Duration::from_secs(1), false);
        match inputs.recv_timeout(wait) {
            Ok(input) => {
                call!([node], handle_input(input));
                for input in inputs.try_iter().take(MAX_INPUT_BATCH) {
                    call!([node], handle_input(input));
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return ExitReason::Stopped,
        }
        s.run(Instant::now(), false);
    }
}

/// Waits up to the drain timeout for open requests, then exports queued spans.
fn drain(s: &mut Stakker, active: &ActiveRequests, tracer: &Tracer) {
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    while active.count() > 0 && Instant::now() < deadline {
        s.run(Instant::now(), false);
        thread::sleep(Duration::from_millis(10));
    }
    tracer.flush();
    log::info!(unanswered = active.count(); "stopped");
}

fn node_settings(settings: &Settings, clock: Clock) -> NodeSettings {
    let vm = &settings.vm;
    NodeSettings {
        secret_candidate: rand::rng().random(),
        started_ms: clock.started_ms(),
        seed_addresses: settings.peers.seeds.clone(),
        heartbeat_ms: settings.members.heartbeat_ms,
        suspect_ms: settings.members.suspect_ms,
        sheet_poll_ms: settings.members.sheet_poll_ms,
        stop_wait_ms: settings.members.stop_wait_ms,
        gap_wait_ms: settings.callers.gap_wait_ms,
        queue_limit: settings.callers.queue_limit as usize,
        idle_limit_ms: settings.callers.idle_limit_ms,
        commit_wait_ms: settings.callers.commit_wait_ms,
        ..NodeSettings::with_defaults(vm.name.clone(), vm.domain.clone(), settings.listen.peers)
    }
}

fn client_settings(settings: &Settings) -> ClientSettings {
    let platform = &settings.platform;
    ClientSettings {
        timeout_ms: platform.timeout_ms,
        retry: RetrySettings {
            max_attempts: platform.tries as u32,
            ..RetrySettings::default()
        },
        ..ClientSettings::with_address(platform.address)
    }
}

fn connection_limits(settings: &Settings) -> ConnectionLimits {
    let callers = &settings.callers;
    ConnectionLimits {
        max_connections: callers.max_connections as usize,
        by_address: callers.connections_per_address as usize,
        head_timeout: Duration::from_millis(callers.head_timeout_ms),
        idle_timeout: Duration::from_millis(callers.connection_idle_ms),
        body_timeout: Duration::from_millis(callers.body_timeout_ms),
    }
}

/// Operators have connections of their own, all of which may come from one address.
fn limits_of_operators(callers: ConnectionLimits) -> ConnectionLimits {
    ConnectionLimits {
        max_connections: MAX_OPERATOR_CONNECTIONS,
        by_address: MAX_OPERATOR_CONNECTIONS,
        ..callers
    }
}

fn start_caller_api(
    server: Server,
    settings: &Settings,
    input_sender: &InputSender,
    tracer: &Arc<Tracer>,
    ready: &Arc<AtomicBool>,
) -> Result<ActiveRequests, RunError> {
    let api = Arc::new(CallerApi {
        input_sender: input_sender.clone(),
        clock: server.clock,
        tracer: Arc::clone(tracer),
        ready: Arc::clone(ready),
        sample_percent: settings.traces.sample_percent,
        // Based on the start time, so that no reference of an earlier run is reused.
        next_ref: AtomicU64::new(server.clock.started_ms() << 20),
    });
    let handle = move |request| {
        let api = Arc::clone(&api);
        async move { api.handle(request).await }
    };
    let started = server.start(settings.listen.callers, handle);
    started.map_err(socket_error("listen.callers"))
}

fn start_operator_api(
    server: Server,
    settings: &Settings,
    input_sender: &InputSender,
) -> Result<(), RunError> {
    let api = Arc::new(OperatorApi {
        input_sender: input_sender.clone(),
        next_ref: AtomicU64::new(1),
    });
    let handle = move |request| {
        let api = Arc::clone(&api);
        async move { api.handle(request).await }
    };
    let started = server.start(settings.listen.operators, handle);
    started.map_err(socket_error("listen.operators"))?;
    Ok(())
}

/// Starts a planned stop on SIGTERM or SIGINT; further signals are ignored.
fn handle_signals(input_sender: &InputSender) -> Result<(), std::io::Error> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let input_sender = input_sender.clone();
    thread::Builder::new().spawn(move || {
        for _ in signals.forever() {
            if input_sender.send(Event::Stop.into()).is_err() {
                return;
            }
        }
    })?;
    Ok(())
}
