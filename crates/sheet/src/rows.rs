//! One row of the file and the faults found in it.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use compact_str::CompactString;

use crate::columns::{filled_by, COLUMNS, KINDS};
use crate::SheetError;

/// Row with its line number and a place for faults.
pub(crate) struct Row<'a> {
    line: u64,
    record: &'a csv::StringRecord,
    faults: &'a mut Vec<SheetError>,
}

impl<'a> Row<'a> {
    pub(crate) fn new(
        line: u64,
        record: &'a csv::StringRecord,
        faults: &'a mut Vec<SheetError>,
    ) -> Row<'a> {
        Row {
            line,
            record,
            faults,
        }
    }

    /// Text of a column, empty where the row has none.
    pub(crate) fn text(&self, column: &str) -> &'a str {
        COLUMNS
            .iter()
            .position(|name| *name == column)
            .and_then(|place| self.record.get(place))
            .unwrap_or("")
    }

    /// Notes a fault.
    pub(crate) fn fault<S>(&mut self, column: &'static str, allowed: S)
    where
        S: Display,
    {
        self.faults.push(SheetError {
            row: self.line,
            column: CompactString::const_new(column),
            value: CompactString::new(self.text(column)),
            allowed: allowed.to_string(),
        });
    }

    /// Checks that just the columns of the row's kind are filled.
    pub(crate) fn check_filled(&mut self) -> bool {
        let Some(filled) = filled_by(self.text("kind")) else {
            let kinds: Vec<&str> = KINDS.iter().map(|(kind, _)| *kind).collect();
            self.fault("kind", format!("one of {}", kinds.join(", ")));
            return false;
        };
        for column in COLUMNS.iter().skip(1).copied() {
            let empty = self.text(column).is_empty();
            if filled.contains(&column) && empty {
                self.fault(column, "a value");
            }
            if !filled.contains(&column) && !empty {
                self.fault(column, format!("nothing in a {} row", self.text("kind")));
            }
        }
        true
    }

    /// Parsed text of a column; an empty one was reported before.
    pub(crate) fn parsed<T>(&mut self, column: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.text(column);
        if text.is_empty() {
            return None;
        }
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(column, format!("a valid value: {error}"));
                None
            }
        }
    }

    /// Number of a column within a range.
    pub(crate) fn number<T>(&mut self, column: &'static str, range: RangeInclusive<T>) -> Option<T>
    where
        T: FromStr + PartialOrd + Display,
        T::Err: Display,
    {
        let value = self.parsed(column)?;
        if range.contains(&value) {
            return Some(value);
        }
        self.fault(column, format!("{} to {}", range.start(), range.end()));
        None
    }

    /// Value of a column that allows a few words.
    pub(crate) fn word<T>(&mut self, column: &'static str, words: &[(&str, T)]) -> Option<T>
    where
        T: Copy,
    {
        let text = self.text(column);
        if text.is_empty() {
            return None;
        }
        let found = words.iter().find(|(word, _)| *word == text);
        if found.is_none() {
            let allowed: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
            self.fault(column, format!("one of {}", allowed.join(", ")));
        }
        found.map(|(_, value)| *value)
    }
}
