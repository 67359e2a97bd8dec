//! Requests to the store and what their replies are for.

use lagoon_ids::Incarnation;
use lagoon_platform::{PlatformError, PlatformReply, PlatformRequest, TxnReply};

use crate::effect::Effect;
use crate::event::{OperatorRef, StoreRequestId};
use crate::node::Node;
use crate::status::SheetRow;

/// What a reply is for.
#[derive(Clone, Debug)]
pub(crate) enum StoreUse {
    /// Own row is written.
    Register,
    /// Rows of the domain's incarnations and of what this one sealed.
    Discover,
    /// Secret that VMs share.
    Secret,
    /// Own row, asked for at a time.
    CheckSeal(u64),
    /// VM list.
    Vms,
    /// Batch of the journal.
    Append,
    /// Snapshot of the journal before a sequence.
    Snapshot(u64),
    /// Rows and objects that nobody needs any more are gone.
    Cleaned,
    /// Row that names the owner of a family.
    Family(String),
    /// Row of an incarnation that owns a program.
    Lookup(Incarnation),
    /// Step of a takeover.
    TakeOver(Incarnation),
    /// Row of the sheet in force.
    SheetRow,
    /// Text of a sheet.
    SheetText(Box<SheetRow>),
    /// Text of a new sheet is stored.
    ApplyText(OperatorRef, Box<SheetRow>),
    /// New sheet is compared and set.
    ApplyRow(OperatorRef, Box<SheetRow>),
    /// Own row is sealed at a planned stop.
    SealOwn,
}

impl Node {
    pub(super) fn ask_store(&mut self, request: PlatformRequest, purpose: StoreUse) {
        let request_id = StoreRequestId(self.next_id());
        self.store_requests.insert(request_id, purpose);
        self.emit(Effect::Store {
            request_id,
            request,
        });
    }

    pub(super) fn on_store(
        &mut self,
        request_id: StoreRequestId,
        reply: Result<PlatformReply, PlatformError>,
    ) {
        let Some(purpose) = self.store_requests.remove(&request_id) else {
            return;
        };
        let down = matches!(
            reply,
            Err(PlatformError::NoReply(_) | PlatformError::CircuitOpen(_))
        );
        if down != self.store_unavailable {
            log::warn!(down; "store changed");
            self.store_unavailable = down;
        }
        match purpose {
            StoreUse::Register => self.on_registered(txn(reply)),
            StoreUse::Discover => self.on_discovered(txn(reply)),
            StoreUse::Secret => self.on_secret(txn(reply)),
            StoreUse::CheckSeal(requested_ms) => self.on_seal_check(requested_ms, txn(reply)),
            StoreUse::Vms => self.on_vm_list(reply),
            StoreUse::Append => self.on_append_reply(txn(reply)),
            StoreUse::Snapshot(sequence) => self.on_snapshot_stored(sequence, reply),
            StoreUse::Cleaned => {}
            StoreUse::Family(family) => self.on_family_row(&family, txn(reply)),
            StoreUse::Lookup(incarnation) => self.on_incarnation_row(&incarnation, txn(reply)),
            StoreUse::TakeOver(incarnation) => self.on_takeover_reply(incarnation, reply),
            StoreUse::SheetRow => self.on_sheet_row(txn(reply)),
            StoreUse::SheetText(row) => self.on_sheet_text(*row, reply),
            StoreUse::ApplyText(operator_ref, row) => {
                self.on_apply_text(operator_ref, *row, reply);
            }
            StoreUse::ApplyRow(operator_ref, row) => {
                self.on_apply_row(operator_ref, *row, txn(reply));
            }
            StoreUse::SealOwn => self.on_own_row_seal_reply(txn(reply)),
        }
    }
}

/// Reply of a transaction.
fn txn(reply: Result<PlatformReply, PlatformError>) -> Result<TxnReply, PlatformError> {
    match reply? {
        PlatformReply::Txn(reply) => Ok(reply),
        other => Err(PlatformError::Refused(format!(
            "unexpected reply {other:?}"
        ))),
    }
}
