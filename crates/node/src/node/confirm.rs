//! Confirmation that the own incarnation is still open.
//!
//! Appends are refused once a successor has sealed this incarnation, so
//! nothing that must be agreed depends on this. A repeatable call needs no
//! append, though, and a VM that was paused or cut off could run one after
//! its successor has gone on. Such a VM first reads its own row.

use lagoon_ids::ProgramId;
use lagoon_journal::{incarnation_key, IncarnationRow, IncarnationState};
use lagoon_platform::{Op, PlatformError, PlatformRequest, Txn, TxnReply};

use crate::node::store::StoreUse;
use crate::node::Node;

/// Time for which a read of the own row counts while in doubt.
const CONFIRMED_MS: u64 = 500;
/// Time between two reads while in doubt.
const AGAIN_MS: u64 = 250;

/// What is known of the own row.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Confirmation {
    last_event_ms: u64,
    /// Start of the latest pause's end, until the row was read after it.
    woken_ms: Option<u64>,
    /// Start of the latest read that found the row open.
    read_ms: u64,
    asked_ms: u64,
}

impl Node {
    /// Notices that this VM was paused; ticks keep the time between events short.
    pub(super) fn note_time(&mut self) {
        let now_ms = self.now_ms();
        let last_ms = std::mem::replace(&mut self.confirmation.last_event_ms, now_ms);
        if last_ms > 0 && now_ms - last_ms > self.settings.suspect_ms / 2 {
            log::warn!(paused_ms = now_ms - last_ms; "this VM was paused");
            // The others were not silent, this VM was deaf.
            self.members.reset_silence_timers(now_ms);
            self.confirmation.woken_ms = Some(now_ms);
            self.confirmation.asked_ms = 0;
            self.check_confirmation();
        }
    }

    fn is_in_doubt(&self) -> bool {
        self.confirmation.woken_ms.is_some() || !self.members.has_quorum()
    }

    /// Reads the own row again while in doubt.
    pub(super) fn check_confirmation(&mut self) {
        let now_ms = self.now_ms();
        let due = now_ms >= self.confirmation.asked_ms + AGAIN_MS;
        if !due || !self.is_in_doubt() || !self.ownership.registered {
            return;
        }
        self.confirmation.asked_ms = now_ms;
        let txn = Txn {
            success: vec![Op::Get {
                key: incarnation_key(self.incarnation()),
            }],
            ..Txn::default()
        };
        self.ask_store(PlatformRequest::Txn(txn), StoreUse::Confirm(now_ms));
    }

    pub(super) fn on_confirmed(&mut self, asked_ms: u64, reply: Result<TxnReply, PlatformError>) {
        let Ok(reply) = reply else {
            return;
        };
        let row = reply.rows().next();
        let row = row.and_then(|row| IncarnationRow::decode(&row.value).ok());
        if row.is_none_or(|row| row.state != IncarnationState::Open) {
            self.on_own_row_sealed();
            return;
        }
        let confirmation = &mut self.confirmation;
        confirmation.read_ms = confirmation.read_ms.max(asked_ms);
        if confirmation
            .woken_ms
            .is_some_and(|woken_ms| asked_ms >= woken_ms)
        {
            confirmation.woken_ms = None;
        }
        self.drain_queue();
    }

    /// Whether calls of a family may be sent now.
    pub(super) fn may_send(&self, program: &ProgramId) -> bool {
        if !self.is_in_doubt() || self.is_provisional_family(program) {
            return true;
        }
        let fresh = self.now_ms() < self.confirmation.read_ms + CONFIRMED_MS;
        self.confirmation.woken_ms.is_none() && fresh
    }
}
