//! Store requests and dispatch of their replies.

use lagoon_ids::Incarnation;
use lagoon_platform::{PlatformError, PlatformReply, PlatformRequest, TxnReply};

use crate::effect::Effect;
use crate::event::{OperatorRef, StoreRequestId};
use crate::node::Node;
use crate::status::SheetRow;

/// Purpose of a store request, which decides how its reply is handled.
#[derive(Clone, Debug)]
pub(crate) enum StorePurpose {
    /// Writes the row of this incarnation.
    Register,
    /// Reads the incarnation rows of the failure domain and the list of the incarnations that
    /// this one has sealed.
    ReadIncarnations,
    /// Reads or creates the shared secret.
    ReadSecret,
    /// Reads this incarnation's row; holds the send time in milliseconds.
    CheckSeal(u64),
    /// Reads the platform's VM list, for the number of VMs and those that are stopping.
    ListVms,
    AppendBatch,
    /// Stores a snapshot that covers the journal batches before this sequence number.
    PutSnapshot(u64),
    /// Publishes a stored snapshot, if any, and deletes the rows that the snapshot or an import
    /// made obsolete; the reply is ignored.
    DeleteObsolete,
    /// Reads the row that names a family's owner.
    ReadFamily(String),
    /// Reads the row of an incarnation to find out where calls of its programs go.
    ReadOwner(Incarnation),
    /// Executes the current step of a takeover.
    TakeoverStep(Incarnation),
    /// Reads the row of the active sheet, to find out whether there is a newer version.
    ReadSheetRow,
    /// Reads the text of the newer sheet that this row names.
    ReadSheetText(Box<SheetRow>),
    /// Stores the text of a new sheet.
    PutSheetText(OperatorRef, Box<SheetRow>),
    /// Activates a new sheet with a compare-and-set of its row.
    ActivateSheet(OperatorRef, Box<SheetRow>),
    /// Seals this incarnation's row at a planned stop.
    SealOwnRow,
}

impl Node {
    pub(super) fn send_store_request(&mut self, request: PlatformRequest, purpose: StorePurpose) {
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
            log::warn!(down; "store availability changed");
            self.store_unavailable = down;
        }
        match purpose {
            StorePurpose::Register => self.on_registered(txn(reply)),
            StorePurpose::ReadIncarnations => self.on_discovered(txn(reply)),
            StorePurpose::ReadSecret => self.on_secret(txn(reply)),
            StorePurpose::CheckSeal(requested_ms) => self.on_seal_check(requested_ms, txn(reply)),
            StorePurpose::ListVms => self.on_vm_list(reply),
            StorePurpose::AppendBatch => self.on_append_reply(txn(reply)),
            StorePurpose::PutSnapshot(sequence) => self.on_snapshot_stored(sequence, reply),
            StorePurpose::DeleteObsolete => {}
            StorePurpose::ReadFamily(family) => self.on_family_row(&family, txn(reply)),
            StorePurpose::ReadOwner(incarnation) => self.on_owner_row(&incarnation, txn(reply)),
            StorePurpose::TakeoverStep(incarnation) => self.on_takeover_reply(incarnation, reply),
            StorePurpose::ReadSheetRow => self.on_sheet_row(txn(reply)),
            StorePurpose::ReadSheetText(row) => self.on_sheet_text(*row, reply),
            StorePurpose::PutSheetText(operator_ref, row) => {
                self.on_apply_text(operator_ref, *row, reply);
            }
            StorePurpose::ActivateSheet(operator_ref, row) => {
                self.on_apply_row(operator_ref, *row, txn(reply));
            }
            StorePurpose::SealOwnRow => self.on_own_row_seal_reply(txn(reply)),
        }
    }
}

/// Extracts the reply of a transaction; any other reply becomes an error.
fn txn(reply: Result<PlatformReply, PlatformError>) -> Result<TxnReply, PlatformError> {
    match reply? {
        PlatformReply::Txn(reply) => Ok(reply),
        other => Err(PlatformError::Refused(format!(
            "unexpected reply {other:?}"
        ))),
    }
}
