//! One client account.

use compact_str::CompactString;
use lagoon_ids::hash64;

/// Requests that an account may run, over all VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second; above 0 and finite.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may come at once; at least 0 and finite.
    pub burst: f64,
}

/// Client account, without its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name, which targets are given in place of the key.
    pub name: CompactString,
    /// Hash of the name, which identifies the account in messages between VMs.
    pub hash: u64,
    /// Priority of its requests in place of the route's, 0 the highest; `None` if the
    /// route's applies.
    pub priority: Option<u32>,
    /// `None` without a limit.
    pub quota: Option<Quota>,
}

impl Account {
    /// Account of this name.
    pub fn new(name: CompactString, priority: Option<u32>, quota: Option<Quota>) -> Account {
        Account {
            hash: hash64(name.as_bytes()),
            name,
            priority,
            quota,
        }
    }
}
