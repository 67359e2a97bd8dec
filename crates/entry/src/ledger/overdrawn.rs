//! List of programs that spent more than their budget, by an allowance.

use std::rc::Rc;

use compact_str::CompactString;
use lagoon_gateway::{ProgramKey, RowKey, RowWrite, StoreCall, StoreReply};
use tokio::time::sleep;

use crate::ledger::{Ledger, RETRY_PAUSE, TRIES};

/// Table of the overdrawn programs.
pub(crate) const OVERDRAWN_TABLE: &str = "overdrawn";

/// How long a program stays listed, beyond the time for which it may go on.
const LISTED_MS: u64 = 600_000;

fn overdrawn_write(program: &ProgramKey, expected: u64, is_listed: bool) -> RowWrite {
    RowWrite {
        key: RowKey {
            table: CompactString::const_new(OVERDRAWN_TABLE),
            partition: CompactString::default(),
            key: program.0.clone(),
        },
        expected_version: expected,
        value: is_listed.then(|| b"1".to_vec()),
    }
}

impl Ledger {
    /// Lists a program as overdrawn once its debt is charged, if it is.
    pub(super) async fn list_overdrawn(self: Rc<Self>, program: ProgramKey) {
        while self.accounts.borrow().lacks_room(&program, 0) {
            sleep(RETRY_PAUSE).await;
        }
        if !self.accounts.borrow().lacks_room_for_largest_call(&program) {
            return;
        }
        self.set_overdrawn(program.clone(), true);
        for _ in 0..TRIES {
            let call = StoreCall::Transact(vec![overdrawn_write(&program, 0, true)]);
            match self.store.call(&call).await {
                Ok(StoreReply::Applied { version }) => {
                    self.listed
                        .borrow_mut()
                        .push((program, version, self.clock.now_ms()));
                    return;
                }
                // Another VM listed it, or an earlier try did.
                Ok(_) => return,
                Err(error) => {
                    log::warn!(program = program.0.as_str(), error = error.to_string(); "overdrawn program not listed");
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Takes note whether a program is listed as overdrawn.
    pub(crate) fn set_overdrawn(&self, program: ProgramKey, is_overdrawn: bool) {
        let mut allowances = self.allowances.borrow_mut();
        allowances.set_overdrawn(program, is_overdrawn);
    }

    /// Takes programs that are long silent off the list.
    pub(super) async fn sweep_overdrawn(&self) {
        let now_ms = self.clock.now_ms();
        let over: Vec<_> = {
            let mut listed = self.listed.borrow_mut();
            let is_kept = |at_ms: u64| now_ms < at_ms + LISTED_MS;
            let over = listed.iter().filter(|(_, _, at_ms)| !is_kept(*at_ms));
            let over = over.cloned().collect();
            listed.retain(|(_, _, at_ms)| is_kept(*at_ms));
            over
        };
        for (program, version, _) in over {
            let call = StoreCall::Transact(vec![overdrawn_write(&program, version, false)]);
            if let Err(error) = self.store.call(&call).await {
                log::debug!(error = error.to_string(); "program stays listed as overdrawn");
            }
        }
    }
}
