//! Forwarding of one request: route, admission, token reservation, attempts at
//! targets, response.

mod admission;
mod attempt;
mod failure;
mod permit;
mod quota;
mod reading;
mod relay;
mod sending;
mod turns;
mod version;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use http::request::Parts;
use http::uri::PathAndQuery;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, HOST, WWW_AUTHENTICATE};
use hyper::{Request, Response, StatusCode};
use lagoon_accounts::{Account, Refusal};
use lagoon_adapter::{budget_exhausted_status, decode_request_headers};
use lagoon_gateway::{
    fingerprint, place, Attempts, ChargeDecision, Config, Placement, PlacementRequest, ProgramKey,
    RequestMetadata, RetryDecision, Route, Target, TargetEntry, TargetKey,
};
use lagoon_ids::hash64;
use lagoon_limits::Demand;
use lagoon_memory::Holding;
use lagoon_streams::SoftwareId;
use lagoon_turns::TurnId;
use rand::RngExt;
use tokio::time::{timeout_at, Instant};

use crate::accounts::Identity;
use crate::body::ResponseBody;
use crate::ledger::{TokenRequest, TokenReservation};
use crate::quotas::QuotaToken;
use crate::response;
use crate::state::DaemonState;
use crate::unanswered::RequestGuard;

pub(crate) use attempt::{forwarded_head, FailedAttempt, ResponseStream, TargetResponse};
use permit::Permit;
use quota::first_token;
use reading::{header_bytes, memory_exhausted, read_body, refuse_unread};
use relay::Relay;

const RESERVATION_TIMEOUT_MS: u64 = 1_500;

/// `Retry-After` of a request refused for lack of capacity or time.
const OVERLOADED_RETRY_AFTER_MS: u64 = 200;

/// `Retry-After` while other VMs hold the rest of a budget; longer than the
/// idle time after which they release it, a quarter of the settings key
/// `limits.settle_ms` (1,000 by default).
const HELD_RETRY_AFTER_MS: u64 = 450;

/// `Retry-After` while the configuration, the targets or a budget's state is
/// unavailable, the configuration may be outdated, or a key is in doubt.
const UNAVAILABLE_RETRY_AFTER_MS: u64 = 700;

/// Ratio of a call's maximum output tokens to the expected ones, if the caller
/// gives no estimate.
const EXPECTED_TOKENS_DIVISOR: u64 = 4;

/// Bytes by which a header section may exceed its limit, as callers may count it in
/// another way.
pub(crate) const HEADER_SLACK_BYTES: u64 = 4_096;

/// Request that is being forwarded, with the state shared by its attempts.
pub(crate) struct ForwardedRequest {
    pub(crate) state: Rc<DaemonState>,
    pub(crate) caller: RequestGuard,
    pub(crate) route: Arc<Route>,
    /// Whom the request is served for.
    identity: Identity,
    pub(crate) metadata: RequestMetadata,
    pub(crate) attempts: Attempts,
    /// `None` for a request other than a model call with a budget.
    pub(crate) reservation: Option<TokenReservation>,
    /// Tokens in one event of the service's streams; 1 if its targets are not
    /// model engines.
    pub(crate) tokens_per_event: u64,
    pub(crate) arrived_ms: u64,
    pub(crate) deadline_ms: u64,
    config_version: u64,
    service: CompactString,
    /// Host that the caller addressed, in lower case.
    pub(crate) host: CompactString,
    parts: Parts,
    /// Input and output of the turns that the call continues, sent before its
    /// own body.
    chain: Vec<Bytes>,
    /// Ids of these turns as far as a record lists them, the nearest first.
    pub(crate) ancestors: Vec<TurnId>,
    pub(crate) body: Bytes,
    /// Identifies the content among requests that crash targets.
    pub(crate) fingerprint: u64,
    _body_memory: Holding,
    _chain_memory: Option<Holding>,
    excluded_targets: Vec<TargetKey>,
    demand: Demand,
    /// Permit for the next attempt; `None` if there is none, or the target has no
    /// limit.
    permit: Option<Permit>,
    /// Token of the account's quota for the next attempt, or for the one in flight.
    quota_token: Option<QuotaToken>,
    /// Whether placement leaves targets with limits out.
    skips_limited: bool,
    /// Software version of the events that the caller has; `None` before the first.
    software: Option<SoftwareId>,
    /// Whether an attempt is in flight, or has failed without proof that the
    /// target did not execute the request.
    may_have_run: bool,
    /// Last placement of an attempt, or the one by which admission was refused.
    placement: Option<Placement>,
    /// Target of the last attempt; empty before the first.
    target_id: CompactString,
    /// Its address; `None` before the first attempt.
    target_address: Option<SocketAddr>,
}

/// Forwards one request and returns its response.
pub(crate) async fn handle(
    state: Rc<DaemonState>,
    request: Request<Incoming>,
    caller: RequestGuard,
) -> Response<ResponseBody> {
    let arrived_ms = state.now_ms();
    let (parts, body) = request.into_parts();
    let metadata = decode_request_headers(&parts.headers);
    caller.set_id(&metadata.request_id);
    if !caller.claim_room() {
        let response = memory_exhausted(&state, "request");
        return refuse_unread(&state, body, &caller, response);
    }
    let limits = state.limits();
    if header_bytes(&parts.headers) > limits.max_header_bytes + HEADER_SLACK_BYTES {
        log::info!(request = metadata.request_id.as_str(), status = 431; "header section too long");
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        state.metrics.record_response(status.as_u16(), 0);
        let response = response::plain_text(status, "header section too long");
        return refuse_unread(&state, body, &caller, response);
    }
    let keyed = match check_before_body(&state, &parts, &metadata, arrived_ms) {
        Ok(keyed) => keyed,
        Err(response) => return refuse_unread(&state, body, &caller, *response),
    };
    let quota_token = match first_token(&state, keyed, &metadata, arrived_ms).await {
        Ok(token) => token,
        Err(response) => return refuse_unread(&state, body, &caller, *response),
    };
    let (body, body_memory) = match read_body(&state, body, &limits, &caller).await {
        Ok(read) => read,
        Err(response) => return *response,
    };
    let mut request = match route_request(
        state,
        parts,
        metadata,
        (body, body_memory),
        arrived_ms,
        caller,
    ) {
        Ok(request) => request,
        Err(response) => return *response,
    };
    request.quota_token = quota_token;
    request.run().await
}

/// Request with the key of an account, as known from its head.
struct KeyedRequest {
    config_version: u64,
    route: Arc<Route>,
    account: Arc<Account>,
}

/// Checks the route and the key of a request, so that the body of one that is refused uses
/// no memory. Without accounts, all bodies are read; `None` if the request is no account's.
fn check_before_body(
    state: &DaemonState,
    parts: &Parts,
    metadata: &RequestMetadata,
    arrived_ms: u64,
) -> Result<Option<KeyedRequest>, Box<Response<ResponseBody>>> {
    let config = state.config.borrow().clone();
    if config.is_none() && state.evidence.is_strict() {
        return Err(Box::new(no_configuration(state, metadata)));
    }
    let Some(config) = config.filter(|config| config.accounts.is_some()) else {
        return Ok(None);
    };
    let host = request_host(parts);
    let Some(route) = config.route(&host, parts.uri.path()) else {
        let response = no_route(state, parts, metadata, &host, &config);
        return Err(Box::new(response));
    };
    let identity = Identity::find(&config, route, &parts.headers, state.evidence.recency());
    let identity = identity.map_err(|refusal| {
        let refused = refuse_key(state, metadata, &config, route, arrived_ms, refusal);
        Box::new(refused)
    })?;
    Ok(identity.account().map(|account| KeyedRequest {
        config_version: config.version,
        route: Arc::clone(route),
        account: Arc::clone(account),
    }))
}

fn no_configuration(state: &DaemonState, metadata: &RequestMetadata) -> Response<ResponseBody> {
    log::info!(request = metadata.request_id.as_str(), account = "-", status = 503; "refused: no configuration yet");
    state.metrics.record_response(503, 0);
    response::retryable_unavailable("no configuration yet", UNAVAILABLE_RETRY_AFTER_MS)
}

/// Host that the caller addresses, in lower case.
fn request_host(parts: &Parts) -> String {
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    host.to_ascii_lowercase()
}

fn no_route(
    state: &DaemonState,
    parts: &Parts,
    metadata: &RequestMetadata,
    host: &str,
    config: &Config,
) -> Response<ResponseBody> {
    log::info!(request = metadata.request_id.as_str(), account = "-", status = 404, host, path = parts.uri.path(), config_version = config.version; "no route");
    state.metrics.record_response(404, 0);
    response::plain_text(StatusCode::NOT_FOUND, "no route")
}

/// Logs and counts a request that is refused for its key; returns the response.
fn refuse_key(
    state: &DaemonState,
    metadata: &RequestMetadata,
    config: &Config,
    route: &Route,
    arrived_ms: u64,
    refusal: Refusal,
) -> Response<ResponseBody> {
    let response = refused(refusal);
    let status = response.status().as_u16();
    let waited_ms = state.now_ms() - arrived_ms;
    log::info!(
        request = metadata.request_id.as_str(),
        account = "-",
        route = route.name.as_str(),
        config_version = config.version,
        status,
        waited_ms;
        "refused: {refusal}"
    );
    state.metrics.record_response(status, waited_ms);
    state.metrics.record_key_refusal(&refusal.to_string());
    response
}

/// Response to a request that is refused for its key.
fn refused(refusal: Refusal) -> Response<ResponseBody> {
    let why = refusal.to_string();
    if !refusal.is_final() {
        return response::retryable_unavailable(&why, UNAVAILABLE_RETRY_AFTER_MS);
    }
    let mut response = response::plain_text(StatusCode::UNAUTHORIZED, &why);
    let scheme = HeaderValue::from_static("Bearer");
    response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    response
}

/// Finds the route of a request, and the account of its key. Refuses the request with 503
/// while the configuration or the targets are unknown, with 404 if no route matches, and
/// with 401 or 503 for its key.
fn route_request(
    state: Rc<DaemonState>,
    parts: Parts,
    metadata: RequestMetadata,
    (body, body_memory): (Bytes, Holding),
    arrived_ms: u64,
    caller: RequestGuard,
) -> Result<ForwardedRequest, Box<Response<ResponseBody>>> {
    let config = state.config.borrow().clone();
    let Some(config) = config.filter(|_| state.targets_loaded.get()) else {
        return Err(Box::new(no_configuration(&state, &metadata)));
    };
    let host = request_host(&parts);
    let Some(route) = config.route(&host, parts.uri.path()).cloned() else {
        let response = no_route(&state, &parts, &metadata, &host, &config);
        return Err(Box::new(response));
    };
    // Again after the body: the configuration may have changed while it arrived, and the
    // VM may have been suspended.
    let identity = Identity::find(&config, &route, &parts.headers, state.evidence.recency());
    let identity = identity.map_err(|refusal| {
        let refused = refuse_key(&state, &metadata, &config, &route, arrived_ms, refusal);
        Box::new(refused)
    })?;
    if let Some(account) = identity.account() {
        caller.set_account(&account.name);
    }
    let path_and_query = parts.uri.path_and_query();
    let path_and_query = path_and_query.map_or(parts.uri.path(), PathAndQuery::as_str);
    let affinity_hash = hash64(metadata.affinity_key().as_bytes());
    // Without a service there is no target, so that the request is refused.
    let service = route.service(affinity_hash);
    let service = service.and_then(|name| config.service(name));
    let engine = service.and_then(|service| service.engine.clone());
    let service = service.map_or_else(CompactString::default, |service| service.name.clone());
    let wait_ms = metadata
        .deadline_ms
        .map_or(route.timeout_ms, |deadline_ms| {
            deadline_ms.min(route.timeout_ms)
        });
    Ok(ForwardedRequest {
        caller,
        attempts: Attempts::default(),
        reservation: None,
        tokens_per_event: engine.map_or(1, |engine| engine.tokens_per_event),
        arrived_ms,
        deadline_ms: arrived_ms + wait_ms,
        config_version: config.version,
        service,
        identity,
        route,
        fingerprint: fingerprint(path_and_query, &body, &metadata),
        metadata,
        host: host.split(':').next().unwrap_or_default().into(),
        parts,
        chain: Vec::new(),
        ancestors: Vec::new(),
        body,
        _body_memory: body_memory,
        _chain_memory: None,
        excluded_targets: Vec::new(),
        demand: Demand::Running,
        permit: None,
        quota_token: None,
        skips_limited: false,
        software: None,
        may_have_run: false,
        placement: None,
        target_id: CompactString::default(),
        target_address: None,
        state,
    })
}

impl ForwardedRequest {
    pub(crate) fn deadline(&self) -> Instant {
        self.state.clock.instant(self.deadline_ms)
    }

    async fn run(mut self) -> Response<ResponseBody> {
        if self.is_quarantined() {
            return *self.quarantined();
        }
        if let Err(response) = self.load_chain().await {
            return *response;
        }
        if let Err(response) = self.find_version().await {
            return *response;
        }
        if let Err(response) = self.wait_for_admission().await {
            return *response;
        }
        if let Err(response) = self.reserve_tokens().await {
            return *response;
        }
        let deadline = self.deadline();
        let result = timeout_at(deadline, self.send_with_retries()).await;
        match result {
            Ok(Ok(TargetResponse::Full(response))) => {
                self.record_response(response.status(), "answered");
                response.map(ResponseBody::full)
            }
            Ok(Ok(TargetResponse::Stream(stream))) => Relay::start(self, *stream),
            Ok(Err(response)) => *response,
            Err(_) => *self.deadline_exceeded(),
        }
    }

    fn deadline_exceeded(&self) -> Box<Response<ResponseBody>> {
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

    /// Priority of the request, 0 the highest: the account's, or else the route's.
    pub(crate) fn priority(&self) -> u32 {
        let account = self.account();
        let priority = account.and_then(|account| account.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// Account of the caller's key; `None` where callers need none.
    pub(crate) fn account(&self) -> Option<&Arc<Account>> {
        self.identity.account()
    }

    /// Name of the account for log lines; `-` without one.
    pub(crate) fn account_name(&self) -> &str {
        self.account().map_or("-", |account| account.name.as_str())
    }

    fn refuse(&self, why: &'static str, retry_after_ms: u64) -> Box<Response<ResponseBody>> {
        self.record_response(StatusCode::SERVICE_UNAVAILABLE, why);
        Box::new(response::retryable_unavailable(why, retry_after_ms))
    }

    /// Logs the response and counts it in the metrics.
    pub(crate) fn record_response(&self, status: StatusCode, why: &str) {
        let state = &self.state;
        let now_ms = state.now_ms();
        let waited_ms = now_ms - self.arrived_ms;
        state.metrics.record_response(status.as_u16(), waited_ms);
        let placement = self.placement;
        let estimate = placement.and_then(|placement| placement.estimate);
        let limit = placement.and_then(|placement| {
            let targets = state.targets.borrow();
            targets.limit(placement.key, now_ms)
        });
        log::info!(
            request = self.metadata.request_id.as_str(),
            program = self.metadata.program.as_deref().unwrap_or("-"),
            session = self.metadata.session.as_deref().unwrap_or("-"),
            account = self.account_name(),
            route = self.route.name.as_str(),
            config_version = self.config_version,
            status = status.as_u16(),
            target_id = self.target_id.as_str(),
            failed_tries = self.attempts.count(),
            prompt_parts = self.metadata.prompt_parts.len(),
            prompt_is_kept = placement.is_some_and(|placement| placement.is_preferred),
            budget_tokens = self.metadata.model_call.as_ref().map_or(0, |model_call| model_call.budget_tokens),
            used_tokens = self.reservation.as_ref().map_or(0, TokenReservation::used_tokens),
            load = placement.map_or(0.0, |placement| placement.load),
            slowness = estimate.map_or(-1.0, |estimate| estimate.slowness),
            capacity = estimate.map_or(-1.0, |estimate| estimate.capacity),
            estimate_age_ms = estimate.and_then(|estimate| estimate.age_ms).map_or(-1, |age| age as i64),
            changed_by_estimate = placement.is_some_and(|placement| placement.is_changed_by_estimate),
            load_age_ms = placement.and_then(|placement| placement.load_age_ms).map_or(-1, |age| age as i64),
            limit_per_s = limit.map_or(-1.0, |(per_s, _)| per_s),
            limit_age_ms = limit.map_or(-1, |(_, age_ms)| age_ms as i64),
            left_ms = self.deadline_ms as i64 - now_ms as i64,
            waited_ms;
            "{why}"
        );
    }

    /// Request for the maximum output tokens of a model call; `None` for other
    /// requests.
    fn token_request(&self) -> Option<TokenRequest> {
        let model_call = self.metadata.model_call.as_ref()?;
        let program = self.metadata.program.as_ref()?;
        Some(TokenRequest {
            program: ProgramKey(program.clone()),
            budget_tokens: model_call.budget_tokens,
            max_tokens: self.metadata.max_output_tokens,
            expected_tokens: self
                .metadata
                .expected_tokens
                .unwrap_or(self.metadata.max_output_tokens / EXPECTED_TOKENS_DIVISOR),
            retention_ms: self.route.retention_ms,
            origin_vm: self.state.affinity.borrow().origin_vm(&self.metadata),
        })
    }

    /// Request for the tokens by which a call's reservation falls short of its
    /// maximum; `None` if it doesn't.
    pub(crate) fn missing_tokens(&self) -> Option<TokenRequest> {
        let request = self.token_request()?;
        let granted_tokens = self.reservation.as_ref()?.granted_tokens();
        let max_tokens = request.max_tokens.checked_sub(granted_tokens)?;
        (max_tokens > 0).then(|| TokenRequest {
            max_tokens,
            expected_tokens: max_tokens / EXPECTED_TOKENS_DIVISOR,
            ..request
        })
    }

    /// Reserves the maximum output tokens of a model call from its program's
    /// budget; does nothing for other requests.
    async fn reserve_tokens(&mut self) -> Result<(), Box<Response<ResponseBody>>> {
        let Some(request) = self.token_request() else {
            return Ok(());
        };
        let budget_tokens = request.budget_tokens;
        let started_ms = self.state.now_ms();
        let deadline_ms = self.deadline_ms.min(started_ms + RESERVATION_TIMEOUT_MS);
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
                log::info!(request = self.metadata.request_id.as_str(), charged_tokens, budget_tokens, tokens = self.metadata.max_output_tokens; "budget spent");
                self.record_response(budget_exhausted_status(), "budget spent");
                Err(Box::new(response::plain_text(
                    budget_exhausted_status(),
                    "budget spent",
                )))
            }
            Err(ChargeDecision::HeldElsewhere { held_tokens }) => {
                log::info!(request = self.metadata.request_id.as_str(), held_tokens; "budget is held by other VMs");
                Err(self.refuse("budget held elsewhere", HELD_RETRY_AFTER_MS))
            }
            Err(
                ChargeDecision::Granted(_)
                | ChargeDecision::ReserveNeeded
                | ChargeDecision::Unavailable,
            ) => Err(self.refuse("budget not known", UNAVAILABLE_RETRY_AFTER_MS)),
        }
    }

    /// Computes the placement of the next attempt without recording it; `None`
    /// if no target is usable.
    fn evaluate_placement(&self) -> Option<Placement> {
        let targets = self.state.targets.borrow();
        let last_target = self.state.affinity.borrow().target_of(&self.metadata);
        let distant_targets: Vec<TargetKey> = {
            let paths = self.state.paths.borrow();
            paths.lost_targets().collect()
        };
        let request = PlacementRequest {
            service: &self.service,
            metadata: &self.metadata,
            domain: &self.state.domain,
            last_target: last_target.and_then(|hash| targets.key_by_hash(hash)),
            excluded_targets: &self.excluded_targets,
            demand: self.demand,
            skips_limited: self.skips_limited,
            software: self.software,
            distant_targets: &distant_targets,
            random: rand::rng().random(),
        };
        place(
            &targets,
            &self.state.placement_settings,
            &request,
            self.state.now_ms(),
        )
    }

    /// Chooses and records the target of the next attempt; `None` if no target
    /// is usable.
    fn choose_target(&mut self) -> Option<(TargetKey, TargetEntry)> {
        let placement = self.evaluate_placement()?;
        let entry = self.usable_target(placement.key)?;
        self.placement = Some(placement);
        self.target_id = entry.id.clone();
        Some((placement.key, entry))
    }

    /// Records that this target has the session's prompt in its cache.
    pub(crate) fn record_serving_target(&self, key: TargetKey) {
        let targets = self.state.targets.borrow();
        if let Some(target) = targets.get(key) {
            let mut affinity = self.state.affinity.borrow_mut();
            affinity.record(&self.metadata, target.id_hash(), self.state.now_ms());
        }
    }

    async fn send_with_retries(&mut self) -> Result<TargetResponse, Box<Response<ResponseBody>>> {
        let mut same_target: Option<TargetKey> = None;
        loop {
            if self.is_quarantined() {
                return Err(self.quarantined());
            }
            let Some((key, entry)) = self.claim_target(same_target.take()).await else {
                return Err(self.no_target());
            };
            if let Err(no_token) = self.obtain_quota_token().await {
                return Err(self.refuse_without_token(no_token));
            }
            let last_event_id = self.metadata.last_event_id;
            let failed = match self.attempt(key, &entry, last_event_id).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            let next = self.record_failure(key, &failed).await;
            if self.has_no_way(&failed) {
                return Err(self.refuse("no path to any target", OVERLOADED_RETRY_AFTER_MS));
            }
            match next {
                RetryDecision::AnotherTarget => {}
                RetryDecision::SameTarget(target) => {
                    self.wait_before_repeat().await;
                    same_target = Some(target);
                }
                RetryDecision::Refuse => {
                    return Err(self.refuse("no target took it", OVERLOADED_RETRY_AFTER_MS))
                }
                RetryDecision::UnknownOutcome => return Err(self.unknown_outcome(&failed.detail)),
            }
        }
    }

    /// Whether no VM carries the request from here, so that other targets can't be
    /// reached either.
    fn has_no_way(&self, failed: &FailedAttempt) -> bool {
        failed.has_no_carrier
            && !self.attempts.may_have_run()
            && self.state.paths.borrow().is_isolated()
    }

    /// Whether a target takes requests at present.
    pub(crate) fn is_usable(&self, key: TargetKey) -> bool {
        let targets = self.state.targets.borrow();
        targets.get(key).is_some_and(Target::accepts_requests)
    }

    /// Entry of a target that takes requests at present; `None` if it takes none.
    pub(crate) fn usable_target(&self, key: TargetKey) -> Option<TargetEntry> {
        let targets = self.state.targets.borrow();
        let target = targets
            .get(key)
            .filter(|target| target.accepts_requests())?;
        Some(target.entry.clone())
    }

    fn no_target(&self) -> Box<Response<ResponseBody>> {
        if self.attempts.may_have_run() {
            return self.unknown_outcome("no target left");
        }
        let why = match self.software {
            Some(_) => "no target of the stream's version",
            None => "no target",
        };
        self.refuse_at_limits()
            .unwrap_or_else(|| self.refuse(why, OVERLOADED_RETRY_AFTER_MS))
    }

    fn unknown_outcome(&self, detail: &str) -> Box<Response<ResponseBody>> {
        self.record_response(StatusCode::BAD_GATEWAY, detail);
        Box::new(response::plain_text(
            StatusCode::BAD_GATEWAY,
            "no whole answer",
        ))
    }
}
