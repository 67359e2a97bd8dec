//! HTTP API of operators.

use std::sync::atomic::{AtomicU64, Ordering};

use compact_str::CompactString;
use hyper::Method;
use lagoon_errors::{CallError, ErrorKind};
use lagoon_ids::{CallKey, ProgramId};
use lagoon_node::{ApplyReply, OperatorRef, OperatorReply, OperatorRequest};
use serde::Deserialize;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::constants::OPERATOR_REPLY_TIMEOUT;
use crate::http::response::{respond_error, respond_json, ApiResponse};
use crate::http::server::ApiRequest;
use crate::input::{Input, InputSender};

const PROGRAM_PATH: &str = "/v1/programs/";

/// Request handler of the operators' API.
pub(crate) struct OperatorApi {
    pub(crate) input_sender: InputSender,
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
    pub(crate) async fn handle(&self, mut request: ApiRequest) -> ApiResponse {
        match parse_request(&mut request).await {
            Ok(operator_request) => self.request_reply(operator_request).await,
            Err(error) => request.refuse(&error),
        }
    }

    async fn request_reply(&self, operator_request: OperatorRequest) -> ApiResponse {
        let operator_ref = OperatorRef(self.next_ref.fetch_add(1, Ordering::SeqCst));
        let (reply, receiver) = oneshot::channel();
        let input = Input::Operator {
            operator_ref,
            request: operator_request,
            reply,
        };
        // If the actor thread has ended, the wait below ends at once.
        let _ = self.input_sender.send(input);
        match timeout(OPERATOR_REPLY_TIMEOUT, receiver).await {
            Ok(Ok(reply)) => respond_json(status_code(&reply), &reply),
            Ok(Err(_)) | Err(_) => {
                let error = CallError::new(ErrorKind::Internal, "node gives no answer");
                respond_error(None, &error)
            }
        }
    }
}

async fn parse_request(request: &mut ApiRequest) -> Result<OperatorRequest, CallError> {
    let path = request.uri.to_string();
    let method = request.method.clone();
    match (method, path.as_str()) {
        (Method::GET, "/v1/status") => Ok(OperatorRequest::Status),
        (Method::GET, "/v1/programs") => Ok(OperatorRequest::Programs),
        (Method::GET, path) if path.starts_with(PROGRAM_PATH) => {
            let program = CompactString::new(&path[PROGRAM_PATH.len()..]);
            Ok(OperatorRequest::Program(program))
        }
        (Method::GET, "/v1/sheet") => Ok(OperatorRequest::Sheet),
        (Method::GET, "/v1/doubts") => Ok(OperatorRequest::InDoubtCalls),
        (Method::POST, "/v1/sheet") => {
            let body: ApplySheetBody = read_json(request).await?;
            Ok(OperatorRequest::Apply {
                base: body.base,
                author: body.author,
                text: body.text,
            })
        }
        (Method::POST, "/v1/doubts/settle") => {
            let body: ResolveInDoubtBody = read_json(request).await?;
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

async fn read_json<T>(request: &mut ApiRequest) -> Result<T, CallError>
where
    T: serde::de::DeserializeOwned,
{
    let (body, _body_memory) = request.read_body().await?;
    serde_json::from_slice(&body)
        .map_err(|error| CallError::new(ErrorKind::BadRequest, error.to_string()))
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
