//! Table row of an incarnation.

use std::net::SocketAddr;

use lagoon_ids::{DomainName, Incarnation, VmName};
use lagoon_platform::{Compare, Op, Txn};
use serde::{Deserialize, Serialize};

use crate::keys::{incarnation_key, sealed_key};

/// Whether an incarnation may still append.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IncarnationState {
    /// Daemon of the incarnation may append to its journal.
    Open,
    /// A successor takes over the programs; further appends of the incarnation fail.
    Sealed {
        /// Incarnation that takes over.
        by: Incarnation,
    },
}

/// Table row of an incarnation, stored as JSON.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct IncarnationRow {
    /// Incarnation that the row describes, also contained in the row's key.
    pub incarnation: Incarnation,
    /// VM that runs or ran the incarnation.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Start of the incarnation, in milliseconds since the Unix epoch; increases
    /// with each start of the daemon on the VM.
    pub started_ms: u64,
    /// Address at which the VM receives messages from other VMs.
    pub peer_address: SocketAddr,
    /// Whether the incarnation may still append.
    pub state: IncarnationState,
}

impl IncarnationRow {
    /// Encodes the row as JSON.
    pub fn encode(&self) -> Vec<u8> {
        // The struct has only plain fields, so serialization cannot fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a row from JSON.
    ///
    /// # Errors
    ///
    /// Fails if the value is not an encoded row.
    pub fn decode(value: &[u8]) -> Result<IncarnationRow, serde_json::Error> {
        serde_json::from_slice(value)
    }

    /// Copy of the row that marks the incarnation as sealed by `successor`.
    pub fn sealed_by(&self, successor: &Incarnation) -> IncarnationRow {
        IncarnationRow {
            state: IncarnationState::Sealed {
                by: successor.clone(),
            },
            ..self.clone()
        }
    }
}

/// Transaction that seals an incarnation and names its successor.
///
/// The transaction succeeds only if both rows in the table are still as given.
/// So a sealed incarnation cannot seal another one, and two VMs that stop at the
/// same time cannot name each other as successors. On failure the reply contains both current rows.
pub fn seal_txn(sealed: &IncarnationRow, successor: &IncarnationRow) -> Txn {
    let sealed_row_key = incarnation_key(&sealed.incarnation);
    let successor_row_key = incarnation_key(&successor.incarnation);
    Txn {
        compare: vec![
            Compare::ValueEquals {
                key: sealed_row_key.clone(),
                value: sealed.encode(),
            },
            Compare::ValueEquals {
                key: successor_row_key.clone(),
                value: successor.encode(),
            },
        ],
        success: vec![
            Op::Put {
                key: sealed_row_key.clone(),
                value: sealed.sealed_by(&successor.incarnation).encode(),
            },
            Op::Put {
                key: sealed_key(&successor.incarnation, &sealed.incarnation),
                value: Vec::new(),
            },
        ],
        failure: vec![
            Op::Get {
                key: sealed_row_key,
            },
            Op::Get {
                key: successor_row_key,
            },
        ],
    }
}
