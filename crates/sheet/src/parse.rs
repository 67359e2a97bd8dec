//! From the text of a file to a checked sheet.

use std::hash::Hash;

use compact_str::CompactString;
use derive_more::Display;
use lagoon_ids::{FastMap, FastSet, MarketName, ModelName, ServiceName, TargetName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::columns::COLUMNS;
use crate::model::{
    Account, Fencing, Market, MarketKey, Model, ModelKey, RetrySafety, Service, ServiceKey, Sheet,
    Target, Workload,
};
use crate::rows::Row;

const ROW_LIMIT: usize = u16::MAX as usize;

/// Fault of one cell.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display("row {row}, column {column}: {value:?}; allowed is {allowed}")]
pub struct SheetError {
    /// Line of the file, from 1.
    pub row: u64,
    /// Column.
    pub column: CompactString,
    /// Text found there.
    pub value: CompactString,
    /// What is allowed.
    pub allowed: String,
}

impl std::error::Error for SheetError {}

/// SHA-256 of an API key.
pub fn hash_api_key(api_key: &str) -> [u8; 32] {
    Sha256::digest(api_key.as_bytes()).into()
}

/// Checks the text of a sheet.
///
/// # Errors
///
/// Fails with every fault of the file, in the order of its rows.
pub fn parse(text: &str) -> Result<Sheet, Vec<SheetError>> {
    let mut faults = Vec::new();
    let records = read(text, &mut faults);
    let mut builder = Builder::default();
    // Rows refer to rows of earlier kinds wherever those stand in the file.
    for kind in ["market", "model", "service", "account", "target"] {
        for (line, record) in &records {
            if record.get(0) == Some(kind) {
                builder.add(kind, &mut Row::new(*line, record, &mut faults));
            }
        }
    }
    faults.sort_by_key(|fault| fault.row);
    if faults.is_empty() {
        Ok(builder.sheet)
    } else {
        Err(faults)
    }
}

fn read(text: &str, faults: &mut Vec<SheetError>) -> Vec<(u64, csv::StringRecord)> {
    let mut reader = csv::ReaderBuilder::new()
        .comment(Some(b'#'))
        .flexible(true)
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    if let Err(fault) = check_head(&mut reader) {
        faults.push(fault);
        return Vec::new();
    }
    let mut records = Vec::new();
    for (count, result) in reader.records().enumerate() {
        let (line, record) = match result {
            Ok(record) => (record.position().map_or(0, csv::Position::line), record),
            Err(error) => {
                let line = error.position().map_or(0, csv::Position::line);
                faults.push(whole_row(line, "", format!("a CSV row: {error}")));
                continue;
            }
        };
        if count >= ROW_LIMIT {
            faults.push(whole_row(line, "", format!("at most {ROW_LIMIT} rows")));
            break;
        }
        if record.len() != COLUMNS.len() {
            let value = format!("{} columns", record.len());
            faults.push(whole_row(
                line,
                &value,
                format!("{} columns", COLUMNS.len()),
            ));
            continue;
        }
        if Row::new(line, &record, faults).check_filled() {
            records.push((line, record));
        }
    }
    records
}

fn check_head(reader: &mut csv::Reader<&[u8]>) -> Result<(), SheetError> {
    let head = match reader.headers() {
        Ok(head) => head,
        Err(error) => return Err(whole_row(1, "", format!("a CSV row: {error}"))),
    };
    if head.iter().eq(COLUMNS) {
        return Ok(());
    }
    let value: Vec<&str> = head.iter().collect();
    Err(whole_row(1, &value.join(","), COLUMNS.join(",")))
}

fn whole_row(row: u64, value: &str, allowed: String) -> SheetError {
    SheetError {
        row,
        column: CompactString::const_new("-"),
        value: CompactString::new(value),
        allowed,
    }
}

/// Sheet under construction.
#[derive(Default)]
struct Builder {
    sheet: Sheet,
    account_names: FastSet<CompactString>,
    target_names: FastSet<TargetName>,
    addresses: FastSet<std::net::SocketAddr>,
}

impl Builder {
    fn add(&mut self, kind: &str, row: &mut Row<'_>) {
        // A row with a fault adds nothing; its fault stands in the list.
        let _ = match kind {
            "market" => self.add_market(row),
            "model" => self.add_model(row),
            "service" => self.add_service(row),
            "account" => self.add_account(row),
            _ => self.add_target(row),
        };
    }

    fn add_market(&mut self, row: &mut Row<'_>) -> Option<()> {
        let name: Option<MarketName> = row.parsed("name");
        let budget_tokens = row.number("budget_tokens", 1..=1_000_000_000);
        let budget_money_micros = row.number("budget_money_micros", 0..=1_000_000_000_000);
        let budget_turns = row.number("budget_turns", 1..=10_000);
        let weight_latency = row.number("weight_latency", 0.0..=1_000.0);
        let weight_cache = row.number("weight_cache", 0.0..=1_000.0);
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
        let name: Option<ModelName> = row.parsed("name");
        let markets = self.markets(row);
        let price_micros = row.number("price_micros", 0..=1_000_000_000);
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
        let name: Option<ServiceName> = row.parsed("name");
        let markets = self.markets(row);
        let price_micros = row.number("price_micros", 0..=1_000_000_000);
        let retry_safety = row.word(
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
            row.fault("name", "a name that no model has");
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
        let name = row.parsed("name");
        let markets = self.markets(row);
        let hash = parse_hash(row);
        if markets.len() > 1 {
            row.fault("market", "one market");
        }
        if !self
            .account_names
            .insert(CompactString::new(row.text("name")))
        {
            row.fault("name", "a name that no earlier row has");
        }
        let place = self.sheet.accounts.len();
        if self.sheet.account_by_key.insert(hash?, place).is_some() {
            row.fault("key_sha256", "a key that no earlier row has");
            return None;
        }
        self.sheet.accounts.push(Account {
            name: name?,
            market: *markets.first()?,
        });
        Some(())
    }

    fn add_target(&mut self, row: &mut Row<'_>) -> Option<()> {
        let name: Option<TargetName> = row.parsed("name");
        let domain = row.parsed("domain");
        let address = row.parsed("address");
        let serves = self.serves(row);
        let slots = row.number("slots", 1..=100_000);
        let fencing = row.word(
            "fencing",
            &[("checked", Fencing::Checked), ("ignored", Fencing::Ignored)],
        );
        let name = name?;
        if !self.target_names.insert(name.clone()) {
            row.fault("name", "a name that no earlier row has");
        }
        if address.is_some_and(|address| !self.addresses.insert(address)) {
            row.fault("address", "an address that no earlier row has");
        }
        self.sheet.targets.push(Target {
            name,
            domain: domain?,
            address: address?,
            serves: serves?,
            slots: slots?,
            fencing: fencing?,
        });
        Some(())
    }

    /// Markets named in a row, separated by spaces.
    fn markets(&mut self, row: &mut Row<'_>) -> Vec<MarketKey> {
        let mut keys = Vec::new();
        for word in row.text("market").split_whitespace() {
            let key = word
                .parse()
                .ok()
                .and_then(|name: MarketName| self.sheet.market_key(&name));
            match key {
                Some(key) => keys.push(key),
                None => row.fault("market", format!("markets of the sheet, not {word:?}")),
            }
        }
        keys
    }

    fn serves(&mut self, row: &mut Row<'_>) -> Option<Workload> {
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
        let serves = model.or(service);
        if serves.is_none() {
            row.fault("serves", "a model or service of the sheet");
        }
        serves
    }
}

fn insert_unique<N, K>(map: &mut FastMap<N, K>, name: N, key: K, row: &mut Row<'_>) -> Option<()>
where
    N: Eq + Hash,
{
    if map.contains_key(&name) {
        row.fault("name", "a name that no earlier row has");
        return None;
    }
    map.insert(name, key);
    Some(())
}

fn parse_hash(row: &mut Row<'_>) -> Option<[u8; 32]> {
    let text = row.text("key_sha256");
    if text.is_empty() {
        return None;
    }
    let digits: Option<Vec<u8>> = (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(text.get(at..at + 2)?, 16).ok())
        .collect();
    let hash = digits.and_then(|bytes| bytes.try_into().ok());
    if hash.is_none() {
        row.fault("key_sha256", "64 hexadecimal digits");
    }
    hash
}
