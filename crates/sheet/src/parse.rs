//! Parsing and validation of the CSV text of a sheet.

use std::hash::Hash;

use compact_str::CompactString;
use derive_more::Display;
use lagoon_ids::{FastMap, FastSet, MarketName, ModelName, ServiceName, TargetName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::columns::COLUMNS;
use crate::row::Row;
use crate::sheet::{
    Account, Fencing, Market, MarketKey, Model, ModelKey, RetrySafety, Service, ServiceKey, Sheet,
    Target, Workload,
};

/// Maximum number of rows below the header, as keys of the sheet's lists are `u16` indexes.
const MAX_ROWS: usize = u16::MAX as usize;

/// Invalid cell or row.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display("row {row}, column {column}: {value:?}; allowed is {allowed}")]
pub struct SheetError {
    /// Line number in the file, from 1; the header is line 1.
    pub row: u64,
    /// Name of the column; `-` if the error concerns the whole row.
    pub column: CompactString,
    /// Invalid text; empty if there is none, as in an empty cell.
    pub value: CompactString,
    /// Description of the allowed values.
    pub allowed: String,
}

impl std::error::Error for SheetError {}

/// SHA-256 hash of an API key; sheets hold no keys in plain text.
pub fn hash_api_key(api_key: &str) -> [u8; 32] {
    Sha256::digest(api_key.as_bytes()).into()
}

/// Parses and validates the text of a sheet.
///
/// # Errors
///
/// Fails with all errors of the file, ordered by row.
pub fn parse(text: &str) -> Result<Sheet, Vec<SheetError>> {
    let mut errors = Vec::new();
    let records = read_records(text, &mut errors);
    let mut builder = Builder::default();
    // A row may refer to rows of the kinds listed before its own, wherever in the file they are.
    for kind in ["market", "model", "service", "account", "target"] {
        for (line, record) in &records {
            if record.get(0) == Some(kind) {
                builder.add(kind, &mut Row::new(*line, record, &mut errors));
            }
        }
    }
    errors.sort_by_key(|error| error.row);
    if errors.is_empty() {
        Ok(builder.sheet)
    } else {
        Err(errors)
    }
}

fn read_records(text: &str, errors: &mut Vec<SheetError>) -> Vec<(u64, csv::StringRecord)> {
    let mut reader = csv::ReaderBuilder::new()
        .comment(Some(b'#'))
        .flexible(true)
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    if let Err(error) = check_header(&mut reader) {
        errors.push(error);
        return Vec::new();
    }
    let mut records = Vec::new();
    for (count, result) in reader.records().enumerate() {
        let (line, record) = match result {
            Ok(record) => (record.position().map_or(0, csv::Position::line), record),
            Err(error) => {
                let line = error.position().map_or(0, csv::Position::line);
                errors.push(row_error(line, "", format!("a CSV row: {error}")));
                continue;
            }
        };
        if count >= MAX_ROWS {
            errors.push(row_error(line, "", format!("at most {MAX_ROWS} rows")));
            break;
        }
        if record.len() != COLUMNS.len() {
            let value = format!("{} columns", record.len());
            errors.push(row_error(
                line,
                &value,
                format!("{} columns", COLUMNS.len()),
            ));
            continue;
        }
        if Row::new(line, &record, errors).check_columns() {
            records.push((line, record));
        }
    }
    records
}

fn check_header(reader: &mut csv::Reader<&[u8]>) -> Result<(), SheetError> {
    let header = match reader.headers() {
        Ok(header) => header,
        Err(error) => return Err(row_error(1, "", format!("a CSV row: {error}"))),
    };
    if header.iter().eq(COLUMNS) {
        return Ok(());
    }
    let value: Vec<&str> = header.iter().collect();
    Err(row_error(1, &value.join(","), COLUMNS.join(",")))
}

fn row_error(row: u64, value: &str, allowed: String) -> SheetError {
    SheetError {
        row,
        column: CompactString::const_new("-"),
        value: CompactString::new(value),
        allowed,
    }
}

/// Partial sheet, with sets of the values that no two rows may share.
#[derive(Default)]
struct Builder {
    sheet: Sheet,
    account_names: FastSet<CompactString>,
    target_names: FastSet<TargetName>,
    addresses: FastSet<std::net::SocketAddr>,
}

impl Builder {
    fn add(&mut self, kind: &str, row: &mut Row<'_>) {
        // `None` means an invalid row, whose errors are in the list already.
        let _ = match kind {
            "market" => self.add_market(row),
            "model" => self.add_model(row),
            "service" => self.add_service(row),
            "account" => self.add_account(row),
            _ => self.add_target(row),
        };
    }

    fn add_market(&mut self, row: &mut Row<'_>) -> Option<()> {
        let name: Option<MarketName> = row.parse("name");
        let budget_tokens = row.parse_number("budget_tokens", 1..=1_000_000_000);
        let budget_money_micros = row.parse_number("budget_money_micros", 0..=1_000_000_000_000);
        let budget_turns = row.parse_number("budget_turns", 1..=10_000);
        let weight_latency = row.parse_number("weight_latency", 0.0..=1_000.0);
        let weight_cache = row.parse_number("weight_cache", 0.0..=1_000.0);
        let name = name?;
        let key = MarketKey(self.sheet.markets.len() as u16);
        insert_unique(&mut self.sheet.market_by_name, name.clone(), key, row)?;
        self.sheet.markets.push(Market {
            name,
            budget_tokens: budget_tokens?,
            budget_money_micros: budget_money_micros?,
            budget_turns: budget_turns?,
            weight_latency: weight_latency?,
            weight_cache: weight_cache?,
        });
        Some(())
    }

    fn add_model(&mut self, row: &mut Row<'_>) -> Option<()> {
        let name: Option<ModelName> = row.parse("name");
        let markets = self.parse_markets(row);
        let price_micros = row.parse_number("price_micros", 0..=1_000_000_000);
        let name = name?;
        let key = ModelKey(self.sheet.models.len() as u16);
        insert_unique(&mut self.sheet.model_by_name, name.clone(), key, row)?;
        self.sheet.models.push(Model {
            name,
            markets,
            price_micros: price_micros?,
            version: CompactString::new(row.text("version")),
        });
        Some(())
    }

    fn add_service(&mut self, row: &mut Row<'_>) -> Option<()> {
        let name: Option<ServiceName> = row.parse("name");
        let markets = self.parse_markets(row);
        let price_micros = row.parse_number("price_micros", 0..=1_000_000_000);
        let retry_safety = row.parse_keyword(
            "repeat",
            &[
                ("repeatable", RetrySafety::Idempotent),
                ("keyed", RetrySafety::IdempotencyKey),
                ("once", RetrySafety::AtMostOnce),
            ],
        );
        let name = name?;
        let key = ServiceKey(self.sheet.services.len() as u16);
        let taken_by_model = self
            .sheet
            .models
            .iter()
            .any(|model| model.name.as_str() == name.as_str());
        if taken_by_model {
            row.report_error("name", "a name that no model has");
            return None;
        }
        insert_unique(&mut self.sheet.service_by_name, name.clone(), key, row)?;
        self.sheet.services.push(Service {
            name,
            markets,
            price_micros: price_micros?,
            retry_safety: retry_safety?,
        });
        Some(())
    }

    fn add_account(&mut self, row: &mut Row<'_>) -> Option<()> {
        let name = row.parse("name");
        let markets = self.parse_markets(row);
        let hash = parse_key_hash(row);
        if markets.len() > 1 {
            row.report_error("market", "one market");
        }
        if !self
            .account_names
            .insert(CompactString::new(row.text("name")))
        {
            row.report_error("name", "a name that no earlier row has");
        }
        let index = self.sheet.accounts.len();
        if self
            .sheet
            .account_by_key_hash
            .insert(hash?, index)
            .is_some()
        {
            row.report_error("key_sha256", "a key that no earlier row has");
            return None;
        }
        self.sheet.accounts.push(Account {
            name: name?,
            market: *markets.first()?,
        });
        Some(())
    }

    fn add_target(&mut self, row: &mut Row<'_>) -> Option<()> {
        let name: Option<TargetName> = row.parse("name");
        let domain = row.parse("domain");
        let address = row.parse("address");
        let workload = self.parse_workload(row);
        let slots = row.parse_number("slots", 1..=100_000);
        let fencing = row.parse_keyword(
            "fencing",
            &[("checked", Fencing::Checked), ("ignored", Fencing::Ignored)],
        );
        let name = name?;
        if !self.target_names.insert(name.clone()) {
            row.report_error("name", "a name that no earlier row has");
        }
        if address.is_some_and(|address| !self.addresses.insert(address)) {
            row.report_error("address", "an address that no earlier row has");
        }
        self.sheet.targets.push(Target {
            name,
            domain: domain?,
            address: address?,
            serves: workload?,
            slots: slots?,
            fencing: fencing?,
        });
        Some(())
    }

    /// Keys of the space-separated markets of a row; reports those that the sheet doesn't define.
    fn parse_markets(&mut self, row: &mut Row<'_>) -> Vec<MarketKey> {
        let mut keys = Vec::new();
        for name in row.text("market").split_whitespace() {
            let key = name
                .parse()
                .ok()
                .and_then(|name: MarketName| self.sheet.market_key(&name));
            match key {
                Some(key) => keys.push(key),
                None => row.report_error("market", format!("markets of the sheet, not {name:?}")),
            }
        }
        keys
    }

    fn parse_workload(&mut self, row: &mut Row<'_>) -> Option<Workload> {
        let text = row.text("serves");
        if text.is_empty() {
            return None;
        }
        let model = text
            .parse::<ModelName>()
            .ok()
            .and_then(|name| self.sheet.model_by_name.get(&name))
            .map(|key| Workload::Model(*key));
        let service = text
            .parse::<ServiceName>()
            .ok()
            .and_then(|name| self.sheet.service_by_name.get(&name))
            .map(|key| Workload::Service(*key));
        let workload = model.or(service);
        if workload.is_none() {
            row.report_error("serves", "a model or service of the sheet");
        }
        workload
    }
}

fn insert_unique<N, K>(map: &mut FastMap<N, K>, name: N, key: K, row: &mut Row<'_>) -> Option<()>
where
    N: Eq + Hash,
{
    if map.contains_key(&name) {
        row.report_error("name", "a name that no earlier row has");
        return None;
    }
    map.insert(name, key);
    Some(())
}

fn parse_key_hash(row: &mut Row<'_>) -> Option<[u8; 32]> {
    let text = row.text("key_sha256");
    if text.is_empty() {
        return None;
    }
    let digits: Option<Vec<u8>> = (0..text.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(text.get(start..start + 2)?, 16).ok())
        .collect();
    let hash = digits.and_then(|bytes| bytes.try_into().ok());
    if hash.is_none() {
        row.report_error("key_sha256", "64 hexadecimal digits");
    }
    hash
}
