//! Columns of the file and which kinds of row use them.

/// Columns in the order of the file's head line.
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

/// Kinds of row with the columns each must fill.
pub(crate) const KINDS: [(&str, &[&str]); 5] = [
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

/// Columns that a kind of row fills; `None` for an unknown kind.
pub(crate) fn filled_by(kind: &str) -> Option<&'static [&'static str]> {
    KINDS
        .iter()
        .find(|(name, _)| *name == kind)
        .map(|(_, columns)| *columns)
}
