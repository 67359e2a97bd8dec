//! Accounts by key. Keys are held as digests with a secret of the process, so that
//! neither the time of a lookup nor a dump of the table tells anything of a key.

use std::fmt;
use std::sync::{Arc, LazyLock};

use hmac::{Hmac, KeyInit, Mac};
use lagoon_ids::FastMap;
use sha2::Sha256;

use crate::account::Account;

const DIGEST_BYTES: usize = 32;

type Digest = [u8; DIGEST_BYTES];

static SECRET: LazyLock<Digest> = LazyLock::new(rand::random);

fn digest(key: &[u8]) -> Digest {
    // HMAC takes secrets of any length.
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(&*SECRET) else {
        unreachable!("HMAC refused its secret");
    };
    mac.update(key);
    mac.finalize().into_bytes().into()
}

/// Account of a key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyLookup {
    /// The key is this account's.
    Known(Arc<Account>),
    /// The configuration holds the key, and it isn't clear for which account.
    InDoubt,
    /// The configuration doesn't hold the key.
    Unknown,
}

/// Accounts of one version of the configuration, by key.
#[derive(Clone, Default, PartialEq)]
pub struct Accounts {
    /// `None` for a key that is in doubt.
    by_digest: FastMap<Digest, Option<Arc<Account>>>,
    /// Whether there may be keys that can't be read.
    is_unreadable: bool,
}

impl Accounts {
    /// Accounts that can't be read at all: every key is in doubt.
    pub fn unreadable() -> Accounts {
        Accounts {
            is_unreadable: true,
            ..Accounts::default()
        }
    }

    /// Accounts that have a key, one time for each key.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_digest.values().flatten()
    }

    /// Adds a key of an account. A key that another account has, too, or one that can't
    /// be read, is in doubt from then on; returns whether that is so.
    pub fn add_key(&mut self, key: &[u8], account: &Arc<Account>) -> bool {
        let entry = self.by_digest.entry(digest(key));
        let known = entry.or_insert_with(|| Some(Arc::clone(account)));
        if known
            .as_ref()
            .is_some_and(|known| known.name != account.name)
        {
            *known = None;
        }
        known.is_none()
    }

    /// Adds a key whose account can't be read.
    pub fn add_doubtful_key(&mut self, key: &[u8]) {
        self.by_digest.insert(digest(key), None);
    }

    /// Account of a key.
    pub fn find(&self, key: &[u8]) -> KeyLookup {
        match self.by_digest.get(&digest(key)) {
            Some(Some(account)) => KeyLookup::Known(Arc::clone(account)),
            Some(None) => KeyLookup::InDoubt,
            None if self.is_unreadable => KeyLookup::InDoubt,
            None => KeyLookup::Unknown,
        }
    }
}

impl fmt::Debug for Accounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let keys = self.by_digest.len();
        formatter
            .debug_struct("Accounts")
            .field("keys", &keys)
            .finish()
    }
}
