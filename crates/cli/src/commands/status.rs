//! Status command.

use lagoon_node::NodeStatus;

use crate::canvas::Table;
use crate::collection::OperatorClient;
use crate::commands::{to_json, CommandError};

pub(super) fn show(client: &OperatorClient, json: bool) -> Result<String, CommandError> {
    let status: NodeStatus = client.get("/v1/status")?;
    if json {
        return Ok(to_json(&status));
    }
    let sheet = status.sheet.as_ref().map_or_else(
        || "none".to_owned(),
        |row| {
            format!(
                "version {} by {}, confirmed {} ms ago",
                row.version, row.author, status.sheet_age_ms
            )
        },
    );
    let ready = match &status.not_ready_reason {
        None => "yes".to_owned(),
        Some(reason) => format!("no: {reason}"),
    };
    Ok(format!(
        "vm           {} in {}\nincarnation  {}\nready        {ready}\nsheet        {sheet}\n\
         programs     {}\ncalls        {} under way, {} queued, {} forwarded\n\
         journal      {} batches written, {} groups waiting\n\n{}\n{}",
        status.vm,
        status.domain,
        status.incarnation,
        status.programs,
        status.calls,
        status.queued,
        status.forwarded,
        status.journal_batches,
        status.journal_backlog,
        members(&status),
        targets(&status),
    ))
}

fn members(status: &NodeStatus) -> Table {
    let mut table = Table::new(&["vm", "state", "silent_ms", "sheet", "incarnation"]);
    for member in &status.members {
        table.add_row([
            member.vm.to_string(),
            member.state.to_string(),
            member.silent_ms.to_string(),
            member.sheet_version.to_string(),
            member.incarnation.to_string(),
        ]);
    }
    table
}

fn targets(status: &NodeStatus) -> Table {
    let mut table = Table::new(&["target", "serves", "state", "own", "load", "slots"]);
    for target in &status.targets {
        table.add_row([
            target.target.to_string(),
            target.serves.to_string(),
            target.state.to_string(),
            target.in_flight.to_string(),
            target.load.to_string(),
            target.slots.to_string(),
        ]);
    }
    table
}
