//! Commands for sheets.

use std::path::Path;

use lagoon_node::{ApplyReply, SheetRow};
use lagoon_sheet::{parse, SheetError};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::canvas::Table;
use crate::collection::OperatorClient;
use crate::commands::{read_file, to_json, CommandError};

#[derive(Deserialize, Serialize)]
struct SheetReply {
    row: Option<SheetRow>,
    text: String,
}

pub(super) fn check(file: &Path) -> Result<String, CommandError> {
    let sheet = parse(&read_file(file)?).map_err(|errors| invalid_sheet(file, &errors))?;
    Ok(format!(
        "{}: valid; {} markets, {} accounts, {} models, {} services, {} targets\n",
        file.display(),
        sheet.markets.len(),
        sheet.accounts.len(),
        sheet.models.len(),
        sheet.services.len(),
        sheet.targets.len(),
    ))
}

fn invalid_sheet(file: &Path, errors: &[SheetError]) -> CommandError {
    let mut table = Table::new(&["row", "column", "value", "allowed"]);
    for error in errors {
        table.add_row([
            error.row.to_string(),
            error.column.to_string(),
            format!("{:?}", error.value),
            error.allowed.clone(),
        ]);
    }
    let count = errors.len();
    CommandError::InvalidSheet(format!(
        "{}: invalid sheet, {count} errors\n{table}",
        file.display()
    ))
}

pub(super) fn show(client: &OperatorClient, as_json: bool) -> Result<String, CommandError> {
    let current: SheetReply = client.get("/v1/sheet")?;
    if as_json {
        return Ok(to_json(&current));
    }
    let heading = current.row.as_ref().map_or_else(
        || "# no sheet is in force\n".to_owned(),
        |row| {
            format!(
                "# version {} from {} by {}\n",
                row.version, row.base, row.author
            )
        },
    );
    Ok(heading + &current.text)
}

pub(super) fn apply(
    client: &OperatorClient,
    file: &Path,
    base: Option<u64>,
    author: &str,
) -> Result<String, CommandError> {
    let text = read_file(file)?;
    let base = match base {
        Some(base) => base,
        None => {
            let current: SheetReply = client.get("/v1/sheet")?;
            current.row.map_or(0, |row| row.version)
        }
    };
    let body = json!({"base": base, "author": author, "text": text});
    match client.post("/v1/sheet", &body)? {
        ApplyReply::Accepted { row } => Ok(format!("version {} is accepted\n", row.version)),
        ApplyReply::Faulty { faults } => Err(invalid_sheet(file, &faults)),
        ApplyReply::Conflict { current } => {
            let row_text = current.map_or_else(
                || "none".to_owned(),
                |row| {
                    format!(
                        "version {} by {} at {} ms",
                        row.version, row.author, row.applied_ms
                    )
                },
            );
            let detail = format!("base {base} is not the current version; current: {row_text}");
            Err(CommandError::SheetConflict(detail))
        }
        ApplyReply::Unknown { detail } => {
            let detail = format!("{detail}; the same command can be retried");
            Err(CommandError::Failed(detail))
        }
    }
}
