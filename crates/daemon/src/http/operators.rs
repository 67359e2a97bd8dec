//! HTTP API of operators.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::channel;

use compact_str::CompactString;
use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::{CallKey, ProgramId};
use lagoon_node::{ApplyReply, OperatorRef, OperatorReply, OperatorRequest};
use serde::Deserialize;
use tiny_http::{Method, Request};

use crate::constants::OPERATOR_REPLY_TIMEOUT;
use crate::http::response::{respond_error, respond_json};
use crate::http::server::BodyMemory;
use crate::input::{Input, InputSender};

const PROGRAM_PATH: &str = "/v1/programs/";

/// Request handler of the operators' API.
pub(crate) struct OperatorApi {
    pub(crate) input_sender: InputSender,
    pub(crate) body_memory: BodyMemory,
    pub(crate) next_ref: AtomicU64,
}

#[derive(Deserialize)]
struct ResolveInDoubtBody {
    program: ProgramId,
    call: u32,
    ran: bool,
}

#[derive(Deserialize)]
struct ApplySheetBody {
    base: u64,
    author: CompactString,
    text: String,
}

impl OperatorApi {
    pub(crate) fn handle(&self, mut request: Request) {
        match self.parse_request(&mut request) {
            Ok(operator_request) => self.request_reply(request, operator_request),
            Err(error) => respond_error(request, None, &error),
        }
    }

    fn parse_request(&self, request: &mut Request) -> Result<OperatorRequest, CallError> {
        let path = request.url().to_owned();
        let method = request.method().clone();
        match (method, path.as_str()) {
            (Method::Get, "/v1/status") => Ok(OperatorRequest::Status),
            (Method::Get, "/v1/programs") => Ok(OperatorRequest::Programs),
            (Method::Get, path) if path.starts_with(PROGRAM_PATH) => {
                let program = CompactString::new(&path[PROGRAM_PATH.len()..]);
                Ok(OperatorRequest::Program(program))
            }
            (Method::Get, "/v1/sheet") => Ok(OperatorRequest::Sheet),
            (Method::Get, "/v1/doubts") => Ok(OperatorRequest::InDoubtCalls),
            (Method::Post, "/v1/sheet") => {
                let body: ApplySheetBody = self.read_json(request)?;
                Ok(OperatorRequest::Apply {
                    base: body.base,
                    author: body.author,
                    text: body.text,
                })
            }
            (Method::Post, "/v1/doubts/settle") => {
                let body: ResolveInDoubtBody = self.read_json(request)?;
                let call = CallKey {
                    program: body.program,
                    number: body.call,
                };
                let ran = body.ran;
                Ok(OperatorRequest::ResolveInDoubt { call, ran })
            }
            (method, path) => {
                let detail = format!("no route {method} {path}");
                Err(CallError::new(ErrorKind::BadRequest, detail))
            }
        }
    }

    fn read_json<T>(&self, request: &mut Request) -> Result<T, CallError>
    where
        T: serde::de::DeserializeOwned,
    {
        let (body, _body_memory) = self.body_memory.read_body(request)?;
        serde_json::from_slice(&body)
            .map_err(|error| CallError::new(ErrorKind::BadRequest, error.to_string()))
    }

    fn request_reply(&self, request: Request, operator_request: OperatorRequest) {
        let operator_ref = OperatorRef(self.next_ref.fetch_add(1, Ordering::SeqCst));
        let (reply, receiver) = channel();
        let input = Input::Operator {
            operator_ref,
            request: operator_request,
            reply,
        };
        // If the actor thread has ended, the wait below ends at once.
        let _ = self.input_sender.send(input);
        match receiver.recv_timeout(OPERATOR_REPLY_TIMEOUT) {
            Ok(reply) => respond_json(request, status_code(&reply), &reply),
            Err(_) => {
                let error = CallError::new(ErrorKind::Internal, "node gives no answer");
                respond_error(request, None, &error);
            }
        }
    }
}

fn status_code(reply: &OperatorReply) -> u16 {
    match reply {
        OperatorReply::Apply(ApplyReply::Faulty { .. }) => 422,
        OperatorReply::Apply(ApplyReply::Conflict { .. }) => 409,
        OperatorReply::Apply(ApplyReply::Unknown { .. }) => 503,
        OperatorReply::Program(None) | OperatorReply::Settled { settled: false } => 404,
        _ => 200,
    }
}
