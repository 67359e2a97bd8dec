//! Row of an incarnation.

use std::net::SocketAddr;

use lagoon_ids::{DomainName, Incarnation, VmName};
use lagoon_platform::{Compare, Op, Txn};
use serde::{Deserialize, Serialize};

use crate::keys::{incarnation_key, sealed_key};

/// Whether an incarnation may still append.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IncarnationState {
    /// Its daemon may append.
    Open,
    /// Its programs belong to another incarnation.
    Sealed {
        /// Successor.
        by: Incarnation,
    },
}

/// Row of an incarnation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct IncarnationRow {
    /// Incarnation.
    pub incarnation: Incarnation,
    /// VM that it runs on.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Number of its start, which grows with each start of the VM.
    pub started_ms: u64,
    /// Address for messages between VMs.
    pub peer_address: SocketAddr,
    /// Whether it may still append.
    pub state: IncarnationState,
}

impl IncarnationRow {
    /// Value of the row.
    pub fn encode(&self) -> Vec<u8> {
        // A struct of plain fields has no value that can't be written.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Row from its value.
    ///
    /// # Errors
    ///
    /// Fails when the value is no such row.
    pub fn decode(value: &[u8]) -> Result<IncarnationRow, serde_json::Error> {
        serde_json::from_slice(value)
    }

    /// Same row, sealed by a successor.
    pub fn sealed_by(&self, successor: &Incarnation) -> IncarnationRow {
        IncarnationRow {
            state: IncarnationState::Sealed {
                by: successor.clone(),
            },
            ..self.clone()
        }
    }
}

/// Transaction that seals an incarnation in favour of a successor.
///
/// Both rows have to be as given, so a VM that is sealed itself seals nobody,
/// and two VMs that stop at once do not name each other. If one of them is
/// not, the reply holds both.
pub fn seal_txn(sealed: &IncarnationRow, successor: &IncarnationRow) -> Txn {
    let sealed_at = incarnation_key(&sealed.incarnation);
    let successor_at = incarnation_key(&successor.incarnation);
    Txn {
        compare: vec![
            Compare::ValueEquals {
                key: sealed_at.clone(),
                value: sealed.encode(),
            },
            Compare::ValueEquals {
                key: successor_at.clone(),
                value: successor.encode(),
            },
        ],
        success: vec![
            Op::Put {
                key: sealed_at.clone(),
                value: sealed.sealed_by(&successor.incarnation).encode(),
            },
            Op::Put {
                key: sealed_key(&successor.incarnation, &sealed.incarnation),
                value: Vec::new(),
            },
        ],
        failure: vec![Op::Get { key: sealed_at }, Op::Get { key: successor_at }],
    }
}
