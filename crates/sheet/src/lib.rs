//! The deployment sheet: one CSV file of markets, the client accounts that
//! belong to them, the models and services offered to them, and the targets
//! that run those.
//!
//! A sheet is accepted as a whole or rejected with all of its errors.

mod columns;
mod parse;
mod row;
mod sheet;

pub use parse::{hash_api_key, parse, SheetError};
pub use sheet::{
    Account, Fencing, Market, MarketKey, Model, ModelKey, RetrySafety, Service, ServiceKey, Sheet,
    Target, TargetKey, Workload,
};
