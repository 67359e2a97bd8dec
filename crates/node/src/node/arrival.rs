//! Validation and routing of calls from callers and from other VMs.

use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::{AccountName, CallKey, MarketName, NameError, ProgramId};

use crate::event::{CallRef, CallerRequest};
use crate::message::{ForwardedCall, PeerMessage, ResponseFrame};
use crate::node::call::Subscriber;
use crate::node::forward::ForwardState;
use crate::node::ownership::Route;
use crate::node::Node;
use crate::request::CallRequest;

/// Call that has not been routed to its owner yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    pub(crate) request: CallRequest,
    pub(crate) subscriber: Subscriber,
    /// Number of times the call has been forwarded or rerouted.
    pub(crate) hops: u8,
    /// Whether the row that names the family's owner was already read.
    pub(crate) owner_looked_up: bool,
}

impl Node {
    pub(super) fn on_call(&mut self, call_ref: CallRef, request: CallerRequest) {
        match self.validate(request) {
            Ok(request) => self.route_call(PendingCall {
                request,
                subscriber: Subscriber::Local(call_ref),
                hops: 0,
                owner_looked_up: false,
            }),
            Err(error) => self.reply(call_ref, ResponseFrame::Failed { call: None, error }),
        }
    }

    /// Returns the account of an API key and the account's market.
    fn authenticate(&self, api_key: &str) -> Result<(AccountName, MarketName), CallError> {
        let Some(sheet) = &self.config.sheet else {
            let reason = self.not_ready_reason().unwrap_or_default();
            return Err(CallError::new(ErrorKind::NotReady, reason));
        };
        match sheet.account(api_key) {
            Some(account) => {
                let market = sheet.market(account.market).name.clone();
                Ok((account.name.clone(), market))
            }
            None => Err(CallError::new(
                ErrorKind::Unauthorized,
                "API key is not known",
            )),
        }
    }

    /// Validates a caller's request and determines its program.
    fn validate(&mut self, request: CallerRequest) -> Result<CallRequest, CallError> {
        let (account, market) = self.authenticate(&request.api_key)?;
        let has_program_id = request.program.is_some();
        let program = self.program_id(&request)?;
        let newly_issued = !has_program_id && program.parent().is_none();
        if request.number == Some(0) {
            return Err(CallError::new(
                ErrorKind::BadRequest,
                "Lagoon-Call counts from 1",
            ));
        }
        Ok(CallRequest {
            key: CallKey {
                program,
                number: request.number.unwrap_or(1),
            },
            auto_numbered: request.number.is_none(),
            has_program_id,
            newly_issued,
            account,
            market,
            window_ms: request.window_ms,
            budget_tokens: request.budget_tokens,
            continuation: request.continuation,
            kind: request.kind,
            content_type: request.content_type,
            body: request.body,
            content_hash: request.content_hash,
            trace: request.trace,
        })
    }

    fn program_id(&mut self, request: &CallerRequest) -> Result<ProgramId, CallError> {
        let own_id = match &request.program {
            Some(text) => parse_program_id("Lagoon-Program", text)?,
            None => self.issue_program_id()?,
        };
        let program = match &request.parent {
            Some(text) => {
                let parent = parse_program_id("Lagoon-Parent", text)?;
                // An issued identifier encodes its owner, but a child program belongs to
                // its parent's owner, so the separators of an issued identifier are replaced.
                let own_id = own_id.as_str().replace([':', '~'], ".");
                let own_id: ProgramId = own_id
                    .parse()
                    .map_err(|error| name_error("Lagoon-Program", &error))?;
                own_id
                    .with_parent(&parent)
                    .map_err(|error| name_error("Lagoon-Parent", &error))?
            }
            None => own_id,
        };
        Ok(program)
    }

    fn issue_program_id(&mut self) -> Result<ProgramId, CallError> {
        self.ownership.issued += 1;
        ProgramId::issued(self.incarnation(), self.ownership.issued)
            .map_err(|error| name_error("vm.name", &error))
    }

    /// Accepts a call on this VM or sends it to the program's owner.
    pub(super) fn route_call(&mut self, pending: PendingCall) {
        match self.route(&pending.request.key.program) {
            Route::Local => self.accept_or_hold(pending),
            Route::Peer(address) => self.forward_or_redirect(pending, address),
            Route::Lookup(incarnation) => self.look_up_incarnation(incarnation, pending),
            Route::Reject(error) => self.fail_pending(pending, error),
        }
    }

    fn accept_or_hold(&mut self, pending: PendingCall) {
        if self.needs_owner_lookup(&pending) {
            self.look_up_family(pending);
            return;
        }
        let in_flight = self.calls_by_key.contains_key(&pending.request.key);
        let pending = if in_flight {
            Some(pending)
        } else {
            self.hold_until_handover(pending)
        };
        if let Some(pending) = pending {
            self.accept(pending.request, pending.subscriber);
        }
    }

    /// Whether another VM may own this family without this VM knowing.
    ///
    /// The first call of a program needs no lookup: it claims the family, which fails if the
    /// family has an owner.
    fn needs_owner_lookup(&self, pending: &PendingCall) -> bool {
        let program = &pending.request.key.program;
        let first = pending.request.key.number == 1 && program.parent().is_none();
        !first
            && !pending.owner_looked_up
            && program.issuer().is_none()
            && !self.has_family(program)
    }

    fn forward_or_redirect(&mut self, pending: PendingCall, address: std::net::SocketAddr) {
        match pending.subscriber {
            Subscriber::Local(call_ref) => {
                let forward =
                    ForwardState::new(pending.request, address, pending.hops, self.now_us);
                self.forwards.insert(call_ref, forward);
                self.send_forward(call_ref);
            }
            Subscriber::Peer { .. } => {
                let owner = self.redirect_owner(&pending.request.key.program);
                match (owner, &pending.subscriber) {
                    (
                        Some(owner),
                        Subscriber::Peer {
                            address, call_ref, ..
                        },
                    ) => {
                        let message = PeerMessage::Redirect {
                            call_ref: *call_ref,
                            owner,
                        };
                        self.send(*address, message);
                    }
                    _ => {
                        let error = CallError::new(
                            ErrorKind::OwnerUnreachable,
                            "VMs disagree on the owner",
                        );
                        self.fail_pending(pending, error.with_retry_after_s(1));
                    }
                }
            }
        }
    }

    /// Handles a call that another VM forwarded to this VM as the owner.
    pub(super) fn on_forward(&mut self, forwarded: ForwardedCall) {
        let subscriber = Subscriber::Peer {
            vm: forwarded.origin,
            address: forwarded.origin_address,
            call_ref: forwarded.call_ref,
        };
        let pending = PendingCall {
            request: forwarded.request,
            subscriber,
            hops: forwarded.hops,
            owner_looked_up: false,
        };
        // The sender chose this VM by its own view of the membership, which may be newer than
        // this VM's. So a family without a known owner is accepted, not routed again.
        let program = &pending.request.key.program;
        let unclaimed = program.issuer().is_none() && self.cached_owner(program).is_none();
        if unclaimed {
            self.accept_or_hold(pending);
        } else {
            self.route_call(pending);
        }
    }

    pub(super) fn fail_pending(&mut self, pending: PendingCall, error: CallError) {
        let frame = ResponseFrame::Failed {
            call: Some(pending.request.key),
            error,
        };
        self.send_frame(&pending.subscriber, frame);
    }

    pub(super) fn on_end_program(&mut self, call_ref: CallRef, api_key: &str, program: &str) {
        let checked = self
            .authenticate(api_key)
            .and_then(|(account, _)| Ok((account, parse_program_id("program", program)?)));
        let (account, program) = match checked {
            Ok(checked) => checked,
            Err(error) => {
                self.reply(call_ref, ResponseFrame::Failed { call: None, error });
                return;
            }
        };
        let subscriber = Subscriber::Local(call_ref);
        match self.route(&program) {
            Route::Local => self.end_program(&subscriber, &account, &program),
            Route::Peer(address) => {
                let message = PeerMessage::EndProgram {
                    call_ref,
                    origin: self.settings.vm.clone(),
                    origin_address: self.settings.peer_address,
                    account,
                    program,
                };
                self.send(address, message);
            }
            Route::Lookup(incarnation) => {
                let detail = format!("owner {incarnation} is not known yet");
                let error = CallError::new(ErrorKind::OwnerUnreachable, detail);
                self.send_frame(&subscriber, ResponseFrame::Failed { call: None, error });
            }
            Route::Reject(error) => {
                self.send_frame(&subscriber, ResponseFrame::Failed { call: None, error })
            }
        }
    }
}

fn parse_program_id(header: &str, text: &str) -> Result<ProgramId, CallError> {
    text.parse().map_err(|error| name_error(header, &error))
}

fn name_error(header: &str, error: &NameError) -> CallError {
    CallError::new(ErrorKind::BadRequest, format!("{header} {error}"))
}
