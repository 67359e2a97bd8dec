//! Simulated platform: a transactional table, an object store and a VM list.
//!
//! Control: `POST /control` with `{"mode": "up" | "down" | "slow" |
//! "lose_replies", "delay_ms": n}`, and `PUT /vms` with a VM list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use base64::prelude::{Engine, BASE64_STANDARD};
use lagoon_platform::{
    KvJson, RangeReplyJson, TxnCompareJson, TxnJson, TxnOpJson, TxnReplyJson, TxnResultJson,
    VmListJson,
};
use serde::{Deserialize, Serialize};
use tiny_http::{Method, Request};

use crate::http::{read_body, respond, respond_json, serve};

/// Fault that the platform simulates.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Mode {
    #[default]
    Up,
    Down,
    Slow,
    LoseReplies,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct Control {
    mode: Mode,
    #[serde(default)]
    delay_ms: u64,
}

/// Counters that `GET /counts` returns.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct RequestCounts {
    txn_writes: u64,
    txn_reads: u64,
    rows_written: u64,
    object_writes: u64,
    object_reads: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Vec<u8>, Vec<u8>>,
    objects: BTreeMap<String, Vec<u8>>,
    vms: VmListJson,
    control: Control,
    counts: RequestCounts,
}

struct Platform {
    state: Mutex<State>,
}

/// Serves the platform until the process ends; `write_ms` is the duration of each
/// transaction, also of one that only reads.
///
/// # Errors
///
/// Fails if it can't listen on the address.
pub fn run(address: SocketAddr, write_ms: u64) -> Result<(), String> {
    let platform = Platform {
        state: Mutex::new(State::default()),
    };
    serve(address, move |request| platform.handle(request, write_ms))
}

impl Platform {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, mut request: Request, write_ms: u64) {
        let bytes = read_body(&mut request);
        let path = request.url().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::Post, "/control") => self.set_control(request, &bytes),
            (Method::Get, "/counts") => respond_json(request, 200, &self.state().counts),
            (Method::Put, "/vms") => self.set_vms(request, &bytes),
            (method, path) => {
                let control = self.state().control;
                if control.mode == Mode::Down {
                    return respond(request, 503, "text/plain", b"down".to_vec());
                }
                if control.mode == Mode::Slow {
                    thread::sleep(Duration::from_millis(control.delay_ms));
                }
                let reply = self.serve(&method, path, &bytes, write_ms);
                if control.mode == Mode::LoseReplies {
                    return respond(request, 504, "text/plain", b"reply lost".to_vec());
                }
                respond(request, reply.0, reply.1, reply.2);
            }
        }
    }

    fn set_control(&self, request: Request, bytes: &[u8]) {
        match serde_json::from_slice(bytes) {
            Ok(control) => {
                self.state().control = control;
                respond(request, 204, "text/plain", Vec::new());
            }
            Err(error) => respond(request, 400, "text/plain", error.to_string().into_bytes()),
        }
    }

    fn set_vms(&self, request: Request, bytes: &[u8]) {
        match serde_json::from_slice(bytes) {
            Ok(vms) => {
                self.state().vms = vms;
                respond(request, 204, "text/plain", Vec::new());
            }
            Err(error) => respond(request, 400, "text/plain", error.to_string().into_bytes()),
        }
    }

    fn serve(
        &self,
        method: &Method,
        path: &str,
        bytes: &[u8],
        write_ms: u64,
    ) -> (u16, &'static str, Vec<u8>) {
        let content_type = "text/plain";
        match (method, path) {
            (Method::Post, "/v3/kv/txn") => match serde_json::from_slice(bytes) {
                Ok(txn) => {
                    thread::sleep(Duration::from_millis(write_ms));
                    let reply = self.state().execute_txn(&txn);
                    let bytes = serde_json::to_vec(&reply).unwrap_or_default();
                    (200, "application/json", bytes)
                }
                Err(error) => (400, content_type, error.to_string().into_bytes()),
            },
            (Method::Get, "/vms") => {
                let bytes = serde_json::to_vec(&self.state().vms).unwrap_or_default();
                (200, "application/json", bytes)
            }
            (Method::Put, path) if path.starts_with("/objects/") => {
                let mut state = self.state();
                state.counts.object_writes += 1;
                state.objects.insert(path.to_owned(), bytes.to_vec());
                (200, content_type, Vec::new())
            }
            (Method::Get, path) if path.starts_with("/objects/") => {
                let mut state = self.state();
                state.counts.object_reads += 1;
                match state.objects.get(path) {
                    Some(bytes) => (200, "application/octet-stream", bytes.clone()),
                    None => (404, content_type, Vec::new()),
                }
            }
            _ => (404, content_type, Vec::new()),
        }
    }
}

impl State {
    fn execute_txn(&mut self, txn: &TxnJson) -> TxnReplyJson {
        let succeeded = txn
            .compare
            .iter()
            .all(|compare| self.compare_succeeds(compare));
        let ops = if succeeded {
            &txn.success
        } else {
            &txn.failure
        };
        let writes = ops.iter().any(|op| op.request_range.is_none());
        if writes {
            self.counts.txn_writes += 1;
        } else {
            self.counts.txn_reads += 1;
        }
        let responses = ops.iter().map(|op| self.execute_op(op)).collect();
        TxnReplyJson {
            succeeded,
            responses,
        }
    }

    fn compare_succeeds(&self, compare: &TxnCompareJson) -> bool {
        let row = self.rows.get(&decode_base64(&compare.key));
        match &compare.value {
            Some(value) => row == Some(&decode_base64(value)),
            None => row.is_none(),
        }
    }

    fn execute_op(&mut self, op: &TxnOpJson) -> TxnResultJson {
        let mut result = TxnResultJson::default();
        if let Some(put) = &op.request_put {
            self.counts.rows_written += 1;
            self.rows
                .insert(decode_base64(&put.key), decode_base64(&put.value));
        }
        if let Some(delete) = &op.request_delete_range {
            let range = (decode_base64(&delete.key), decode_base64(&delete.range_end));
            self.rows.retain(|key, _| !is_in_range(key, &range));
        }
        if let Some(read) = &op.request_range {
            let range = (decode_base64(&read.key), decode_base64(&read.range_end));
            let matching = self.rows.iter().filter(|(key, _)| is_in_range(key, &range));
            let kvs = matching.map(|(key, value)| KvJson {
                key: BASE64_STANDARD.encode(key),
                value: BASE64_STANDARD.encode(value),
            });
            result.response_range = Some(RangeReplyJson { kvs: kvs.collect() });
        }
        result
    }
}

/// Whether a key is in the range `[start, end)`; an empty end means the start alone.
fn is_in_range(key: &[u8], range: &(Vec<u8>, Vec<u8>)) -> bool {
    if range.1.is_empty() {
        key == range.0
    } else {
        key >= range.0.as_slice() && key < range.1.as_slice()
    }
}

fn decode_base64(text: &str) -> Vec<u8> {
    BASE64_STANDARD.decode(text).unwrap_or_default()
}
