//! Tokens that are reserved for one call, until it ends.

use std::net::SocketAddr;
use std::rc::Rc;

use compact_str::CompactString;
use lagoon_gateway::{AllowanceSettlement, Grant, ProgramKey};

use crate::ledger::BudgetClient;

/// Source of the tokens that are reserved for a call.
#[derive(Clone, Debug)]
pub(super) enum TokenSource {
    /// Charged in the program's row in the store; this VM holds the unused ones
    /// afterwards.
    Row,
    /// Held by the VM at this address, which gets the unused ones back.
    Peer { address: SocketAddr },
    /// Granted from the program's reserve by the VM of this name, its home, which
    /// gets the unused ones back.
    Reserve { home: CompactString },
    /// Granted from an allowance by the VM of this name, which gets a report of
    /// the used ones.
    Allowance { holder: CompactString },
}

/// Tokens reserved for one call. On drop, their source gets the unused ones
/// back, or a report of the used ones.
pub(crate) struct TokenReservation {
    budget_client: Rc<BudgetClient>,
    program: ProgramKey,
    source: TokenSource,
    granted_tokens: u64,
    used_tokens: u64,
    /// Further tokens of the same call, which are used after these.
    extensions: Vec<TokenReservation>,
}

impl TokenReservation {
    pub(super) fn new(
        budget_client: &Rc<BudgetClient>,
        program: &ProgramKey,
        source: TokenSource,
        granted_tokens: u64,
    ) -> TokenReservation {
        TokenReservation {
            budget_client: Rc::clone(budget_client),
            program: program.clone(),
            source,
            granted_tokens,
            used_tokens: 0,
            extensions: Vec::new(),
        }
    }

    /// Adds further tokens that were reserved for the same call.
    pub(crate) fn extend(&mut self, extension: TokenReservation) {
        self.extensions.push(extension);
    }

    /// Uses tokens; `false`, without effect, if too few are left.
    pub(crate) fn use_tokens(&mut self, tokens: u64) -> bool {
        if tokens > self.left_tokens() {
            return false;
        }
        let own_tokens = tokens.min(self.granted_tokens - self.used_tokens);
        self.used_tokens += own_tokens;
        let mut rest = tokens - own_tokens;
        for extension in &mut self.extensions {
            let part = rest.min(extension.left_tokens());
            extension.use_tokens(part);
            rest -= part;
        }
        true
    }

    pub(crate) fn granted_tokens(&self) -> u64 {
        let extensions = self.extensions.iter();
        self.granted_tokens + extensions.map(Self::granted_tokens).sum::<u64>()
    }

    pub(crate) fn used_tokens(&self) -> u64 {
        let extensions = self.extensions.iter();
        self.used_tokens + extensions.map(Self::used_tokens).sum::<u64>()
    }

    pub(crate) fn left_tokens(&self) -> u64 {
        self.granted_tokens() - self.used_tokens()
    }
}

impl Drop for TokenReservation {
    fn drop(&mut self) {
        let budget_client = &self.budget_client;
        match &self.source {
            TokenSource::Row => {
                let grant = Grant {
                    tokens: self.granted_tokens,
                };
                let now_ms = budget_client.clock.now_ms();
                let mut budgets = budget_client.budgets.borrow_mut();
                budgets.settle(&self.program, grant, self.used_tokens, now_ms);
            }
            TokenSource::Peer { address } => {
                let unused_tokens = self.granted_tokens - self.used_tokens;
                budget_client.return_tokens(*address, &self.program, unused_tokens);
            }
            TokenSource::Reserve { home } => {
                let unused_tokens = self.granted_tokens - self.used_tokens;
                budget_client.return_reserve(home.clone(), &self.program, unused_tokens);
            }
            TokenSource::Allowance { holder } => {
                let settlement = AllowanceSettlement {
                    program: self.program.0.clone(),
                    granted_tokens: self.granted_tokens,
                    used_tokens: self.used_tokens,
                };
                budget_client.report_settlement(holder.clone(), settlement);
            }
        }
    }
}
