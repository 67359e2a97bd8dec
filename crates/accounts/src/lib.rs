//! Client accounts and the keys by which callers are recognized, without I/O.

mod account;
mod authentication;
mod freshness;
mod keys;

pub use account::{Account, Quota};
pub use authentication::{authenticate, Recency, Refusal};
pub use freshness::{Freshness, FreshnessSettings, StatedEvidence};
pub use keys::{Accounts, KeyLookup};
