//! JSON messages of the table and the VM list.
//!
//! Keys and values are encoded in base64 and integers as strings, as in the
//! etcd v3 JSON gateway.

use base64::prelude::{Engine, BASE64_STANDARD};
use serde::{Deserialize, Serialize};

use crate::request::{Compare, Op, Row, Txn, TxnReply, VmEntry};

/// Body of a `/v3/kv/txn` request.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnJson {
    /// Conditions, all of which must hold.
    pub compare: Vec<TxnCompareJson>,
    /// Operations to run if every condition holds.
    pub success: Vec<TxnOpJson>,
    /// Operations to run if a condition fails.
    pub failure: Vec<TxnOpJson>,
}

/// Condition of a transaction.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnCompareJson {
    /// Key of the row, in base64.
    pub key: String,
    /// What is compared: `VERSION` or `VALUE`.
    pub target: String,
    /// Comparison operator; always `EQUAL` here.
    pub result: String,
    /// Expected version if `target` is `VERSION`; `0` for an absent row.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Expected value in base64 if `target` is `VALUE`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
}

/// Operation of a transaction; exactly one field is set.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnOpJson {
    /// Write of one row.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutJson>,
    /// Read of a key range.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeJson>,
    /// Deletion of a key range.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteJson>,
}

/// Write of one row.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct PutJson {
    /// Key of the row, in base64.
    pub key: String,
    /// Value to write, in base64.
    pub value: String,
}

/// Read of the rows in the half-open key range `key..range_end`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RangeJson {
    /// First key of the range, in base64.
    pub key: String,
    /// First key after the range, in base64; empty to read `key` alone.
    pub range_end: String,
}

/// Deletion of the rows in the half-open key range `key..range_end`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct DeleteJson {
    /// First key of the range, in base64.
    pub key: String,
    /// First key after the range, in base64; empty to delete `key` alone.
    pub range_end: String,
}

/// Body of a `/v3/kv/txn` reply.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnReplyJson {
    /// Whether every condition held.
    pub succeeded: bool,
    /// Results of the operations that were run, in order.
    pub responses: Vec<TxnResultJson>,
}

/// Result of one operation.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnResultJson {
    /// Rows read; absent for a write or a deletion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeReplyJson>,
}

/// Rows read by one operation.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RangeReplyJson {
    /// Rows, sorted by key.
    pub kvs: Vec<KvJson>,
}

/// Row of the table.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct KvJson {
    /// Key in base64.
    pub key: String,
    /// Value in base64.
    pub value: String,
}

/// Body of a `/vms` reply.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct VmListJson {
    /// VMs, each with its failure domain.
    pub vms: Vec<VmEntry>,
}

fn encode(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

fn decode(text: &str) -> Result<Vec<u8>, String> {
    BASE64_STANDARD
        .decode(text)
        .map_err(|error| error.to_string())
}

fn decode_key(text: &str) -> Result<String, String> {
    String::from_utf8(decode(text)?).map_err(|error| error.to_string())
}

/// Smallest key greater than all keys with the prefix.
///
/// Incrementing the last byte cannot overflow, since keys are ASCII.
fn prefix_range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

impl From<&Compare> for TxnCompareJson {
    fn from(compare: &Compare) -> Self {
        let mut json = TxnCompareJson {
            key: encode(compare.key().as_bytes()),
            result: "EQUAL".to_owned(),
            ..TxnCompareJson::default()
        };
        match compare {
            Compare::Absent { .. } => {
                json.target = "VERSION".to_owned();
                json.version = Some("0".to_owned());
            }
            Compare::ValueEquals { value, .. } => {
                json.target = "VALUE".to_owned();
                json.value = Some(encode(value));
            }
        }
        json
    }
}

impl From<&Op> for TxnOpJson {
    fn from(op: &Op) -> Self {
        let mut json = TxnOpJson::default();
        match op {
            Op::Put { key, value } => {
                json.request_put = Some(PutJson {
                    key: encode(key.as_bytes()),
                    value: encode(value),
                });
            }
            Op::Get { key } => {
                json.request_range = Some(RangeJson {
                    key: encode(key.as_bytes()),
                    range_end: String::new(),
                });
            }
            Op::Range { prefix } => {
                json.request_range = Some(RangeJson {
                    key: encode(prefix.as_bytes()),
                    range_end: encode(&prefix_range_end(prefix)),
                });
            }
            Op::Delete { key } => {
                json.request_delete_range = Some(DeleteJson {
                    key: encode(key.as_bytes()),
                    range_end: String::new(),
                });
            }
            Op::DeleteRange { from, to } => {
                json.request_delete_range = Some(DeleteJson {
                    key: encode(from.as_bytes()),
                    range_end: encode(to.as_bytes()),
                });
            }
        }
        json
    }
}

impl From<&Txn> for TxnJson {
    fn from(txn: &Txn) -> Self {
        TxnJson {
            compare: txn.compare.iter().map(TxnCompareJson::from).collect(),
            success: txn.success.iter().map(TxnOpJson::from).collect(),
            failure: txn.failure.iter().map(TxnOpJson::from).collect(),
        }
    }
}

impl TryFrom<TxnReplyJson> for TxnReply {
    type Error = String;

    fn try_from(json: TxnReplyJson) -> Result<Self, String> {
        let results: Result<Vec<Vec<Row>>, String> = json
            .responses
            .into_iter()
            .map(|result| {
                let kvs = result.response_range.unwrap_or_default().kvs;
                kvs.into_iter().map(Row::try_from).collect()
            })
            .collect();
        Ok(TxnReply {
            succeeded: json.succeeded,
            results: results?,
        })
    }
}

impl TryFrom<KvJson> for Row {
    type Error = String;

    fn try_from(json: KvJson) -> Result<Self, String> {
        Ok(Row {
            key: decode_key(&json.key)?,
            value: decode(&json.value)?,
        })
    }
}
