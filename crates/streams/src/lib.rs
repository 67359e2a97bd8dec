//! Software version that began each event stream, recorded at other VMs than the one
//! that relays it, so that the stream goes on at this version after that VM's death.
//!
//! Nothing here has a clock, a thread, a socket or a random source; each call gets
//! times as arguments.

mod holders;
mod origin;
mod versions;

pub use holders::{heir, holder_candidates, holders};
pub use origin::{
    decide_origin, OriginAnswer, OriginRecord, OriginReply, Origins, SoftwareId, StreamId,
    UnknownOrigin,
};
pub use versions::VersionHistory;
