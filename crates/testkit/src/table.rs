//! Table and objects in memory.

use std::collections::BTreeMap;

use lagoon_platform::{Compare, Op, PlatformReply, PlatformRequest, Row, Txn, TxnReply, VmEntry};

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreMode {
    /// Serves.
    #[default]
    Up,
    /// Refuses without effect.
    Down,
    /// Takes effect, but the reply is lost.
    LoseReplies,
}

/// Table, objects and VM list.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Rows by key.
    pub rows: BTreeMap<String, Vec<u8>>,
    /// Objects by key.
    pub objects: BTreeMap<String, Vec<u8>>,
    /// VM list.
    pub vms: Vec<VmEntry>,
    /// Transactions that wrote.
    pub writes: u64,
    /// Transactions that just read.
    pub reads: u64,
}

impl Table {
    /// Carries a request out.
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

    /// Carries a transaction out.
    pub fn transact(&mut self, txn: &Txn) -> TxnReply {
        let holds = |compare: &Compare| match compare {
            Compare::Absent { key } => !self.rows.contains_key(key),
            Compare::ValueEquals { key, value } => self.rows.get(key) == Some(value),
        };
        let succeeded = txn.compare.iter().all(holds);
        let ops = if succeeded {
            &txn.success
        } else {
            &txn.failure
        };
        let reads = |op: &Op| matches!(op, Op::Get { .. } | Op::Range { .. });
        if ops.iter().all(reads) {
            self.reads += 1;
        } else {
            self.writes += 1;
        }
        let results = ops.iter().map(|op| self.operate(op)).collect();
        TxnReply { succeeded, results }
    }

    fn operate(&mut self, op: &Op) -> Vec<Row> {
        match op {
            Op::Put { key, value } => {
                self.rows.insert(key.clone(), value.clone());
                Vec::new()
            }
            Op::Get { key } => self.found(|found| found == key),
            Op::Range { prefix } => self.found(|found| found.starts_with(prefix)),
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

    /// Rows whose keys are wanted.
    pub fn found<F>(&self, wanted: F) -> Vec<Row>
    where
        F: Fn(&str) -> bool,
    {
        let found = self.rows.iter().filter(|(key, _)| wanted(key));
        found
            .map(|(key, value)| Row {
                key: key.clone(),
                value: value.clone(),
            })
            .collect()
    }
}
