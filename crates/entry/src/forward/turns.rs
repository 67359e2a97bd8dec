//! Chain of the kept turns that a call continues.

use hyper::{Response, StatusCode};
use lagoon_turns::{Turn, TurnId, TurnOutput};
use tokio::time::timeout_at;

use crate::accounts::Identity;
use crate::body::ResponseBody;
use crate::clock::unix_now_ms;
use crate::forward::{ForwardedRequest, OVERLOADED_RETRY_AFTER_MS};
use crate::response;
use crate::turns::LookupFailure;

/// Maximum time to find a chain.
const LOOKUP_TIMEOUT_MS: u64 = 1_000;

/// Maximum time to make a turn safe after the target's last event.
const KEEP_TIMEOUT_MS: u64 = 1_500;

/// `Retry-After` while it isn't known whether a turn exists.
const UNCERTAIN_RETRY_AFTER_MS: u64 = 300;

impl ForwardedRequest {
    /// Finds the chain of a call on a route that keeps turns. Refuses the call
    /// with 400 if it names no possible turn, with 404 if the turn never existed,
    /// and with 503 if that isn't certain.
    pub(super) async fn load_chain(&mut self) -> Result<(), Box<Response<ResponseBody>>> {
        if !self.route.keeps_turns {
            return Ok(());
        }
        if self.metadata.last_event_id.is_some() {
            // The events before it belong to the turn, and are not known here.
            return Err(self.refuse("a kept turn can't be resumed", OVERLOADED_RETRY_AFTER_MS));
        }
        let Ok(id) = TurnId::parse(&self.metadata.request_id) else {
            return Err(self.bad_turn("a kept turn needs a request id"));
        };
        if self.kept_id(&id).is_none() {
            return Err(self.bad_turn("a kept turn can't have this request id"));
        }
        let Some(previous) = &self.metadata.previous_turn else {
            return Ok(());
        };
        let Ok(previous) = TurnId::parse(previous) else {
            return Err(self.bad_turn("the previous turn is not an id"));
        };
        if previous.as_str() == self.metadata.request_id {
            return Err(self.bad_turn("a turn can't continue itself"));
        }
        let Some(previous) = self.kept_id(&previous) else {
            return Err(self.no_such_turn());
        };
        let hint = self.state.affinity.borrow().origin_vm(&self.metadata);
        let deadline_ms = self
            .deadline_ms
            .min(self.state.now_ms() + LOOKUP_TIMEOUT_MS);
        let deadline = self.state.clock.instant(deadline_ms);
        let keeper = &self.state.turn_keeper;
        let found = timeout_at(deadline, keeper.find_chain(&previous, hint)).await;
        let chain = match found.unwrap_or(Err(LookupFailure::Uncertain)) {
            Ok(chain) => chain,
            Err(LookupFailure::NeverExisted) => return Err(self.no_such_turn()),
            Err(LookupFailure::Uncertain) => {
                return Err(self.refuse("previous turn not certain", UNCERTAIN_RETRY_AFTER_MS));
            }
        };
        if chain.turns().iter().any(|turn| turn.host != self.host) {
            return Err(self.bad_turn("the previous turn belongs to another host"));
        }
        let chunks = chain.chunks();
        let chain_bytes = chunks.iter().map(|chunk| chunk.len() as u64).sum();
        self._chain_memory = self.state.reserve_body_memory(chain_bytes);
        if self._chain_memory.is_none() {
            return Err(self.refuse("too many bytes are held", OVERLOADED_RETRY_AFTER_MS));
        }
        keeper.extend(chain.turns());
        let last = chain.turns().last();
        self.ancestors = last.map_or_else(Vec::new, |turn| turn.ancestors_of_next());
        self.chain = chunks;
        Ok(())
    }

    /// Id under which the keeper has a turn that the caller names. `None` for one that may
    /// be an account's, if the caller has no account.
    fn kept_id(&self, id: &TurnId) -> Option<TurnId> {
        match &self.identity {
            Identity::NoAccounts => Some(id.clone()),
            Identity::Public => (!id.is_of_account()).then(|| id.clone()),
            Identity::Account(account) => Some(id.of_account(account.hash)),
        }
    }

    fn no_such_turn(&self) -> Box<Response<ResponseBody>> {
        self.record_response(StatusCode::NOT_FOUND, "no such turn");
        let response = response::plain_text(StatusCode::NOT_FOUND, "no such turn");
        Box::new(response)
    }

    fn bad_turn(&self, why: &'static str) -> Box<Response<ResponseBody>> {
        self.record_response(StatusCode::BAD_REQUEST, why);
        Box::new(response::plain_text(StatusCode::BAD_REQUEST, why))
    }

    /// Makes the turn of this call safe, so that a later call can continue it;
    /// `false` if that fails. Does nothing on a route that keeps no turns.
    pub(crate) async fn keep_turn(&self, output: TurnOutput) -> bool {
        if !self.route.keeps_turns {
            return true;
        }
        let id = TurnId::parse(&self.metadata.request_id).ok();
        let Some(id) = id.and_then(|id| self.kept_id(&id)) else {
            return false;
        };
        let turn = Turn {
            id,
            ancestors: self.ancestors.clone(),
            host: self.host.clone(),
            retention_ms: self.route.retention_ms,
            ended_unix_ms: unix_now_ms(),
            input: self.body.clone(),
            output: output.into_bytes(),
        };
        let now_ms = self.state.now_ms();
        let deadline_ms = self.deadline_ms.min(now_ms + KEEP_TIMEOUT_MS);
        let deadline = self.state.clock.instant(deadline_ms);
        self.state.turn_keeper.keep(turn, deadline).await
    }
}
