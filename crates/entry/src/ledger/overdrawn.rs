//! List of programs that spent an allowance and whose budget then has too
//! little left for their largest call. They get no further allowance.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use lagoon_gateway::{ProgramKey, RowKey, RowWrite, StoreCall, StoreReply};
use tokio::time::sleep;

use crate::ledger::{BudgetClient, RETRY_DELAY};
use crate::tables::OVERDRAWN_TABLE;

/// Time for which a program stays listed; longer than programs may pause between
/// calls.
const LISTING_MS: u64 = 600_000;

/// Delay before a program that could not be listed is listed again.
const LISTING_RETRY_DELAY: Duration = Duration::from_millis(500);

fn overdrawn_write(program: &ProgramKey, expected_version: u64, is_listed: bool) -> RowWrite {
    RowWrite {
        key: RowKey {
            table: CompactString::const_new(OVERDRAWN_TABLE),
            partition: CompactString::default(),
            key: program.0.clone(),
        },
        expected_version,
        value: is_listed.then(|| b"1".to_vec()),
    }
}

impl BudgetClient {
    /// Waits until a program's deferred charge is written, and lists the program
    /// as overdrawn if its largest call doesn't fit into the rest of its budget.
    pub(super) async fn list_overdrawn(self: Rc<Self>, program: ProgramKey) {
        while self.budgets.borrow().has_deferred_charges(&program) {
            sleep(RETRY_DELAY).await;
        }
        if !self.budgets.borrow().lacks_room_for_largest_call(&program) {
            return;
        }
        self.set_overdrawn(program.clone(), true);
        let call = StoreCall::Transact(vec![overdrawn_write(&program, 0, true)]);
        loop {
            match self.execute_or_relay(&call).await {
                Ok(StoreReply::Applied { version }) => {
                    self.overdrawn_rows
                        .borrow_mut()
                        .push((program, version, self.clock.now_ms()));
                    return;
                }
                // Another VM or an earlier attempt has listed the program.
                Ok(_) => return,
                Err(error) => {
                    log::warn!(program = program.0.as_str(), error = error.to_string(); "cannot list an overdrawn program yet");
                    sleep(LISTING_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Records whether a program is listed as overdrawn; this VM grants a
    /// listed one no allowance.
    pub(crate) fn set_overdrawn(&self, program: ProgramKey, is_overdrawn: bool) {
        let mut allowances = self.allowances.borrow_mut();
        allowances.set_overdrawn(program, is_overdrawn);
    }

    /// Deletes the rows that this VM wrote to the overdrawn table at least
    /// `LISTING_MS` ago.
    pub(super) async fn remove_expired_overdrawn(&self) {
        let now_ms = self.clock.now_ms();
        let expired: Vec<_> = {
            let mut rows = self.overdrawn_rows.borrow_mut();
            let is_kept = |at_ms: u64| now_ms < at_ms + LISTING_MS;
            let expired = rows.iter().filter(|(_, _, at_ms)| !is_kept(*at_ms));
            let expired = expired.cloned().collect();
            rows.retain(|(_, _, at_ms)| is_kept(*at_ms));
            expired
        };
        for (program, version, _) in expired {
            let call = StoreCall::Transact(vec![overdrawn_write(&program, version, false)]);
            if let Err(error) = self.store.call(&call).await {
                log::debug!(error = error.to_string(); "cannot remove a program from the overdrawn list");
            }
        }
    }
}
