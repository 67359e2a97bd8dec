//! Calls that reach this VM, from callers and from other VMs.

use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::{AccountName, CallKey, MarketName, NameError, ProgramId};

use crate::event::{CallRef, CallerRequest};
use crate::message::{ForwardedCall, PeerMessage, ResponseFrame};
use crate::node::call::Subscriber;
use crate::node::forward::Forwarding;
use crate::node::ownership::Route;
use crate::node::Node;
use crate::request::CallRequest;

/// Call that has not found its owner yet.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) request: CallRequest,
    pub(crate) subscriber: Subscriber,
    pub(crate) hops: u8,
    /// Whether the table was asked who claimed the family.
    pub(crate) looked_up: bool,
}

impl Node {
    pub(super) fn on_call(&mut self, call_ref: CallRef, incoming: CallerRequest) {
        match self.check(incoming) {
            Ok(request) => self.place(Waiting {
                request,
                subscriber: Subscriber::Local(call_ref),
                hops: 0,
                looked_up: false,
            }),
            Err(error) => self.reply(
                call_ref,
                ResponseFrame::Refused {
                    call: None,
                    refusal: error,
                },
            ),
        }
    }

    /// Account of an API key, and its market.
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

    /// Checks a caller's request and names its program.
    fn check(&mut self, incoming: CallerRequest) -> Result<CallRequest, CallError> {
        let (account, market) = self.authenticate(&incoming.api_key)?;
        let has_program_id = incoming.program.is_some();
        let program = self.name_program(&incoming)?;
        let newly_issued = !has_program_id && program.parent().is_none();
        if incoming.number == Some(0) {
            return Err(CallError::new(
                ErrorKind::BadRequest,
                "Lagoon-Call counts from 1",
            ));
        }
        Ok(CallRequest {
            key: CallKey {
                program,
                number: incoming.number.unwrap_or(1),
            },
            auto_numbered: incoming.number.is_none(),
            has_program_id,
            newly_issued,
            account,
            market,
            window_ms: incoming.window_ms,
            budget_tokens: incoming.budget_tokens,
            continuation: incoming.continuation,
            kind: incoming.kind,
            content_type: incoming.content_type,
            body: incoming.body,
            content_hash: incoming.content_hash,
            trace: incoming.trace,
        })
    }

    fn name_program(&mut self, incoming: &CallerRequest) -> Result<ProgramId, CallError> {
        let own = match &incoming.program {
            Some(text) => parse_program("Lagoon-Program", text)?,
            None => self.issue()?,
        };
        let program = match &incoming.parent {
            Some(text) => {
                let parent = parse_program("Lagoon-Parent", text)?;
                // An issued identifier names an owner; below a parent it would not.
                let own = own.as_str().replace([':', '~'], ".");
                let own: ProgramId = own
                    .parse()
                    .map_err(|error| bad_name("Lagoon-Program", &error))?;
                own.with_parent(&parent)
                    .map_err(|error| bad_name("Lagoon-Parent", &error))?
            }
            None => own,
        };
        Ok(program)
    }

    fn issue(&mut self) -> Result<ProgramId, CallError> {
        self.ownership.issued += 1;
        ProgramId::issued(self.incarnation(), self.ownership.issued)
            .map_err(|error| bad_name("vm.name", &error))
    }

    /// Runs a call here or sends it to the program's owner.
    pub(super) fn place(&mut self, waiting: Waiting) {
        match self.route(&waiting.request.key.program) {
            Route::Here => self.accept_unless_stopping(waiting),
            Route::To(address) => self.pass_on(waiting, address),
            Route::Lookup(incarnation) => self.look_up(incarnation, waiting),
            Route::Refuse(error) => self.fail_pending(waiting, error),
        }
    }

    fn accept_unless_stopping(&mut self, waiting: Waiting) {
        if self.may_be_claimed(&waiting) {
            self.look_up_family(waiting);
            return;
        }
        let under_way = self.calls_by_key.contains_key(&waiting.request.key);
        let waiting = if under_way {
            Some(waiting)
        } else {
            self.hold_for_stop(waiting)
        };
        if let Some(waiting) = waiting {
            self.accept(waiting.request, waiting.subscriber);
        }
    }

    /// Whether another VM may hold a family that this one knows nothing of.
    ///
    /// A first call finds that out by claiming it.
    fn may_be_claimed(&self, waiting: &Waiting) -> bool {
        let program = &waiting.request.key.program;
        let first = waiting.request.key.number == 1 && program.parent().is_none();
        !first && !waiting.looked_up && program.issuer().is_none() && !self.holds_family(program)
    }

    fn pass_on(&mut self, waiting: Waiting, address: std::net::SocketAddr) {
        match waiting.subscriber {
            Subscriber::Local(call_ref) => {
                let forwarding =
                    Forwarding::new(waiting.request, address, waiting.hops, self.now_us);
                self.forwards.insert(call_ref, forwarding);
                self.send_forward(call_ref);
            }
            Subscriber::Peer { .. } => {
                let owner = self.owner_hint(&waiting.request.key.program);
                match (owner, &waiting.subscriber) {
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
                        self.fail_pending(waiting, error.with_retry_after_s(1));
                    }
                }
            }
        }
    }

    /// Call that another VM sent here as the owner's.
    pub(super) fn on_forward(&mut self, forwarded: ForwardedCall) {
        let subscriber = Subscriber::Peer {
            vm: forwarded.origin,
            address: forwarded.origin_address,
            call_ref: forwarded.call_ref,
        };
        let waiting = Waiting {
            request: forwarded.request,
            subscriber,
            hops: forwarded.hops,
            looked_up: false,
        };
        // The sender chose this VM by its own view, which may be newer.
        let program = &waiting.request.key.program;
        let claimable = program.issuer().is_none() && self.claimed_owner(program).is_none();
        if claimable {
            self.accept_unless_stopping(waiting);
        } else {
            self.place(waiting);
        }
    }

    pub(super) fn fail_pending(&mut self, waiting: Waiting, error: CallError) {
        let frame = ResponseFrame::Refused {
            call: Some(waiting.request.key),
            refusal: error,
        };
        self.send_frame(&waiting.subscriber, frame);
    }

    pub(super) fn on_end_program(&mut self, call_ref: CallRef, api_key: &str, program: &str) {
        let checked = self
            .authenticate(api_key)
            .and_then(|(account, _)| Ok((account, parse_program("program", program)?)));
        let (account, program) = match checked {
            Ok(checked) => checked,
            Err(error) => {
                self.reply(
                    call_ref,
                    ResponseFrame::Refused {
                        call: None,
                        refusal: error,
                    },
                );
                return;
            }
        };
        let subscriber = Subscriber::Local(call_ref);
        match self.route(&program) {
            Route::Here => self.end_program(&subscriber, &account, &program),
            Route::To(address) => {
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
                self.send_frame(
                    &subscriber,
                    ResponseFrame::Refused {
                        call: None,
                        refusal: error,
                    },
                );
            }
            Route::Refuse(error) => self.send_frame(
                &subscriber,
                ResponseFrame::Refused {
                    call: None,
                    refusal: error,
                },
            ),
        }
    }
}

fn parse_program(header: &str, text: &str) -> Result<ProgramId, CallError> {
    text.parse().map_err(|error| bad_name(header, &error))
}

fn bad_name(header: &str, error: &NameError) -> CallError {
    CallError::new(ErrorKind::BadRequest, format!("{header} {error}"))
}
