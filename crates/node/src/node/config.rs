//! Sheet in force and new sheets.

use std::sync::Arc;

use compact_str::CompactString;
use lagoon_ids::{hash64, MarketName};
use lagoon_platform::{Compare, Op, PlatformError, PlatformReply, PlatformRequest, Txn, TxnReply};
use lagoon_program::ResourceAmounts;
use lagoon_sheet::{parse, Sheet, Workload};

use crate::constants::STORE_RETRY_DELAY_MS;
use crate::effect::Effect;
use crate::event::OperatorRef;
use crate::node::store::StoreUse;
use crate::node::Node;
use crate::status::{ApplyReply, OperatorReply, SheetRow};

const CURRENT_KEY: &str = "sheet/current";

/// Sheet in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct Config {
    pub(crate) sheet: Option<Arc<Sheet>>,
    pub(crate) row: Option<SheetRow>,
    pub(crate) text: String,
    pub(crate) confirmed_ms: u64,
    pub(crate) due_ms: u64,
}

impl Config {
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

    pub(crate) fn price_micros(&self, serves: Workload) -> u64 {
        let Some(sheet) = &self.sheet else {
            return 0;
        };
        match serves {
            Workload::Model(key) => sheet.models[key.index()].price_micros,
            Workload::Service(key) => sheet.services[key.index()].price_micros,
        }
    }
}

fn encode(row: &SheetRow) -> Vec<u8> {
    // Plain fields always can be written.
    serde_json::to_vec(row).unwrap_or_default()
}

fn decode(reply: &TxnReply) -> Option<SheetRow> {
    serde_json::from_slice(reply.value(CURRENT_KEY)?).ok()
}

/// Whether two rows come from the same request, made once or repeated.
fn same_request(a: &SheetRow, b: &SheetRow) -> bool {
    (a.version, &a.author, &a.object) == (b.version, &b.author, &b.object)
}

impl Node {
    /// Looks whether another version is in force.
    pub(super) fn poll_sheet(&mut self) {
        let now_ms = self.now_ms();
        if now_ms < self.config.due_ms {
            return;
        }
        self.config.due_ms = now_ms + self.settings.sheet_poll_ms;
        let txn = Txn {
            success: vec![Op::Get {
                key: CURRENT_KEY.to_owned(),
            }],
            ..Txn::default()
        };
        self.ask_store(PlatformRequest::Txn(txn), StoreUse::SheetRow);
    }

    pub(super) fn on_sheet_row(&mut self, reply: Result<TxnReply, PlatformError>) {
        let Ok(reply) = reply else {
            return;
        };
        let Some(row) = decode(&reply) else {
            return;
        };
        if row.version > self.config.version() {
            let key = row.object.clone();
            self.ask_store(
                PlatformRequest::GetObject { key },
                StoreUse::SheetText(Box::new(row)),
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
            Some(text) => self.take_sheet(row, text),
            None => self.config.due_ms = self.now_ms() + STORE_RETRY_DELAY_MS,
        }
    }

    /// Puts a sheet in force; versions only grow.
    fn take_sheet(&mut self, row: SheetRow, text: String) {
        if row.version <= self.config.version() {
            return;
        }
        let sheet = match parse(&text) {
            Ok(sheet) => sheet,
            Err(faults) => {
                log::error!(version = row.version, faults = faults.len(); "stored sheet is faulty");
                return;
            }
        };
        log::info!(version = row.version, author = row.author.as_str(); "sheet in force");
        self.balancer.on_sheet(&sheet);
        self.move_calls_to(&sheet);
        self.config.sheet = Some(Arc::new(sheet));
        self.config.row = Some(row);
        self.config.text = text;
        self.config.confirmed_ms = self.now_ms();
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
            self.answer_apply(operator_ref, ApplyReply::Faulty { faults });
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
        if known.is_some_and(|known| same_request(known, &row)) {
            let row = known.cloned().unwrap_or(row);
            self.answer_apply(operator_ref, ApplyReply::Accepted { row });
            return;
        }
        if self.config.version() != base {
            let current = self.config.row.clone();
            self.config.due_ms = 0;
            self.answer_apply(operator_ref, ApplyReply::Conflict { current });
            return;
        }
        let request = PlatformRequest::PutObject {
            key: object,
            bytes: text.into_bytes(),
        };
        self.ask_store(request, StoreUse::ApplyText(operator_ref, Box::new(row)));
    }

    pub(super) fn on_apply_text(
        &mut self,
        operator_ref: OperatorRef,
        row: SheetRow,
        reply: Result<PlatformReply, PlatformError>,
    ) {
        if let Err(error) = reply {
            let detail = error.to_string();
            self.answer_apply(operator_ref, ApplyReply::Unknown { detail });
            return;
        }
        let key = CURRENT_KEY.to_owned();
        let base = match &self.config.row {
            Some(current) if current.version == row.base => Compare::ValueEquals {
                key: key.clone(),
                value: encode(current),
            },
            _ => Compare::Absent { key: key.clone() },
        };
        let txn = Txn {
            compare: vec![base],
            success: vec![
                Op::Put {
                    key: key.clone(),
                    value: encode(&row),
                },
                Op::Put {
                    key: format!("sheet/version/{:09}", row.version),
                    value: encode(&row),
                },
            ],
            failure: vec![Op::Get { key }],
        };
        let purpose = StoreUse::ApplyRow(operator_ref, Box::new(row));
        self.ask_store(PlatformRequest::Txn(txn), purpose);
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
                self.answer_apply(operator_ref, ApplyReply::Unknown { detail });
                return;
            }
        };
        let current = decode(&reply);
        let found_own = current
            .as_ref()
            .is_some_and(|current| same_request(current, &row));
        self.config.due_ms = 0;
        let answer = if reply.succeeded || found_own {
            ApplyReply::Accepted { row }
        } else {
            ApplyReply::Conflict { current }
        };
        self.answer_apply(operator_ref, answer);
    }

    fn answer_apply(&mut self, operator_ref: OperatorRef, answer: ApplyReply) {
        self.emit(Effect::Operator {
            operator_ref,
            reply: OperatorReply::Apply(answer),
        });
    }
}
