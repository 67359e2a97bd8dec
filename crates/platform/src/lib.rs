//! Client of the platform's transactional table, object store and VM list.
//!
//! Requests and replies are plain values, so that the scheduling logic can
//! create and process them without a socket. [`Client`] sends them over HTTP.
//! The table speaks the JSON gateway of the etcd v3 key-value service, objects
//! are read and written by path-style `GET` and `PUT`, and the VM list is one
//! JSON document.

mod circuit_breaker;
mod client;
mod request;
mod retry;
mod wire;

pub use circuit_breaker::{CircuitBreaker, CircuitBreakerSettings};
pub use client::{Client, ClientSettings};
pub use request::{
    Compare, Op, PlatformError, PlatformReply, PlatformRequest, Row, Txn, TxnReply, VmEntry,
    VmStatus,
};
pub use retry::{RetryBudget, RetrySettings};
pub use wire::{
    DeleteJson, KvJson, PutJson, RangeJson, RangeReplyJson, TxnCompareJson, TxnJson, TxnOpJson,
    TxnReplyJson, TxnResultJson, VmListJson,
};
