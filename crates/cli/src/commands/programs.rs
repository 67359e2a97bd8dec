//! Commands for programs and for calls in doubt.

use lagoon_ids::ProgramId;
use lagoon_node::{InDoubtCallReport, ProgramReport};
use serde::Deserialize;
use serde_json::json;

use crate::canvas::Table;
use crate::collection::OperatorClient;
use crate::commands::{to_json, CommandError};

#[derive(Deserialize)]
struct SettledReply {
    settled: bool,
}

pub(super) fn list(client: &OperatorClient, json: bool) -> Result<String, CommandError> {
    let programs: Vec<ProgramReport> = client.get("/v1/programs")?;
    if json {
        return Ok(to_json(&programs));
    }
    let mut table = Table::new(&[
        "program", "account", "market", "state", "calls", "tokens", "of", "idle_ms",
    ]);
    for program in &programs {
        table.add_row([
            program.program.to_string(),
            program.account.to_string(),
            program.market.to_string(),
            program.state.to_string(),
            program.calls.len().to_string(),
            program.budget.spent.tokens.to_string(),
            program.budget.limit.tokens.to_string(),
            program.idle_ms.to_string(),
        ]);
    }
    Ok(table.to_string())
}

pub(super) fn show(
    client: &OperatorClient,
    id: &ProgramId,
    json: bool,
) -> Result<String, CommandError> {
    let program: Option<ProgramReport> = client.get(&format!("/v1/programs/{id}"))?;
    let Some(program) = program else {
        let detail = format!("program {id} is not held by this VM");
        return Err(CommandError::Failed(detail));
    };
    if json {
        return Ok(to_json(&program));
    }
    let mut table = Table::new(&["budget", "limit", "spent", "in_flight"]);
    let budget = &program.budget;
    let rows = [
        (
            "tokens",
            budget.limit.tokens,
            budget.spent.tokens,
            budget.in_flight.tokens,
        ),
        (
            "money_micros",
            budget.limit.money_micros,
            budget.spent.money_micros,
            budget.in_flight.money_micros,
        ),
        (
            "turns",
            budget.limit.turns,
            budget.spent.turns,
            budget.in_flight.turns,
        ),
    ];
    for (name, limit, spent, in_flight) in rows {
        table.add_row([
            name.to_owned(),
            limit.to_string(),
            spent.to_string(),
            in_flight.to_string(),
        ]);
    }
    let mut calls = Table::new(&["call", "target", "outcome", "tokens"]);
    for call in &program.calls {
        calls.add_row([
            call.number.to_string(),
            call.target.to_string(),
            call.outcome.to_string(),
            call.used_tokens.to_string(),
        ]);
    }
    Ok(format!(
        "{id} ({}, {})\n\n{table}\n{calls}",
        program.account, program.state
    ))
}

pub(super) fn list_in_doubt(client: &OperatorClient, json: bool) -> Result<String, CommandError> {
    let calls: Vec<InDoubtCallReport> = client.get("/v1/doubts")?;
    if json {
        return Ok(to_json(&calls));
    }
    let mut table = Table::new(&["program", "call", "target", "account"]);
    for call in &calls {
        table.add_row([
            call.program.to_string(),
            call.number.to_string(),
            call.target.to_string(),
            call.account.to_string(),
        ]);
    }
    Ok(table.to_string())
}

pub(super) fn resolve_in_doubt(
    client: &OperatorClient,
    program: &ProgramId,
    call: u32,
    ran: bool,
) -> Result<String, CommandError> {
    let body = json!({"program": program, "call": call, "ran": ran});
    let settled: SettledReply = client.post("/v1/doubts/settle", &body)?;
    if settled.settled {
        return Ok("settled\n".to_owned());
    }
    let detail = format!("call {call} of {program} is not in doubt at this VM");
    Err(CommandError::Failed(detail))
}
