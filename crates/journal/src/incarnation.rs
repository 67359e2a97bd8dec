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
    /// Its daemon may append to the journal.
    Open,
    /// A successor owns its programs, and appends fail.
    Sealed {
        /// Successor incarnation.
        by: Incarnation,
    },
}

/// Table row of an incarnation, stored as JSON.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct IncarnationRow {
    /// Identifier of the incarnation.
    pub incarnation: Incarnation,
    /// VM of the incarnation.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Start of the incarnation, in milliseconds; increases with each start of the VM.
    pub started_ms: u64,
    /// Address for messages between VMs.
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

    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// Fails if the value is not an encoded row.
    pub fn decode(value: &[u8]) -> Result<IncarnationRow, serde_json::Error> {
        serde_json::from_slice(value)
    }

    /// Copy of the row, sealed by `successor`.
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
/// It succeeds only if both rows are still as given. So a sealed incarnation
/// cannot seal another one, and two VMs that stop at the same time cannot name
/// each other as successors. On failure the reply contains both current rows.
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
