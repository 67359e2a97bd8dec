//! Messages between entry VMs, as postcard over HTTP.

use compact_str::CompactString;
use hyper::StatusCode;
use lagoon_gateway::{
    AllowanceRecord, AllowanceRequest, AllowanceSettlement, PassedAllowance, ReserveRequest,
    StoreCall, StoreError, StoreReply,
};
use lagoon_limits::RunId;
use lagoon_streams::StreamId;
use serde::{Deserialize, Serialize};

use crate::permits::PermitRequest;
use crate::quotas::{QuotaRequest, ReservationRequest, TransferRequest};

/// Path of the HTTP requests that carry messages.
pub(crate) const MESSAGE_PATH: &str = "/v1/message";

/// Maximum size of a message and of its response.
pub(crate) const MAX_MESSAGE_BYTES: usize = 1_200_000;

/// Status of the response to a message that can't be decoded, as it is of another
/// version. Nothing was executed. Builds before protocol version 7 respond with
/// [`StatusCode::BAD_REQUEST`] instead.
pub(crate) const NOT_UNDERSTOOD: StatusCode = StatusCode::NOT_IMPLEMENTED;

/// Response to [`PeerMessage::ExecuteStoreCall`].
pub type StoreResult = Result<StoreReply, StoreError>;

/// Message to another VM, with the response that it gets. The encoding is
/// positional, so variants and fields keep their order; new variants come at the end.
/// docs/design/compatibility.md says more.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Execute this call. Response: [`StoreResult`].
    ExecuteStoreCall(StoreCall),
    /// Transfer held tokens to the sender; if there are too few, release them to
    /// the program's row. Response: whether they were transferred.
    TakeHeldTokens {
        /// Name of the program.
        program: CompactString,
        /// Number of tokens.
        tokens: u64,
    },
    /// Transfer held tokens to the sender; if there are too few, or the program's
    /// row was not written recently, do nothing, as the sender can charge the row
    /// instead. Response: whether they were transferred.
    TakeSurplusTokens {
        /// Name of the program.
        program: CompactString,
        /// Number of tokens.
        tokens: u64,
    },
    /// Take back transferred tokens that were not used. Response: `true`.
    ReturnTokens {
        /// Name of the program.
        program: CompactString,
        /// Number of tokens.
        tokens: u64,
    },
    /// Grant tokens of an allowance. Response: their number; 0 if refused.
    RequestAllowance(AllowanceRequest),
    /// A call that got tokens of an allowance has ended. Response: `true`.
    SettleAllowance(AllowanceSettlement),
    /// Response: whether the store is unavailable to the receiver.
    Probe,
    /// A VM of an earlier build is about to grant allowances of a program. Response:
    /// whether the receiver agrees; `false`, as the program's row names who grants.
    ClaimCoordinator {
        /// Name of the program.
        program: CompactString,
        /// Incarnation of the VM that is about to grant them, by its name in messages
        /// of earlier versions.
        coordinator: CompactString,
    },
    /// Hold an encoded turn until the store has it. Response:
    /// [`CopyReply`](lagoon_turns::CopyReply).
    CopyTurn(Vec<u8>),
    /// The store has these turns. Response: `true`.
    ReleaseCopies(Vec<CompactString>),
    /// Grant tokens of a program's reserve. Response: their number; 0 if refused.
    TakeReserve(ReserveRequest),
    /// Take back tokens of a reserve that were not used. Response: `true`.
    ReturnReserve {
        /// Name of the program.
        program: CompactString,
        /// Number of tokens.
        tokens: u64,
    },
    /// Release a program's reserve for its row. Response: the tokens granted of
    /// it, or `None` if the receiver isn't the program's home.
    ReleaseReserve(ReserveRequest),
    /// Send a turn and those before it. Response: [`TurnReply`].
    FetchTurns {
        /// Id of the turn.
        last: CompactString,
    },
    /// The copies of these turns must not be used: the responses were cut off, or
    /// the store has other versions. Each has the hash of its version, as in
    /// `turns::version_hash`. Response: `true`.
    ForgetCopies(Vec<(CompactString, u64)>),
    /// Grant a permit for a request to a target with a limit. Response:
    /// [`PermitReply`](crate::permits::PermitReply).
    RequestPermit(PermitRequest),
    /// Send what is known of the origin of a stream. Response:
    /// [`OriginAnswer`](lagoon_streams::OriginAnswer).
    FindOrigin {
        /// The stream.
        stream: StreamId,
        /// Service that it is of.
        service: CompactString,
    },
    /// Find out whether the receiver reaches this run of a target. Response:
    /// [`TargetReach`](crate::paths::TargetReach).
    ReachTarget {
        /// Id of the target.
        id: CompactString,
        /// Run of the target.
        run: RunId,
    },
    /// Write the charges in these records of allowances. Response: `true`.
    HoldAllowances(Vec<AllowanceRecord>),
    /// Send how recent the receiver's configuration is. Response:
    /// `Option<`[`FreshnessReply`](crate::evidence::FreshnessReply)`>`; `None` if it doesn't know.
    ReadFreshness {
        /// Version of the configuration's row that is in force at the sender; 0 if none
        /// is.
        known_version: u64,
    },
    /// Grant tokens of an account's quota. Response:
    /// [`QuotaDecision`](lagoon_quotas::QuotaDecision).
    RequestQuota(QuotaRequest),
    /// Transfer tokens of an account's quota to the sender's failure domain. Response:
    /// their number, `u32`.
    TransferQuota(TransferRequest),
    /// Keep a copy of an encoded turn that the store has, as a cache for the receiver's
    /// failure domain. Response: `true`.
    CacheTurn(Vec<u8>),
    /// Grant tokens of an account's quota, and reserve some that are usable later. Response:
    /// [`Reservation`](lagoon_quotas::Reservation).
    ReserveQuota(ReservationRequest),
    /// Grant these allowances from now on, as the sender is stopping. Response: `true`;
    /// `false` if the receiver is stopping, too.
    PassAllowances(Vec<PassedAllowance>),
}

impl PeerMessage {
    /// Lowest [`PROTOCOL_VERSION`](lagoon_gateway::PROTOCOL_VERSION) with which a VM
    /// understands this message. A new variant gets a new version.
    pub fn protocol(&self) -> u32 {
        match self {
            PeerMessage::ExecuteStoreCall(StoreCall::ReadRange { .. })
            | PeerMessage::CopyTurn(_)
            | PeerMessage::ReleaseCopies(_)
            | PeerMessage::TakeReserve(_)
            | PeerMessage::ReturnReserve { .. }
            | PeerMessage::ReleaseReserve(_)
            | PeerMessage::FetchTurns { .. } => 2,
            PeerMessage::ExecuteStoreCall(_)
            | PeerMessage::TakeHeldTokens { .. }
            | PeerMessage::TakeSurplusTokens { .. }
            | PeerMessage::ReturnTokens { .. }
            | PeerMessage::RequestAllowance(_)
            | PeerMessage::SettleAllowance(_)
            | PeerMessage::Probe
            | PeerMessage::ClaimCoordinator { .. } => 1,
            PeerMessage::ForgetCopies(_) => 3,
            PeerMessage::RequestPermit(_) => 4,
            PeerMessage::FindOrigin { .. } => 5,
            PeerMessage::ReachTarget { .. } => 6,
            PeerMessage::HoldAllowances(_) => 8,
            PeerMessage::ReadFreshness { .. } => 9,
            PeerMessage::RequestQuota(_) | PeerMessage::TransferQuota(_) => 10,
            PeerMessage::CacheTurn(_) => 11,
            PeerMessage::ReserveQuota(_) => 12,
            PeerMessage::PassAllowances(_) => 13,
        }
    }
}

/// Response to [`PeerMessage::FetchTurns`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TurnReply {
    /// Encoded turns: the one asked for and its ancestors, the nearest first, as
    /// far as the VM has them.
    pub turns: Vec<Vec<u8>>,
    /// If there are none: whether the VM is sure that it holds none.
    pub is_sure: bool,
}
