//! The platform's table, object store and VM list.
//!
//! Requests and replies are plain values, so that decisions can ask for them
//! without a socket. [`Client`] carries one out over HTTP. The table speaks
//! the JSON gateway of the etcd v3 key-value service, objects are path-style
//! `PUT` and `GET`, and the VM list is one JSON document.

mod breaker;
mod client;
mod retry;
mod table;
mod wire;

pub use breaker::{CircuitBreaker, CircuitBreakerSettings};
pub use client::{Client, ClientSettings};
pub use retry::{RetryBudget, RetrySettings};
pub use table::{
    Compare, Op, PlatformError, PlatformReply, PlatformRequest, Row, Txn, TxnReply, VmEntry,
    VmStatus,
};
pub use wire::{
    DeleteJson, KvJson, PutJson, RangeJson, RangeReplyJson, TxnCompareJson, TxnJson, TxnOpJson,
    TxnReplyJson, TxnResultJson, VmListJson,
};
