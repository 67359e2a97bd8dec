//! Tokens of the account's quota for the attempts of a request.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use lagoon_accounts::{Account, Quota};
use lagoon_gateway::RequestMetadata;
use lagoon_limits::Demand;
use lagoon_quotas::RequestClass;
use tokio::time::{sleep, Instant};

use crate::body::ResponseBody;
use crate::forward::{ForwardedRequest, KeyedRequest};
use crate::quotas::{NoToken, QuotaToken};
use crate::response;
use crate::state::DaemonState;

const AT_LIMIT: &str = "account is at its limit";
const NO_GRANTOR: &str = "quota of the account not known";

/// Maximum time that an interrupted stream waits for a token. A caller that is refused
/// comes back; a stream that isn't resumed ends its program.
const MAX_RESUME_WAIT: Duration = Duration::from_millis(1_000);

/// Maximum time that a request of a program that has begun waits for a token that is
/// reserved for it, before its body is read. Its refusal may end the program, whose work
/// so far is then lost: with 250 ms, 17% of the programs of small accounts were lost so.
const MAX_RUNNING_WAIT: Duration = Duration::from_millis(1_000);

/// Maximum time that a further attempt of such a request waits for a token. It holds a
/// slot of its target meanwhile.
const MAX_ATTEMPT_WAIT: Duration = Duration::from_millis(250);

/// Part of the time that a request has left for which it may wait for a token, as a divisor.
/// The rest is for the target: a request that waits until its deadline waits for nothing.
const WAIT_DIVISOR: u32 = 2;

/// Maximum time that a request of no program waits for a token. Only it is lost if it is
/// refused, and no token is reserved for it.
const MAX_OTHER_WAIT: Duration = Duration::from_millis(250);

/// Token for the first attempt of a request, before its body is read; `None` if it is no
/// account's, or its account has no quota.
pub(super) async fn first_token(
    state: &Rc<DaemonState>,
    keyed: Option<KeyedRequest>,
    metadata: &RequestMetadata,
    arrived_ms: u64,
) -> Result<Option<QuotaToken>, Box<Response<ResponseBody>>> {
    let Some(KeyedRequest {
        config_version,
        route,
        account,
    }) = keyed
    else {
        return Ok(None);
    };
    let Some(quota) = account.quota else {
        return Ok(None);
    };
    let class = match begins_program(state, metadata) {
        true => RequestClass::NewProgram,
        false => RequestClass::Running,
    };
    let is_program = metadata.program.is_some();
    let (max_wait, retry_wait) = match class {
        RequestClass::NewProgram => (Duration::ZERO, Duration::ZERO),
        RequestClass::Running if is_program => {
            let left = metadata.deadline_ms.map(Duration::from_millis);
            let max_wait = left.map_or(MAX_RUNNING_WAIT, |left| {
                MAX_RUNNING_WAIT.min(left / WAIT_DIVISOR)
            });
            (max_wait, Duration::ZERO)
        }
        RequestClass::Running => (Duration::ZERO, MAX_OTHER_WAIT),
    };
    let wait_until = Instant::now() + retry_wait;
    let no_token = loop {
        let token = state
            .quotas
            .take_token(&account, quota, config_version, class, max_wait);
        let no_token = match token.await {
            Ok(token) => return Ok(Some(token)),
            Err(no_token) => no_token,
        };
        let wait = Duration::from_millis(no_token.retry_ms());
        if Instant::now() + wait > wait_until {
            break no_token;
        }
        sleep(wait).await;
    };
    let response = refusal(no_token);
    let status = response.status().as_u16();
    let waited_ms = state.now_ms() - arrived_ms;
    state.metrics.record_response(status, waited_ms);
    log::info!(
        request = metadata.request_id.as_str(),
        program = metadata.program.as_deref().unwrap_or("-"),
        account = account.name.as_str(),
        route = route.name.as_str(),
        config_version,
        status,
        rate_per_s = quota.rate_per_s,
        burst = quota.burst,
        is_new = class == RequestClass::NewProgram,
        retry_ms = no_token.retry_ms(),
        waited_ms;
        "{}", reason(no_token)
    );
    Err(Box::new(response))
}

fn with_quota(account: &Arc<Account>) -> Option<(Arc<Account>, Quota)> {
    Some((Arc::clone(account), account.quota?))
}

/// Whether this is the first model call of a program, as far as it is known before the
/// body was read.
fn begins_program(state: &DaemonState, metadata: &RequestMetadata) -> bool {
    let is_call = metadata.model_call.is_some();
    let continues = metadata.previous_turn.is_some() || metadata.last_event_id.is_some();
    is_call && !continues && state.affinity.borrow().target_of(metadata).is_none()
}

fn reason(no_token: NoToken) -> &'static str {
    match no_token {
        NoToken::AtLimit { .. } => AT_LIMIT,
        NoToken::NoGrantor { .. } => NO_GRANTOR,
    }
}

/// Response to a request that was not executed.
fn refusal(no_token: NoToken) -> Response<ResponseBody> {
    match no_token {
        NoToken::AtLimit { retry_ms } => response::too_many_requests(AT_LIMIT, retry_ms),
        NoToken::NoGrantor { retry_ms } => response::retryable_unavailable(NO_GRANTOR, retry_ms),
    }
}

impl ForwardedRequest {
    /// Gets a token for the next attempt, unless the request has one or needs none.
    pub(super) async fn obtain_quota_token(&mut self) -> Result<(), NoToken> {
        let left = self.deadline().saturating_duration_since(Instant::now());
        let max_wait = match self.metadata.program {
            Some(_) => MAX_ATTEMPT_WAIT.min(left / WAIT_DIVISOR),
            None => Duration::ZERO,
        };
        self.obtain_quota_token_within(max_wait).await
    }

    async fn obtain_quota_token_within(&mut self, max_wait: Duration) -> Result<(), NoToken> {
        let Some((account, quota)) = self.account().and_then(with_quota) else {
            self.quota_token = None;
            return Ok(());
        };
        let is_usable = |token: &QuotaToken| token.account == account.hash && token.is_usable();
        if self.quota_token.as_ref().is_some_and(is_usable) {
            return Ok(());
        }
        self.quota_token = None;
        let class = match self.demand {
            Demand::Running => RequestClass::Running,
            Demand::NewProgram { .. } => RequestClass::NewProgram,
        };
        let quotas = &self.state.quotas;
        let token = quotas.take_token(&account, quota, self.config_version, class, max_wait);
        self.quota_token = match token.await {
            Ok(token) => Some(token),
            Err(no_token) => {
                log::info!(
                    request = self.metadata.request_id.as_str(),
                    account = account.name.as_str(),
                    rate_per_s = quota.rate_per_s,
                    burst = quota.burst,
                    is_new = class == RequestClass::NewProgram,
                    failed_tries = self.attempts.count(),
                    retry_ms = no_token.retry_ms();
                    "no token for another attempt: {}", reason(no_token)
                );
                return Err(no_token);
            }
        };
        Ok(())
    }

    /// Gets a token to resume a stream with, and waits for it for a short time.
    pub(super) async fn wait_for_quota_token(&mut self) -> bool {
        let wait_until = self.deadline().min(Instant::now() + MAX_RESUME_WAIT);
        loop {
            let left = wait_until.saturating_duration_since(Instant::now());
            let Err(no_token) = self.obtain_quota_token_within(left).await else {
                return true;
            };
            let wait = Duration::from_millis(no_token.retry_ms());
            if Instant::now() + wait > wait_until {
                return false;
            }
            sleep(wait).await;
        }
    }

    /// Keeps the token of an attempt that was not executed.
    pub(super) fn keep_quota_token(&mut self) {
        if let Some(token) = &mut self.quota_token {
            token.record_not_executed();
        }
    }

    /// Response to a request for whose next attempt there is no token.
    pub(super) fn refuse_without_token(&self, no_token: NoToken) -> Box<Response<ResponseBody>> {
        if self.attempts.may_have_run() {
            return self.unknown_outcome(reason(no_token));
        }
        let response = refusal(no_token);
        self.record_response(response.status(), reason(no_token));
        Box::new(response)
    }
}
