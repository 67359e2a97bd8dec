//! Live and leaving VMs, from heartbeats, announcements and the VM list.
//!
//! Of several signs the worst one counts: a VM that any source calls leaving
//! gets no new work, and a list that lags never brings one back. Only a new
//! incarnation does.

mod heartbeat;
mod members;

pub use heartbeat::{Heartbeat, LoadReport};
pub use members::{Member, Membership, MembershipChange, MembershipSettings};
