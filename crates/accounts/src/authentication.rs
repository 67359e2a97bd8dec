//! Decision on a request by the key that it carries.

use std::sync::Arc;

use derive_more::Display;

use crate::account::Account;
use crate::keys::{Accounts, KeyLookup};

/// How recent the configuration in force is known to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Recency {
    /// So recent that a key which it lacks doesn't exist.
    Recent,
    /// So recent that its keys haven't been revoked in time to matter, but a newer
    /// configuration may have keys that it lacks.
    Aging,
    /// Its keys may have been revoked.
    Stale,
}

/// Why a request isn't served.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Refusal {
    /// It carries no key.
    #[display("no key")]
    NoKey,
    /// No account has the key.
    #[display("unknown key")]
    UnknownKey,
    /// A newer configuration may say otherwise.
    #[display("stale configuration")]
    StaleConfiguration,
    /// It isn't clear whose the key is.
    #[display("key in doubt")]
    KeyInDoubt,
}

impl Refusal {
    /// All reasons.
    pub const ALL: [Refusal; 4] = [
        Refusal::NoKey,
        Refusal::UnknownKey,
        Refusal::StaleConfiguration,
        Refusal::KeyInDoubt,
    ];

    /// Whether the caller must not send the request again with the same key.
    pub fn is_final(self) -> bool {
        match self {
            Refusal::NoKey | Refusal::UnknownKey => true,
            Refusal::StaleConfiguration | Refusal::KeyInDoubt => false,
        }
    }
}

/// Account that a request with this key is served for.
///
/// # Errors
///
/// Fails with the reason why the request must be refused.
pub fn authenticate(
    accounts: &Accounts,
    key: Option<&[u8]>,
    recency: Recency,
) -> Result<Arc<Account>, Refusal> {
    let refusal = match key.map(|key| accounts.find(key)) {
        Some(KeyLookup::Known(account)) if recency != Recency::Stale => return Ok(account),
        Some(KeyLookup::Known(_)) => Refusal::StaleConfiguration,
        Some(KeyLookup::InDoubt) => Refusal::KeyInDoubt,
        Some(KeyLookup::Unknown) => Refusal::UnknownKey,
        None => Refusal::NoKey,
    };
    match recency {
        Recency::Recent => Err(refusal),
        Recency::Aging | Recency::Stale if refusal.is_final() => Err(Refusal::StaleConfiguration),
        Recency::Aging | Recency::Stale => Err(refusal),
    }
}
