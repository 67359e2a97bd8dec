//! Client accounts: callers' requests are served by the keys that they carry.

use std::sync::Arc;

use http::HeaderMap;
use lagoon_accounts::{authenticate, Account, Recency, Refusal};
use lagoon_adapter::{caller_key, AccountHeaders};
use lagoon_gateway::{Config, Route};

/// For whom a request is served.
#[derive(Clone, Debug, Default)]
pub(crate) enum Identity {
    /// The configuration has no accounts.
    #[default]
    NoAccounts,
    /// The route is public.
    Public,
    /// The account of the caller's key.
    Account(Arc<Account>),
}

impl Identity {
    /// Identity of the caller of a request on this route.
    pub(crate) fn find(
        config: &Config,
        route: &Route,
        headers: &HeaderMap,
        recency: Recency,
    ) -> Result<Identity, Refusal> {
        let Some(accounts) = &config.accounts else {
            return Ok(Identity::NoAccounts);
        };
        if route.is_public {
            return Ok(Identity::Public);
        }
        authenticate(accounts, caller_key(headers), recency).map(Identity::Account)
    }

    pub(crate) fn account(&self) -> Option<&Arc<Account>> {
        match self {
            Identity::Account(account) => Some(account),
            Identity::NoAccounts | Identity::Public => None,
        }
    }

    /// What targets get of it.
    pub(crate) fn headers(&self) -> AccountHeaders<'_> {
        match self {
            Identity::NoAccounts => AccountHeaders::AsReceived,
            Identity::Public => AccountHeaders::None,
            Identity::Account(account) => AccountHeaders::Name(&account.name),
        }
    }
}
