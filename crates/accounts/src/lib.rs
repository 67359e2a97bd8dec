//! Client accounts and the keys by which callers are recognized, without I/O.

mod account;
mod keys;

pub use account::{Account, Quota};
pub use keys::{Accounts, KeyLookup};
