//! Decision logic of the gateway for forwarded requests: routing, placement,
//! retries, admission and token budgets.
//!
//! Nothing here has a clock, a thread, a socket or a random source; each call
//! gets times and random numbers as arguments.

mod admission;
mod affinity;
mod allowance;
mod budget;
mod config;
mod connectivity;
mod crash_log;
mod events;
mod gossip;
mod peers;
mod placement;
mod reply_timeout;
mod request_metadata;
mod reserve;
mod retry;
mod sentinel;
mod store;
mod store_versions;
mod targets;

pub use admission::{
    admit, AccountRates, Admission, AdmissionSettings, AdmittedPrograms, NewProgram,
    ProgramAdmission, ProgramDecision, Ticket,
};
pub use affinity::AffinityTable;
pub use allowance::{
    AllowanceRecord, AllowanceRequest, AllowanceRow, AllowanceSettlement, Allowances,
    PassedAllowance,
};
pub use budget::{
    BudgetRow, BudgetSettings, BudgetWrite, ChargeDecision, ChargeRequest, DeferredCharge, Grant,
    ProgramBudgets, ProgramKey, WaiterId, WriterMark,
};
pub use config::{Config, Engine, Limits, Route, RouteKind, Service, TrafficSplit};
pub use connectivity::{classify_connectivity, Connectivity, PeerProbe};
pub use crash_log::{fingerprint, CrashLog, CrashRecord, CrashUpdate};
pub use events::{CompleteEvents, EventReader};
pub use gossip::{
    AffinityUpdate, CapacityUpdate, GossipMessage, LoadReport, SessionHash, TargetHash,
    TargetUpdate,
};
pub use lagoon_capacity::{SampleKind, TargetSpeed};
pub use peers::{PeerEntry, PeerOutcome, Peers, PROTOCOL_VERSION};
pub use placement::{place, Placement, PlacementRequest, PlacementSettings};
pub use reply_timeout::ReplyTimeout;
pub use request_metadata::{ModelCall, RequestMetadata};
pub use reserve::{
    may_release_unconfirmed, reserve_tokens, HomeState, ReserveRequest, Reserves, RowCheck,
};
pub use retry::{decide_retry, AttemptFailure, Attempts, RetryDecision};
pub use sentinel::{
    evidence_ms, EvidenceAges, Sentinel, SentinelMessage, SentinelSettings, SentinelTable,
    TableVersions, WatchDuration,
};
pub use store::{Row, RowKey, RowWrite, StoreCall, StoreError, StoreReply};
pub use targets::{
    CapacityEstimate, LostAttempt, Target, TargetEntry, TargetKey, TargetLoad, TargetSettings,
    TargetStatus, Targets, UnfinishedAttempt,
};
