//! The way of one request: route, charge, target, answer.

mod admission;
mod attempt;
mod reading;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::request::Parts;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use lagoon_adapter::{budget_exhausted_status, decode_request_headers};
use lagoon_gateway::{
    decide_retry, fingerprint, place, AttemptFailure, Attempts, ChargeDecision, Placement,
    PlacementRequest, ProgramKey, RequestMetadata, RetryDecision, Route, TargetEntry, TargetKey,
};
use lagoon_ids::hash64;
use rand::RngExt;
use tokio::task::spawn_local;
use tokio::time::{timeout_at, Instant};

use crate::body::ResponseBody;
use crate::ledger::{TokenRequest, TokenReservation};
use crate::relay::Relay;
use crate::response;
use crate::state::{BodyMemory, DaemonState};

pub(crate) use attempt::{forwarded_head, FailedAttempt, ResponseStream, TargetResponse};
use reading::read_body;

/// Longest wait for a budget's charge.
const CHARGE_WAIT_MS: u64 = 1_500;

/// Time to come back after a refusal for want of a place.
const OVERLOADED_RETRY_AFTER_MS: u64 = 200;

/// Time to come back while other VMs hold what is left of a budget, beyond
/// the time after which they give it back.
const HELD_RETRY_MS: u64 = 450;

/// Time to come back while something that is needed is away.
const AWAY_RETRY_MS: u64 = 700;

/// Most tokens of a call over what is expected where the caller doesn't say.
const UNHINTED_DIVISOR: u64 = 4;

/// Time to come back with a request that crashed several targets.
const CRASHER_RETRY_MS: u64 = 30_000;

/// Request on its way.
pub(crate) struct ForwardedRequest {
    pub(crate) state: Rc<DaemonState>,
    pub(crate) route: Arc<Route>,
    pub(crate) metadata: RequestMetadata,
    pub(crate) attempts: Attempts,
    pub(crate) reservation: Option<TokenReservation>,
    pub(crate) tokens_per_event: u64,
    pub(crate) arrived_ms: u64,
    pub(crate) deadline_ms: u64,
    config_version: u64,
    service: CompactString,
    parts: Parts,
    body: Bytes,
    _body_memory: BodyMemory,
    excluded_targets: Vec<TargetKey>,
    /// Whether a try is under way or has ended without the word that it did
    /// not run.
    may_have_run: bool,
    choice: Option<Placement>,
    target: CompactString,
}

/// Answers one request.
pub(crate) async fn handle(
    state: Rc<DaemonState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived_ms = state.now_ms();
    let (parts, body) = request.into_parts();
    let limits = state.limits();
    let (body, body_memory) = match read_body(&state, body, &limits).await {
        Ok(read) => read,
        Err(answer) => return *answer,
    };
    let request = match admit(state, parts, body, body_memory, arrived_ms) {
        Ok(request) => request,
        Err(answer) => return *answer,
    };
    request.run().await
}

/// Finds the route of a request.
fn admit(
    state: Rc<DaemonState>,
    parts: Parts,
    body: Bytes,
    body_memory: BodyMemory,
    arrived_ms: u64,
) -> Result<ForwardedRequest, Box<Response<ResponseBody>>> {
    let metadata = decode_request_headers(&parts.headers);
    let config = state.config.borrow().clone();
    let Some(config) = config.filter(|_| state.targets_loaded.get()) else {
        log::info!(request = metadata.request_id.as_str(), status = 503; "refused: no configuration yet");
        state.metrics.record_response(503, 0);
        return Err(Box::new(response::retryable_unavailable(
            "no configuration yet",
            AWAY_RETRY_MS,
        )));
    };
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let route = config.route(host, parts.uri.path()).cloned();
    let Some(route) = route else {
        log::info!(request = metadata.request_id.as_str(), status = 404, host, path = parts.uri.path(), config_version = config.version; "no route");
        state.metrics.record_response(404, 0);
        return Err(Box::new(response::plain_text(
            StatusCode::NOT_FOUND,
            "no route",
        )));
    };
    let subject = hash64(metadata.affinity_key().as_bytes());
    let service = route.service(subject).cloned().unwrap_or_default();
    let engine = config.service(&service).and_then(|s| s.engine.clone());
    let wait_ms = metadata
        .deadline_ms
        .map_or(route.timeout_ms, |deadline_ms| {
            deadline_ms.min(route.timeout_ms)
        });
    Ok(ForwardedRequest {
        attempts: Attempts::default(),
        reservation: None,
        tokens_per_event: engine.map_or(1, |engine| engine.tokens_per_event),
        arrived_ms,
        deadline_ms: arrived_ms + wait_ms,
        config_version: config.version,
        service,
        route,
        metadata,
        parts,
        body,
        _body_memory: body_memory,
        excluded_targets: Vec::new(),
        may_have_run: false,
        choice: None,
        target: CompactString::default(),
        state,
    })
}

impl ForwardedRequest {
    pub(crate) fn deadline(&self) -> Instant {
        self.state.clock.instant(self.deadline_ms)
    }

    async fn run(mut self) -> Response<ResponseBody> {
        if self.state.crash_tracker.is_quarantined(self.fingerprint()) {
            return *self.refuse("crashed several targets", CRASHER_RETRY_MS);
        }
        if let Err(answer) = self.wait_for_admission().await {
            return *answer;
        }
        if let Err(answer) = self.reserve_tokens().await {
            return *answer;
        }
        let deadline = self.deadline();
        let end = timeout_at(deadline, self.send_until_answered()).await;
        match end {
            Ok(Ok(TargetResponse::Full(answer))) => {
                self.record_response(answer.status(), "answered");
                answer.map(ResponseBody::full)
            }
            Ok(Ok(TargetResponse::Stream(stream))) => Relay::start(self, *stream),
            Ok(Err(answer)) => *answer,
            Err(_) => *self.out_of_time(),
        }
    }

    fn out_of_time(&self) -> Box<Response<ResponseBody>> {
        if self.may_have_run {
            self.record_response(StatusCode::GATEWAY_TIMEOUT, "out of time at a target");
            Box::new(response::plain_text(
                StatusCode::GATEWAY_TIMEOUT,
                "out of time",
            ))
        } else {
            self.refuse("out of time", OVERLOADED_RETRY_AFTER_MS)
        }
    }

    fn refuse(&self, why: &'static str, retry_after_ms: u64) -> Box<Response<ResponseBody>> {
        self.record_response(StatusCode::SERVICE_UNAVAILABLE, why);
        Box::new(response::retryable_unavailable(why, retry_after_ms))
    }

    /// Logs and counts the answer.
    pub(crate) fn record_response(&self, status: StatusCode, why: &str) {
        let state = &self.state;
        let now_ms = state.now_ms();
        let waited_ms = now_ms - self.arrived_ms;
        state.metrics.record_response(status.as_u16(), waited_ms);
        let choice = self.choice;
        log::info!(
            request = self.metadata.request_id.as_str(),
            program = self.metadata.program.as_deref().unwrap_or("-"),
            session = self.metadata.session.as_deref().unwrap_or("-"),
            route = self.route.name.as_str(),
            config_version = self.config_version,
            status = status.as_u16(),
            target_id = self.target.as_str(),
            failed_tries = self.attempts.count(),
            prompt_parts = self.metadata.prompt_parts.len(),
            prompt_is_kept = choice.is_some_and(|choice| choice.is_preferred),
            budget_tokens = self.metadata.model_call.as_ref().map_or(0, |turn| turn.budget_tokens),
            used_tokens = self.reservation.as_ref().map_or(0, TokenReservation::used_tokens),
            load = choice.map_or(0.0, |choice| choice.load),
            load_age_ms = choice.and_then(|choice| choice.load_age_ms).map_or(-1, |age| age as i64),
            left_ms = self.deadline_ms as i64 - now_ms as i64,
            waited_ms;
            "{why}"
        );
    }

    /// Charges the most tokens of a model call to its program.
    async fn reserve_tokens(&mut self) -> Result<(), Box<Response<ResponseBody>>> {
        let (Some(turn), Some(program)) = (&self.metadata.model_call, &self.metadata.program)
        else {
            return Ok(());
        };
        let request = TokenRequest {
            program: ProgramKey(program.clone()),
            budget_tokens: turn.budget_tokens,
            max_tokens: self.metadata.max_output_tokens,
            expected_tokens: self
                .metadata
                .expected_tokens
                .unwrap_or(self.metadata.max_output_tokens / UNHINTED_DIVISOR),
            retention_ms: self.route.retention_ms,
            origin_vm: self.state.affinity.borrow().origin_vm(&self.metadata),
        };
        let started_ms = self.state.now_ms();
        let deadline_ms = self.deadline_ms.min(started_ms + CHARGE_WAIT_MS);
        let deadline = self.state.clock.instant(deadline_ms);
        let decision = self.state.budget_client.reserve(request, deadline).await;
        self.state
            .metrics
            .record_charge_wait(self.state.now_ms() - started_ms);
        match decision {
            Ok(reservation) => {
                self.reservation = Some(reservation);
                Ok(())
            }
            Err(ChargeDecision::Exhausted { charged_tokens }) => {
                let budget_tokens = turn.budget_tokens;
                log::info!(request = self.metadata.request_id.as_str(), charged_tokens, budget_tokens, tokens = self.metadata.max_output_tokens; "budget spent");
                self.record_response(budget_exhausted_status(), "budget spent");
                Err(Box::new(response::plain_text(
                    budget_exhausted_status(),
                    "budget spent",
                )))
            }
            Err(ChargeDecision::HeldElsewhere { held_tokens }) => {
                log::info!(request = self.metadata.request_id.as_str(), held_tokens; "budget is held by other VMs");
                Err(self.refuse("budget held elsewhere", HELD_RETRY_MS))
            }
            Err(ChargeDecision::Granted(_) | ChargeDecision::Unavailable) => {
                Err(self.refuse("budget not known", AWAY_RETRY_MS))
            }
        }
    }

    /// Target that the next try would go to.
    fn evaluate_placement(&self) -> Option<Placement> {
        let targets = self.state.targets.borrow();
        let last = self.state.affinity.borrow().target_of(&self.metadata);
        let ask = PlacementRequest {
            service: &self.service,
            metadata: &self.metadata,
            domain: &self.state.domain,
            last_target: last.and_then(|tag| targets.key_by_hash(tag)),
            excluded_targets: &self.excluded_targets,
            random: rand::rng().random(),
        };
        place(&targets, &self.state.placement, &ask, self.state.now_ms())
    }

    /// Chooses a target for the next try.
    pub(crate) fn choose_target(&mut self) -> Option<(TargetKey, TargetEntry)> {
        let choice = self.evaluate_placement()?;
        let entry = self.target_entry(choice.key)?;
        self.choice = Some(choice);
        self.target = entry.id.clone();
        Some((choice.key, entry))
    }

    /// Takes note of the target that keeps the prompt of the line.
    pub(crate) fn record_serving_target(&self, key: TargetKey) {
        let targets = self.state.targets.borrow();
        if let Some(target) = targets.get(key) {
            let mut lines = self.state.affinity.borrow_mut();
            lines.record(&self.metadata, target.id_hash(), self.state.now_ms());
        }
    }

    async fn send_until_answered(&mut self) -> Result<TargetResponse, Box<Response<ResponseBody>>> {
        let mut same: Option<TargetKey> = None;
        loop {
            let placed = match same.take() {
                Some(key) => self.target_entry(key).map(|entry| (key, entry)),
                None => self.choose_target(),
            };
            let Some((key, entry)) = placed else {
                return Err(self.no_target());
            };
            let last_event_id = self.metadata.last_event_id;
            let failed = match self.attempt(key, &entry, last_event_id).await {
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            };
            match self.record_failure(key, &failed) {
                RetryDecision::AnotherTarget => {}
                RetryDecision::SameTarget => same = Some(key),
                RetryDecision::Refuse => {
                    return Err(self.refuse("no target took it", OVERLOADED_RETRY_AFTER_MS))
                }
                RetryDecision::UnknownOutcome => return Err(self.unknown(&failed.detail)),
            }
        }
    }

    pub(crate) fn target_entry(&self, key: TargetKey) -> Option<TargetEntry> {
        let targets = self.state.targets.borrow();
        targets.get(key).map(|target| target.entry.clone())
    }

    fn no_target(&self) -> Box<Response<ResponseBody>> {
        if self.attempts.may_have_run() {
            return self.unknown("no target left");
        }
        self.refuse("no target", OVERLOADED_RETRY_AFTER_MS)
    }

    fn unknown(&self, detail: &str) -> Box<Response<ResponseBody>> {
        self.record_response(StatusCode::BAD_GATEWAY, detail);
        Box::new(response::plain_text(
            StatusCode::BAD_GATEWAY,
            "no whole answer",
        ))
    }

    /// Takes note of a failed try and says what follows.
    pub(crate) fn record_failure(
        &mut self,
        key: TargetKey,
        failed: &FailedAttempt,
    ) -> RetryDecision {
        let now_ms = self.state.now_ms();
        self.attempts.record_failure(key, failed.failure);
        self.may_have_run = self.attempts.may_have_run();
        {
            let mut targets = self.state.targets.borrow_mut();
            match failed.failure {
                AttemptFailure::NotSent | AttemptFailure::OtherInstance => {
                    targets.record_unreachable(key, now_ms)
                }
                AttemptFailure::Interrupted => targets.record_failure(key, now_ms),
                AttemptFailure::NotExecuted => {}
            }
        }
        if failed.failure.is_not_executed() {
            self.excluded_targets.push(key);
        } else if let Some(entry) = self.target_entry(key) {
            let crash_tracker = Rc::clone(&self.state.crash_tracker);
            spawn_local(crash_tracker.record_if_crashed(self.fingerprint(), entry.address));
        }
        let is_listed = self.state.targets.borrow().get(key).is_some();
        let ended = failed.is_unreachable || !is_listed;
        let next = decide_retry(&self.route, &self.attempts, failed.failure, ended);
        self.state
            .metrics
            .record_failed_attempt(&failed.failure.to_string());
        log::info!(
            request = self.metadata.request_id.as_str(),
            target_id = self.target.as_str(),
            failure = failed.failure.to_string(),
            detail = failed.detail.as_str(),
            next = next.to_string();
            "try failed"
        );
        next
    }

    fn fingerprint(&self) -> u64 {
        fingerprint(self.parts.uri.path(), &self.body, &self.metadata)
    }
}

/// Time that a broken stream waits before the same target is asked again.
pub(crate) const RESUME_DELAY: Duration = Duration::from_millis(5);
