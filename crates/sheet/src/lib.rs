//! The deployment sheet.
//!
//! Planners export one CSV file: markets, the accounts that use them, the
//! models and services that answer them, and the targets that run those. A
//! sheet is taken whole or not at all; every fault is reported at once.

mod columns;
mod model;
mod parse;
mod rows;

pub use model::{
    Account, Fencing, Market, MarketKey, Model, ModelKey, RetrySafety, Service, ServiceKey, Sheet,
    Target, TargetKey, Workload,
};
pub use parse::{hash_api_key, parse, SheetError};
