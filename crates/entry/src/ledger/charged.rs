//! Charge of one call, until it ends.

use std::net::SocketAddr;
use std::rc::Rc;

use compact_str::CompactString;
use lagoon_gateway::{AllowanceSettlement, Grant, ProgramKey};

use crate::ledger::Ledger;

/// Where the tokens come from.
#[derive(Clone, Debug)]
pub(super) enum Source {
    /// Program's row.
    Row,
    /// Another VM that held them.
    Holder {
        /// Its address.
        address: SocketAddr,
    },
    /// Allowance that a VM hands out.
    Allowance {
        /// The VM.
        steward: CompactString,
    },
}

/// Charge of a call; gives back on drop what was not used.
pub(crate) struct Charged {
    ledger: Rc<Ledger>,
    program: ProgramKey,
    source: Source,
    granted_tokens: u64,
    used_tokens: u64,
}

impl Charged {
    pub(super) fn new(
        ledger: &Rc<Ledger>,
        program: &ProgramKey,
        source: Source,
        granted_tokens: u64,
    ) -> Charged {
        Charged {
            ledger: Rc::clone(ledger),
            program: program.clone(),
            source,
            granted_tokens,
            used_tokens: 0,
        }
    }

    /// Uses tokens, if the charge holds them.
    pub(crate) fn use_tokens(&mut self, tokens: u64) -> bool {
        if self.used_tokens + tokens > self.granted_tokens {
            return false;
        }
        self.used_tokens += tokens;
        true
    }

    pub(crate) fn used_tokens(&self) -> u64 {
        self.used_tokens
    }
}

impl Drop for Charged {
    fn drop(&mut self) {
        let ledger = &self.ledger;
        match &self.source {
            Source::Row => {
                let grant = Grant {
                    tokens: self.granted_tokens,
                };
                let now_ms = ledger.clock.now_ms();
                let mut accounts = ledger.accounts.borrow_mut();
                accounts.settle(&self.program, grant, self.used_tokens, now_ms);
            }
            Source::Holder { address } => {
                let unused_tokens = self.granted_tokens - self.used_tokens;
                ledger.hand_back(*address, &self.program, unused_tokens);
            }
            Source::Allowance { steward } => {
                let end = AllowanceSettlement {
                    program: self.program.0.clone(),
                    granted_tokens: self.granted_tokens,
                    used_tokens: self.used_tokens,
                };
                ledger.tell_steward(steward.clone(), end);
            }
        }
    }
}
