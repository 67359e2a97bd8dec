//! Active sheet and applying of new sheets.

use std::sync::Arc;

use compact_str::CompactString;
use lagoon_ids::{hash64, MarketName};
use lagoon_platform::{Compare, Op, PlatformError, PlatformReply, PlatformRequest, Txn, TxnReply};
use lagoon_program::ResourceAmounts;
use lagoon_sheet::{parse, Sheet, Workload};

use crate::constants::STORE_RETRY_DELAY_MS;
use crate::effect::Effect;
use crate::event::OperatorRef;
use crate::node::store::StorePurpose;
use crate::node::Node;
use crate::status::{ApplyReply, OperatorReply, SheetRow};

const ACTIVE_SHEET_KEY: &str = "sheet/current";

/// Active sheet as last read from the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Config {
    pub(crate) sheet: Option<Arc<Sheet>>,
    pub(crate) row: Option<SheetRow>,
    pub(crate) text: String,
    /// Time at which a store read last found `row` to be the newest; 0 before the first read.
    pub(crate) confirmed_ms: u64,
    pub(crate) poll_due_ms: u64,
}

impl Config {
    /// Returns the version of the active sheet; 0 if there is none.
    pub(crate) fn version(&self) -> u64 {
        self.row.as_ref().map_or(0, |row| row.version)
    }

    pub(crate) fn market_limit(&self, name: &MarketName) -> ResourceAmounts {
        let Some(sheet) = &self.sheet else {
            return ResourceAmounts::default();
        };
        let Some(key) = sheet.market_key(name) else {
            return ResourceAmounts::default();
        };
        let market = sheet.market(key);
        ResourceAmounts {
            tokens: market.budget_tokens,
            money_micros: market.budget_money_micros,
            turns: u64::from(market.budget_turns),
        }
    }

    /// Returns the price of 1,000 tokens of a model or of one call of a service.
    pub(crate) fn price_micros(&self, workload: Workload) -> u64 {
        let Some(sheet) = &self.sheet else {
            return 0;
        };
        match workload {
            Workload::Model(key) => sheet.models[key.index()].price_micros,
            Workload::Service(key) => sheet.services[key.index()].price_micros,
        }
    }
}

fn encode_row(row: &SheetRow) -> Vec<u8> {
    // Serializing a struct of plain fields does not fail.
    serde_json::to_vec(row).unwrap_or_default()
}

fn decode_row(reply: &TxnReply) -> Option<SheetRow> {
    serde_json::from_slice(reply.value(ACTIVE_SHEET_KEY)?).ok()
}

/// Whether two rows come from the same request, including a retry of it.
fn is_same_request(a: &SheetRow, b: &SheetRow) -> bool {
    (a.version, &a.author, &a.object) == (b.version, &b.author, &b.object)
}

impl Node {
    /// Reads the row of the active sheet if the next poll is due.
    pub(super) fn poll_sheet(&mut self) {
        let now_ms = self.now_ms();
        if now_ms < self.config.poll_due_ms {
            return;
        }
        self.config.poll_due_ms = now_ms + self.settings.sheet_poll_ms;
        let txn = Txn {
            success: vec![Op::Get {
                key: ACTIVE_SHEET_KEY.to_owned(),
            }],
            ..Txn::default()
        };
        self.send_store_request(PlatformRequest::Txn(txn), StorePurpose::ReadSheetRow);
    }

    pub(super) fn on_sheet_row(&mut self, reply: Result<TxnReply, PlatformError>) {
        let Ok(reply) = reply else {
            return;
        };
        let Some(row) = decode_row(&reply) else {
            return;
        };
        if row.version > self.config.version() {
            let key = row.object.clone();
            self.send_store_request(
                PlatformRequest::GetObject { key },
                StorePurpose::ReadSheetText(Box::new(row)),
            );
        } else {
            self.config.confirmed_ms = self.now_ms();
        }
    }

    pub(super) fn on_sheet_text(
        &mut self,
        row: SheetRow,
        reply: Result<PlatformReply, PlatformError>,
    ) {
        let text = match reply {
            Ok(PlatformReply::Object(Some(bytes))) => String::from_utf8(bytes).ok(),
            _ => None,
        };
        match text {
            Some(text) => self.activate_sheet(row, text),
            None => self.config.poll_due_ms = self.now_ms() + STORE_RETRY_DELAY_MS,
        }
    }

    /// Activates a sheet, unless the active version is the same or newer.
    fn activate_sheet(&mut self, row: SheetRow, text: String) {
        if row.version <= self.config.version() {
            return;
        }
        let sheet = match parse(&text) {
            Ok(sheet) => sheet,
            Err(faults) => {
                log::error!(version = row.version, faults = faults.len(); "stored sheet is invalid");
                return;
            }
        };
        log::info!(version = row.version, author = row.author.as_str(); "sheet activated");
        self.balancer.on_sheet(&sheet);
        self.rebind_calls(&sheet);
        self.config.sheet = Some(Arc::new(sheet));
        self.config.row = Some(row);
        self.config.text = text;
        self.config.confirmed_ms = self.now_ms();
        self.retain_paths();
        self.assign_load_polls();
        self.heartbeat_due_ms = 0;
        self.drain_queue();
    }

    pub(super) fn apply_sheet(
        &mut self,
        operator_ref: OperatorRef,
        base: u64,
        author: CompactString,
        text: String,
    ) {
        if let Err(faults) = parse(&text) {
            self.send_apply_reply(operator_ref, ApplyReply::Faulty { faults });
            return;
        }
        let object = format!("sheet/{:016x}-{}", hash64(text.as_bytes()), text.len());
        let row = SheetRow {
            version: base + 1,
            base,
            author,
            applied_ms: self.now_ms(),
            object: object.clone(),
        };
        let known = self.config.row.as_ref();
        if known.is_some_and(|known| is_same_request(known, &row)) {
            let row = known.cloned().unwrap_or(row);
            self.send_apply_reply(operator_ref, ApplyReply::Accepted { row });
            return;
        }
        if self.config.version() != base {
            let current = self.config.row.clone();
            self.config.poll_due_ms = 0;
            self.send_apply_reply(operator_ref, ApplyReply::Conflict { current });
            return;
        }
        let request = PlatformRequest::PutObject {
            key: object,
            bytes: text.into_bytes(),
        };
        self.send_store_request(
            request,
            StorePurpose::PutSheetText(operator_ref, Box::new(row)),
        );
    }

    pub(super) fn on_apply_text(
        &mut self,
        operator_ref: OperatorRef,
        row: SheetRow,
        reply: Result<PlatformReply, PlatformError>,
    ) {
        if let Err(error) = reply {
            let detail = error.to_string();
            self.send_apply_reply(operator_ref, ApplyReply::Unknown { detail });
            return;
        }
        let key = ACTIVE_SHEET_KEY.to_owned();
        let precondition = match &self.config.row {
            Some(current) if current.version == row.base => Compare::ValueEquals {
                key: key.clone(),
                value: encode_row(current),
            },
            _ => Compare::Absent { key: key.clone() },
        };
        let txn = Txn {
            compare: vec![precondition],
            success: vec![
                Op::Put {
                    key: key.clone(),
                    value: encode_row(&row),
                },
                Op::Put {
                    key: format!("sheet/version/{:09}", row.version),
                    value: encode_row(&row),
                },
            ],
            failure: vec![Op::Get { key }],
        };
        let purpose = StorePurpose::ActivateSheet(operator_ref, Box::new(row));
        self.send_store_request(PlatformRequest::Txn(txn), purpose);
    }

    pub(super) fn on_apply_row(
        &mut self,
        operator_ref: OperatorRef,
        row: SheetRow,
        reply: Result<TxnReply, PlatformError>,
    ) {
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => {
                let detail = error.to_string();
                self.send_apply_reply(operator_ref, ApplyReply::Unknown { detail });
                return;
            }
        };
        let current = decode_row(&reply);
        let own_row_stored = current
            .as_ref()
            .is_some_and(|current| is_same_request(current, &row));
        self.config.poll_due_ms = 0;
        let apply_reply = if reply.succeeded || own_row_stored {
            ApplyReply::Accepted { row }
        } else {
            ApplyReply::Conflict { current }
        };
        self.send_apply_reply(operator_ref, apply_reply);
    }

    fn send_apply_reply(&mut self, operator_ref: OperatorRef, apply_reply: ApplyReply) {
        self.emit(Effect::Operator {
            operator_ref,
            reply: OperatorReply::Apply(apply_reply),
        });
    }
}
