//! Reading and validation of the cells of one row.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use compact_str::CompactString;

use crate::columns::{required_columns, COLUMNS, ROW_KINDS};
use crate::SheetError;

/// Row with its line number in the file and the list that collects errors of the sheet.
pub(crate) struct Row<'a> {
    line: u64,
    record: &'a csv::StringRecord,
    errors: &'a mut Vec<SheetError>,
}

impl<'a> Row<'a> {
    pub(crate) fn new(
        line: u64,
        record: &'a csv::StringRecord,
        errors: &'a mut Vec<SheetError>,
    ) -> Row<'a> {
        Row {
            line,
            record,
            errors,
        }
    }

    /// Text of the row's cell in a column; empty if the row has no such cell.
    pub(crate) fn text(&self, column: &str) -> &'a str {
        COLUMNS
            .iter()
            .position(|name| *name == column)
            .and_then(|index| self.record.get(index))
            .unwrap_or("")
    }

    /// Reports an invalid cell and what is allowed there.
    pub(crate) fn report_error<S>(&mut self, column: &'static str, allowed: S)
    where
        S: Display,
    {
        self.errors.push(SheetError {
            row: self.line,
            column: CompactString::const_new(column),
            value: CompactString::new(self.text(column)),
            allowed: allowed.to_string(),
        });
    }

    /// Checks that the required columns are filled and all others are empty;
    /// returns false if the kind of row is unknown.
    pub(crate) fn check_columns(&mut self) -> bool {
        let Some(required) = required_columns(self.text("kind")) else {
            let kinds: Vec<&str> = ROW_KINDS.iter().map(|(kind, _)| *kind).collect();
            self.report_error("kind", format!("one of {}", kinds.join(", ")));
            return false;
        };
        for column in COLUMNS.iter().skip(1).copied() {
            let is_empty = self.text(column).is_empty();
            if required.contains(&column) && is_empty {
                self.report_error(column, "a value");
            }
            if !required.contains(&column) && !is_empty {
                self.report_error(column, format!("nothing in a {} row", self.text("kind")));
            }
        }
        true
    }

    /// Parses the row's cell in a column and reports invalid text.
    ///
    /// Returns `None` for invalid text and for an empty cell;
    /// [`check_columns`](Self::check_columns) has reported the empty cell already.
    pub(crate) fn parse<T>(&mut self, column: &'static str) -> Option<T>
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
                self.report_error(column, format!("a valid value: {error}"));
                None
            }
        }
    }

    /// Parses a number; reports it and returns `None` if it is invalid or out of range.
    pub(crate) fn parse_number<T>(
        &mut self,
        column: &'static str,
        range: RangeInclusive<T>,
    ) -> Option<T>
    where
        T: FromStr + PartialOrd + Display,
        T::Err: Display,
    {
        let value = self.parse(column)?;
        if range.contains(&value) {
            return Some(value);
        }
        self.report_error(column, format!("{} to {}", range.start(), range.end()));
        None
    }

    /// Maps the keyword in a column to its value; reports an unknown keyword and returns `None`.
    pub(crate) fn parse_keyword<T>(
        &mut self,
        column: &'static str,
        keywords: &[(&str, T)],
    ) -> Option<T>
    where
        T: Copy,
    {
        let text = self.text(column);
        if text.is_empty() {
            return None;
        }
        let found = keywords.iter().find(|(keyword, _)| *keyword == text);
        if found.is_none() {
            let allowed: Vec<&str> = keywords.iter().map(|(keyword, _)| *keyword).collect();
            self.report_error(column, format!("one of {}", allowed.join(", ")));
        }
        found.map(|(_, value)| *value)
    }
}
