//! Logs, metrics and traces
