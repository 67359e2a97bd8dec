//! Handles the messages of other VMs.

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lagoon_connections::BodyLimits;
use lagoon_gateway::ProgramKey;

use crate::body::ResponseBody;
use crate::message::{PeerMessage, MAX_MESSAGE_BYTES, NOT_UNDERSTOOD};
use crate::response;
use crate::state::DaemonState;

pub(crate) async fn handle_message(
    state: &Rc<DaemonState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (budget_client, turn_keeper) = (&state.budget_client, &state.turn_keeper);
    let holding = state.memory.hold();
    let limits = BodyLimits::of_size(MAX_MESSAGE_BYTES);
    let mut body = request.into_body();
    let body = match state.memory.read(&holding, &mut body, limits).await {
        Ok(body) => body,
        Err(error) => {
            log::info!(error = format!("{error:?}"); "message of another VM not read");
            return response::plain_text(StatusCode::PAYLOAD_TOO_LARGE, "message not read");
        }
    };
    let message: PeerMessage = match postcard::from_bytes(&body) {
        Ok(message) => message,
        Err(error) => {
            log::info!(bytes = body.len(), error = error.to_string(); "message of another VM not understood; it may be of a later version");
            let text = format!("message not understood: {error}");
            return response::plain_text(NOT_UNDERSTOOD, &text);
        }
    };
    let response = match message {
        PeerMessage::ExecuteStoreCall(call) => {
            postcard::to_allocvec(&budget_client.execute_store_call(&call).await)
        }
        PeerMessage::TakeHeldTokens { program, tokens } => {
            postcard::to_allocvec(&budget_client.give_held_tokens(&ProgramKey(program), tokens))
        }
        PeerMessage::TakeSurplusTokens { program, tokens } => {
            postcard::to_allocvec(&budget_client.give_surplus_tokens(&ProgramKey(program), tokens))
        }
        PeerMessage::ReturnTokens { program, tokens } => {
            budget_client.accept_returned_tokens(&ProgramKey(program), tokens);
            postcard::to_allocvec(&true)
        }
        PeerMessage::RequestAllowance(allowance_request) => {
            postcard::to_allocvec(&budget_client.grant_allowance(&allowance_request))
        }
        PeerMessage::SettleAllowance(settlement) => {
            budget_client.settle_allowance(&settlement);
            postcard::to_allocvec(&true)
        }
        PeerMessage::ClaimCoordinator { .. } => postcard::to_allocvec(&false),
        PeerMessage::CopyTurn(turn) => postcard::to_allocvec(&turn_keeper.hold_copy(&turn)),
        PeerMessage::CacheTurn(turn) => {
            turn_keeper.cache_copy(&turn);
            postcard::to_allocvec(&true)
        }
        PeerMessage::ReleaseCopies(ids) => {
            turn_keeper.drop_copies(&ids);
            postcard::to_allocvec(&true)
        }
        PeerMessage::ForgetCopies(copies) => {
            turn_keeper.forget_copies(&copies);
            postcard::to_allocvec(&true)
        }
        PeerMessage::FetchTurns { last } => postcard::to_allocvec(&turn_keeper.turns_from(&last)),
        PeerMessage::TakeReserve(request) => {
            postcard::to_allocvec(&budget_client.grant_reserve(&request))
        }
        PeerMessage::ReturnReserve { program, tokens } => {
            budget_client.accept_returned_reserve(&ProgramKey(program), tokens);
            postcard::to_allocvec(&true)
        }
        PeerMessage::ReleaseReserve(request) => {
            postcard::to_allocvec(&budget_client.release_reserve(&request))
        }
        PeerMessage::RequestPermit(request) => {
            postcard::to_allocvec(&state.handle_permit_request(&request))
        }
        PeerMessage::FindOrigin { stream, service } => {
            postcard::to_allocvec(&state.origin(stream, &service))
        }
        PeerMessage::ReachTarget { id, run } => {
            postcard::to_allocvec(&state.reach_of(&id, run).await)
        }
        PeerMessage::HoldAllowances(records) => {
            budget_client.hold_allowances(&records);
            postcard::to_allocvec(&true)
        }
        PeerMessage::PassAllowances(passed) => {
            postcard::to_allocvec(&budget_client.receive_allowances(&passed))
        }
        PeerMessage::ReadFreshness { known_version } => {
            postcard::to_allocvec(&state.evidence.reply(known_version))
        }
        PeerMessage::RequestQuota(request) => {
            postcard::to_allocvec(&state.quotas.handle_request(request).await)
        }
        PeerMessage::ReserveQuota(request) => {
            postcard::to_allocvec(&state.quotas.handle_reservation(&request).await)
        }
        PeerMessage::TransferQuota(request) => {
            postcard::to_allocvec(&state.quotas.handle_transfer(&request))
        }
        PeerMessage::Probe => postcard::to_allocvec(&budget_client.is_store_unavailable()),
    };
    match response {
        Ok(response) => Response::new(ResponseBody::full(response)),
        Err(error) => response::plain_text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}
