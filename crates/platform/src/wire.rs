//! JSON forms of the table's and the VM list's messages.
//!
//! Keys and values are base64, as in the etcd v3 JSON gateway.

use base64::prelude::{Engine, BASE64_STANDARD};
use serde::{Deserialize, Serialize};

use crate::table::{Compare, Op, Row, Txn, TxnReply, VmEntry};

/// `/v3/kv/txn` request.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnJson {
    /// Conditions.
    pub compare: Vec<TxnCompareJson>,
    /// Operations if they hold.
    pub success: Vec<TxnOpJson>,
    /// Operations if one doesn't.
    pub failure: Vec<TxnOpJson>,
}

/// One condition.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnCompareJson {
    /// Key.
    pub key: String,
    /// `VERSION` or `VALUE`.
    pub target: String,
    /// `EQUAL`.
    pub result: String,
    /// Version to compare; 0 for an absent row.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Value to compare.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
}

/// One operation; just one field is set.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnOpJson {
    /// Write.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutJson>,
    /// Read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeJson>,
    /// Deletion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteJson>,
}

/// Write of one row.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct PutJson {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
}

/// Read of the rows from `key` up to `range_end`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RangeJson {
    /// First key.
    pub key: String,
    /// Key after the last; empty for one row.
    pub range_end: String,
}

/// Deletion of the rows from `key` up to `range_end`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct DeleteJson {
    /// First key.
    pub key: String,
    /// Key after the last; empty for one row.
    pub range_end: String,
}

/// `/v3/kv/txn` reply.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnReplyJson {
    /// Whether the conditions held.
    pub succeeded: bool,
    /// One result for each operation.
    pub responses: Vec<TxnResultJson>,
}

/// Result of one operation.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnResultJson {
    /// Rows read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeReplyJson>,
}

/// Rows read by one operation.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RangeReplyJson {
    /// Rows.
    pub kvs: Vec<KvJson>,
}

/// Row.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct KvJson {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
}

/// VM list.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct VmListJson {
    /// VMs.
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

/// Smallest key after all keys with the prefix; keys are ASCII.
fn range_end(prefix: &str) -> Vec<u8> {
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
                    range_end: encode(&range_end(prefix)),
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
