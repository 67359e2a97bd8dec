//! In-memory fake of the platform: transactional table, objects and VM list.

use std::collections::BTreeMap;

use lagoon_platform::{Compare, Op, PlatformReply, PlatformRequest, Row, Txn, TxnReply, VmEntry};

/// Fault injected into the platform's store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreMode {
    /// No fault.
    #[default]
    Up,
    /// Requests fail without taking effect.
    Down,
    /// Requests take effect, but their replies are lost.
    LoseReplies,
}

/// Fake of the platform, whose state tests can read and change directly.
#[derive(Clone, Debug, Default)]
pub struct FakePlatform {
    /// Rows of the table by key.
    pub rows: BTreeMap<String, Vec<u8>>,
    /// Stored objects by key.
    pub objects: BTreeMap<String, Vec<u8>>,
    /// Entries of the VM list.
    pub vms: Vec<VmEntry>,
    /// Transactions with at least one write operation.
    pub write_txns: u64,
    /// Transactions with read operations only.
    pub read_txns: u64,
}

impl FakePlatform {
    /// Executes a request; faults are injected by the simulation, not here.
    pub fn execute(&mut self, request: &PlatformRequest) -> PlatformReply {
        match request {
            PlatformRequest::Txn(txn) => PlatformReply::Txn(self.transact(txn)),
            PlatformRequest::PutObject { key, bytes } => {
                self.objects.insert(key.clone(), bytes.clone());
                PlatformReply::ObjectStored
            }
            PlatformRequest::GetObject { key } => {
                PlatformReply::Object(self.objects.get(key).cloned())
            }
            PlatformRequest::ListVms => PlatformReply::VmList(self.vms.clone()),
        }
    }

    /// Executes a transaction and counts it as a write or a read.
    pub fn transact(&mut self, txn: &Txn) -> TxnReply {
        let compare_succeeds = |compare: &Compare| match compare {
            Compare::Absent { key } => !self.rows.contains_key(key),
            Compare::ValueEquals { key, value } => self.rows.get(key) == Some(value),
        };
        let succeeded = txn.compare.iter().all(compare_succeeds);
        let ops = if succeeded {
            &txn.success
        } else {
            &txn.failure
        };
        let is_read = |op: &Op| matches!(op, Op::Get { .. } | Op::Range { .. });
        if ops.iter().all(is_read) {
            self.read_txns += 1;
        } else {
            self.write_txns += 1;
        }
        let results = ops.iter().map(|op| self.execute_op(op)).collect();
        TxnReply { succeeded, results }
    }

    fn execute_op(&mut self, op: &Op) -> Vec<Row> {
        match op {
            Op::Put { key, value } => {
                self.rows.insert(key.clone(), value.clone());
                Vec::new()
            }
            Op::Get { key } => self.rows_matching(|row_key| row_key == key),
            Op::Range { prefix } => self.rows_matching(|row_key| row_key.starts_with(prefix)),
            Op::Delete { key } => {
                self.rows.remove(key);
                Vec::new()
            }
            Op::DeleteRange { from, to } => {
                self.rows.retain(|key, _| key < from || key >= to);
                Vec::new()
            }
        }
    }

    /// Rows whose key matches the predicate, in key order.
    pub fn rows_matching<F>(&self, matches: F) -> Vec<Row>
    where
        F: Fn(&str) -> bool,
    {
        let rows = self.rows.iter().filter(|(key, _)| matches(key));
        rows.map(|(key, value)| Row {
            key: key.clone(),
            value: value.clone(),
        })
        .collect()
    }
}
