//! Identifiers, the hash map alias and rendezvous hashing.
//!
//! Names are short strings from settings, sheets and callers. They are
//! validated once, on input, and then passed on as typed values.

mod call;
mod maps;
mod names;
mod rendezvous;
mod trace;

pub use call::{CallKey, ProgramId};
pub use maps::{FastMap, FastSet};
pub use names::{
    AccountName, DomainName, Incarnation, MarketName, ModelName, NameError, ServiceName,
    TargetName, VmName, NAME_LIMIT_BYTES,
};
pub use rendezvous::{hash64, rendezvous_hash};
pub use trace::TraceContext;
