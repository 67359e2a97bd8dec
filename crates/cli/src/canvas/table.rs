//! Plain-text tables.

use std::fmt;

/// Table whose columns are as wide as their widest cell.
#[derive(Clone, Debug)]
pub struct Table {
    header: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with column headings, which are printed in upper case.
    pub fn new(headings: &[&str]) -> Table {
        Table {
            header: headings.iter().map(|cell| cell.to_uppercase()).collect(),
            rows: Vec::new(),
        }
    }

    /// Appends a row; cells beyond the last heading are not printed.
    pub fn add_row<I, S>(&mut self, cells: I)
    where
        I: IntoIterator<Item = S>,
        S: Into<String>,
    {
        self.rows.push(cells.into_iter().map(Into::into).collect());
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().chain([&self.header]);
        cells
            .filter_map(|row| row.get(column))
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or_default()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: Vec<usize> = (0..self.header.len())
            .map(|column| self.width(column))
            .collect();
        for row in [&self.header].into_iter().chain(&self.rows) {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            writeln!(f, "{}", cells.join("  ").trim_end())?;
        }
        Ok(())
    }
}
