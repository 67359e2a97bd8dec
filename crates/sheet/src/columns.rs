//! Columns of the sheet, and which of them each kind of row must fill.

/// Columns in the order of the header line.
pub(crate) const COLUMNS: [&str; 17] = [
    "kind",
    "name",
    "market",
    "domain",
    "address",
    "serves",
    "slots",
    "price_micros",
    "budget_tokens",
    "budget_money_micros",
    "budget_turns",
    "weight_latency",
    "weight_cache",
    "repeat",
    "fencing",
    "version",
    "key_sha256",
];

/// Kinds of rows with their required columns; all other columns stay empty.
pub(crate) const ROW_KINDS: [(&str, &[&str]); 5] = [
    (
        "market",
        &[
            "name",
            "budget_tokens",
            "budget_money_micros",
            "budget_turns",
            "weight_latency",
            "weight_cache",
        ],
    ),
    ("account", &["name", "market", "key_sha256"]),
    ("model", &["name", "market", "price_micros", "version"]),
    ("service", &["name", "market", "price_micros", "repeat"]),
    (
        "target",
        &["name", "domain", "address", "serves", "slots", "fencing"],
    ),
];

/// Required columns of a kind of row; `None` for an unknown kind.
pub(crate) fn required_columns(kind: &str) -> Option<&'static [&'static str]> {
    ROW_KINDS
        .iter()
        .find(|(name, _)| *name == kind)
        .map(|(_, columns)| *columns)
}
