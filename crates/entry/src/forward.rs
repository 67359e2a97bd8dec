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

use crate::body::ReplyBody;
use crate::ledger::{Charge, Charged};
use crate::relay::Relay;
use crate::reply;
use crate::shared::{Held, Shared};

pub(crate) use attempt::{passed_on, Answer, Failed, OpenStream};
use reading::read_body;

/// Longest wait for a budget's charge.
const CHARGE_WAIT_MS: u64 = 1_500;

/// Time to come back after a refusal for want of a place.
const BUSY_RETRY_MS: u64 = 200;

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
pub(crate) struct Call {
    pub(crate) shared: Rc<Shared>,
    pub(crate) route: Arc<Route>,
    pub(crate) facts: RequestMetadata,
    pub(crate) attempts: Attempts,
    pub(crate) charged: Option<Charged>,
    pub(crate) tokens_per_event: u64,
    pub(crate) arrived_ms: u64,
    pub(crate) until_ms: u64,
    config_version: u64,
    service: CompactString,
    parts: Parts,
    body: Bytes,
    _held: Held,
    avoid: Vec<TargetKey>,
    /// Whether a try is under way or has ended without the word that it did
    /// not run.
    may_run: bool,
    choice: Option<Placement>,
    target: CompactString,
}

/// Answers one request.
pub(crate) async fn handle(shared: Rc<Shared>, request: Request<Incoming>) -> Response<ReplyBody> {
    let arrived_ms = shared.now_ms();
    let (parts, body) = request.into_parts();
    let limits = shared.limits();
    let (body, held) = match read_body(&shared, body, &limits).await {
        Ok(read) => read,
        Err(answer) => return *answer,
    };
    let call = match admit(shared, parts, body, held, arrived_ms) {
        Ok(call) => call,
        Err(answer) => return *answer,
    };
    call.run().await
}

/// Finds the route of a request.
fn admit(
    shared: Rc<Shared>,
    parts: Parts,
    body: Bytes,
    held: Held,
    arrived_ms: u64,
) -> Result<Call, Box<Response<ReplyBody>>> {
    let facts = decode_request_headers(&parts.headers);
    let config = shared.config.borrow().clone();
    let Some(config) = config.filter(|_| shared.targets_known.get()) else {
        log::info!(request = facts.request_id.as_str(), status = 503; "refused: no configuration yet");
        shared.metrics.answer(503, 0);
        return Err(Box::new(reply::refusal(
            "no configuration yet",
            AWAY_RETRY_MS,
        )));
    };
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let route = config.route(host, parts.uri.path()).cloned();
    let Some(route) = route else {
        log::info!(request = facts.request_id.as_str(), status = 404, host, path = parts.uri.path(), config_version = config.version; "no route");
        shared.metrics.answer(404, 0);
        return Err(Box::new(reply::text(StatusCode::NOT_FOUND, "no route")));
    };
    let subject = hash64(facts.affinity_key().as_bytes());
    let service = route.service(subject).cloned().unwrap_or_default();
    let engine = config.service(&service).and_then(|s| s.engine.clone());
    let wait_ms = facts.deadline_ms.map_or(route.timeout_ms, |deadline_ms| {
        deadline_ms.min(route.timeout_ms)
    });
    Ok(Call {
        attempts: Attempts::default(),
        charged: None,
        tokens_per_event: engine.map_or(1, |engine| engine.tokens_per_event),
        arrived_ms,
        until_ms: arrived_ms + wait_ms,
        config_version: config.version,
        service,
        route,
        facts,
        parts,
        body,
        _held: held,
        avoid: Vec::new(),
        may_run: false,
        choice: None,
        target: CompactString::default(),
        shared,
    })
}

impl Call {
    pub(crate) fn until(&self) -> Instant {
        self.shared.clock.instant(self.until_ms)
    }

    async fn run(mut self) -> Response<ReplyBody> {
        if self.shared.crashes.is_refused(self.fingerprint()) {
            return *self.refuse("crashed several targets", CRASHER_RETRY_MS);
        }
        if let Err(answer) = self.wait_for_place().await {
            return *answer;
        }
        if let Err(answer) = self.charge().await {
            return *answer;
        }
        let until = self.until();
        let end = timeout_at(until, self.send_until_answered()).await;
        match end {
            Ok(Ok(Answer::Whole(answer))) => {
                self.finished(answer.status(), "answered");
                answer.map(ReplyBody::whole)
            }
            Ok(Ok(Answer::Stream(stream))) => Relay::start(self, *stream),
            Ok(Err(answer)) => *answer,
            Err(_) => *self.out_of_time(),
        }
    }

    fn out_of_time(&self) -> Box<Response<ReplyBody>> {
        if self.may_run {
            self.finished(StatusCode::GATEWAY_TIMEOUT, "out of time at a target");
            Box::new(reply::text(StatusCode::GATEWAY_TIMEOUT, "out of time"))
        } else {
            self.refuse("out of time", BUSY_RETRY_MS)
        }
    }

    fn refuse(&self, why: &'static str, retry_after_ms: u64) -> Box<Response<ReplyBody>> {
        self.finished(StatusCode::SERVICE_UNAVAILABLE, why);
        Box::new(reply::refusal(why, retry_after_ms))
    }

    /// Logs and counts the answer.
    pub(crate) fn finished(&self, status: StatusCode, why: &str) {
        let shared = &self.shared;
        let now_ms = shared.now_ms();
        let waited_ms = now_ms - self.arrived_ms;
        shared.metrics.answer(status.as_u16(), waited_ms);
        let choice = self.choice;
        log::info!(
            request = self.facts.request_id.as_str(),
            program = self.facts.program.as_deref().unwrap_or("-"),
            session = self.facts.session.as_deref().unwrap_or("-"),
            route = self.route.name.as_str(),
            config_version = self.config_version,
            status = status.as_u16(),
            target_id = self.target.as_str(),
            failed_tries = self.attempts.count(),
            prompt_parts = self.facts.prompt_parts.len(),
            prompt_is_kept = choice.is_some_and(|choice| choice.is_preferred),
            budget_tokens = self.facts.model_call.as_ref().map_or(0, |turn| turn.budget_tokens),
            used_tokens = self.charged.as_ref().map_or(0, Charged::used_tokens),
            load = choice.map_or(0.0, |choice| choice.load),
            load_age_ms = choice.and_then(|choice| choice.load_age_ms).map_or(-1, |age| age as i64),
            left_ms = self.until_ms as i64 - now_ms as i64,
            waited_ms;
            "{why}"
        );
    }

    /// Charges the most tokens of a model call to its program.
    async fn charge(&mut self) -> Result<(), Box<Response<ReplyBody>>> {
        let (Some(turn), Some(program)) = (&self.facts.model_call, &self.facts.program) else {
            return Ok(());
        };
        let charge = Charge {
            program: ProgramKey(program.clone()),
            budget_tokens: turn.budget_tokens,
            tokens: self.facts.max_output_tokens,
            expected_tokens: self
                .facts
                .expected_tokens
                .unwrap_or(self.facts.max_output_tokens / UNHINTED_DIVISOR),
            retention_ms: self.route.retention_ms,
            first_vm: self.shared.lines.borrow().origin_vm(&self.facts),
        };
        let started_ms = self.shared.now_ms();
        let until_ms = self.until_ms.min(started_ms + CHARGE_WAIT_MS);
        let until = self.shared.clock.instant(until_ms);
        let decision = self.shared.ledger.charge(charge, until).await;
        self.shared
            .metrics
            .charge(self.shared.now_ms() - started_ms);
        match decision {
            Ok(charged) => {
                self.charged = Some(charged);
                Ok(())
            }
            Err(ChargeDecision::Exhausted { charged_tokens }) => {
                let budget_tokens = turn.budget_tokens;
                log::info!(request = self.facts.request_id.as_str(), charged_tokens, budget_tokens, tokens = self.facts.max_output_tokens; "budget spent");
                self.finished(budget_exhausted_status(), "budget spent");
                Err(Box::new(reply::text(
                    budget_exhausted_status(),
                    "budget spent",
                )))
            }
            Err(ChargeDecision::HeldElsewhere { held_tokens }) => {
                log::info!(request = self.facts.request_id.as_str(), held_tokens; "budget is held by other VMs");
                Err(self.refuse("budget held elsewhere", HELD_RETRY_MS))
            }
            Err(ChargeDecision::Granted(_) | ChargeDecision::Unavailable) => {
                Err(self.refuse("budget not known", AWAY_RETRY_MS))
            }
        }
    }

    /// Target that the next try would go to.
    fn place(&self) -> Option<Placement> {
        let targets = self.shared.targets.borrow();
        let last = self.shared.lines.borrow().target_of(&self.facts);
        let ask = PlacementRequest {
            service: &self.service,
            metadata: &self.facts,
            domain: &self.shared.domain,
            last_target: last.and_then(|tag| targets.key_by_hash(tag)),
            excluded_targets: &self.avoid,
            random: rand::rng().random(),
        };
        place(&targets, &self.shared.placement, &ask, self.shared.now_ms())
    }

    /// Chooses a target for the next try.
    pub(crate) fn choose(&mut self) -> Option<(TargetKey, TargetEntry)> {
        let choice = self.place()?;
        let entry = self.entry(choice.key)?;
        self.choice = Some(choice);
        self.target = entry.id.clone();
        Some((choice.key, entry))
    }

    /// Takes note of the target that keeps the prompt of the line.
    pub(crate) fn served_by(&self, key: TargetKey) {
        let targets = self.shared.targets.borrow();
        if let Some(target) = targets.get(key) {
            let mut lines = self.shared.lines.borrow_mut();
            lines.record(&self.facts, target.id_hash(), self.shared.now_ms());
        }
    }

    async fn send_until_answered(&mut self) -> Result<Answer, Box<Response<ReplyBody>>> {
        let mut same: Option<TargetKey> = None;
        loop {
            let placed = match same.take() {
                Some(key) => self.entry(key).map(|entry| (key, entry)),
                None => self.choose(),
            };
            let Some((key, entry)) = placed else {
                return Err(self.no_target());
            };
            let last_event_id = self.facts.last_event_id;
            let failed = match self.try_target(key, &entry, last_event_id).await {
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            };
            match self.after(key, &failed) {
                RetryDecision::AnotherTarget => {}
                RetryDecision::SameTarget => same = Some(key),
                RetryDecision::Refuse => {
                    return Err(self.refuse("no target took it", BUSY_RETRY_MS))
                }
                RetryDecision::UnknownOutcome => return Err(self.unknown(&failed.detail)),
            }
        }
    }

    pub(crate) fn entry(&self, key: TargetKey) -> Option<TargetEntry> {
        let targets = self.shared.targets.borrow();
        targets.get(key).map(|target| target.entry.clone())
    }

    fn no_target(&self) -> Box<Response<ReplyBody>> {
        if self.attempts.may_have_run() {
            return self.unknown("no target left");
        }
        self.refuse("no target", BUSY_RETRY_MS)
    }

    fn unknown(&self, detail: &str) -> Box<Response<ReplyBody>> {
        self.finished(StatusCode::BAD_GATEWAY, detail);
        Box::new(reply::text(StatusCode::BAD_GATEWAY, "no whole answer"))
    }

    /// Takes note of a failed try and says what follows.
    pub(crate) fn after(&mut self, key: TargetKey, failed: &Failed) -> RetryDecision {
        let now_ms = self.shared.now_ms();
        self.attempts.record_failure(key, failed.failure);
        self.may_run = self.attempts.may_have_run();
        {
            let mut targets = self.shared.targets.borrow_mut();
            match failed.failure {
                AttemptFailure::NotSent | AttemptFailure::OtherInstance => {
                    targets.record_unreachable(key, now_ms)
                }
                AttemptFailure::Interrupted => targets.record_failure(key, now_ms),
                AttemptFailure::NotExecuted => {}
            }
        }
        if failed.failure.is_not_executed() {
            self.avoid.push(key);
        } else if let Some(entry) = self.entry(key) {
            let crashes = Rc::clone(&self.shared.crashes);
            spawn_local(crashes.look(self.fingerprint(), entry.address));
        }
        let is_listed = self.shared.targets.borrow().get(key).is_some();
        let ended = failed.is_unreachable || !is_listed;
        let next = decide_retry(&self.route, &self.attempts, failed.failure, ended);
        self.shared.metrics.failed_try(&failed.failure.to_string());
        log::info!(
            request = self.facts.request_id.as_str(),
            target_id = self.target.as_str(),
            failure = failed.failure.to_string(),
            detail = failed.detail.as_str(),
            next = next.to_string();
            "try failed"
        );
        next
    }

    fn fingerprint(&self) -> u64 {
        fingerprint(self.parts.uri.path(), &self.body, &self.facts)
    }
}

/// Time that a broken stream waits before the same target is asked again.
pub(crate) const RESUME_PAUSE: Duration = Duration::from_millis(5);
