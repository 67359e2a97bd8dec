//! Check that this incarnation has not been sealed.
//!
//! The store rejects appends of a sealed incarnation, so durable state does
//! not depend on this check. However, only at-most-once calls append an intent
//! before they are dispatched. A VM that was paused or partitioned could run
//! other calls after its successor has taken over, so it first reads its own
//! incarnation row.

use lagoon_ids::ProgramId;
use lagoon_journal::{incarnation_key, IncarnationRow, IncarnationState};
use lagoon_platform::{Op, PlatformError, PlatformRequest, Txn, TxnReply};

use crate::node::store::StorePurpose;
use crate::node::Node;

/// Time, from the sending of a read that found the row of this incarnation open (not
/// sealed), for which calls may be dispatched while this VM may be sealed.
const SEAL_CHECK_VALID_MS: u64 = 500;
/// Interval between reads of the row while this VM may be sealed.
const SEAL_CHECK_INTERVAL_MS: u64 = 250;

/// Times from which this VM decides whether it may dispatch calls, or may have been sealed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SealCheck {
    /// Time of the latest event; 0 before the first.
    last_event_ms: u64,
    /// End of the latest pause; `None` once a read sent after it found the row open.
    resumed_ms: Option<u64>,
    /// Send time of the latest read that found the row open.
    last_open_ms: u64,
    /// Send time of the latest read; 0 if the next one is due at once.
    requested_ms: u64,
}

impl Node {
    /// Detects that this VM was paused, by a gap between events of more than half the
    /// time after which a silent VM is declared dead.
    ///
    /// While the VM runs, ticks keep the gaps shorter.
    pub(super) fn detect_pause(&mut self) {
        let now_ms = self.now_ms();
        let last_ms = std::mem::replace(&mut self.seal_check.last_event_ms, now_ms);
        if last_ms > 0 && now_ms - last_ms > self.settings.suspect_ms / 2 {
            log::warn!(paused_ms = now_ms - last_ms; "this VM was paused");
            // Heartbeats may have been missed during the pause, so the members'
            // silence says nothing about them.
            self.members.reset_silence_timers(now_ms);
            self.seal_check.resumed_ms = Some(now_ms);
            self.seal_check.requested_ms = 0;
            self.check_seal();
        }
    }

    /// Whether another VM may have declared this one dead without this one knowing.
    fn may_be_sealed(&self) -> bool {
        self.seal_check.resumed_ms.is_some() || !self.members.has_quorum()
    }

    /// Requests the incarnation row if this VM may be sealed and a read is due.
    pub(super) fn check_seal(&mut self) {
        let now_ms = self.now_ms();
        let due = now_ms >= self.seal_check.requested_ms + SEAL_CHECK_INTERVAL_MS;
        if !due || !self.may_be_sealed() || !self.ownership.registered {
            return;
        }
        self.seal_check.requested_ms = now_ms;
        let txn = Txn {
            success: vec![Op::Get {
                key: incarnation_key(self.incarnation()),
            }],
            ..Txn::default()
        };
        self.send_store_request(PlatformRequest::Txn(txn), StorePurpose::CheckSeal(now_ms));
    }

    pub(super) fn on_seal_check(
        &mut self,
        requested_ms: u64,
        reply: Result<TxnReply, PlatformError>,
    ) {
        let Ok(reply) = reply else {
            return;
        };
        let row = reply.rows().next();
        let row = row.and_then(|row| IncarnationRow::decode(&row.value).ok());
        if row.is_none_or(|row| row.state != IncarnationState::Open) {
            self.on_own_row_sealed();
            return;
        }
        let seal_check = &mut self.seal_check;
        seal_check.last_open_ms = seal_check.last_open_ms.max(requested_ms);
        if seal_check
            .resumed_ms
            .is_some_and(|resumed_ms| requested_ms >= resumed_ms)
        {
            seal_check.resumed_ms = None;
        }
        self.drain_queue();
    }

    /// Whether calls of a program may be dispatched.
    ///
    /// A provisional family is unknown to any successor, so it needs no check.
    pub(super) fn may_dispatch(&self, program: &ProgramId) -> bool {
        if !self.may_be_sealed() || self.is_provisional_family(program) {
            return true;
        }
        let is_recent = self.now_ms() < self.seal_check.last_open_ms + SEAL_CHECK_VALID_MS;
        self.seal_check.resumed_ms.is_none() && is_recent
    }
}
