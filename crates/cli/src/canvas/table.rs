//! Tables of plain text.

use std::fmt;

/// Table whose columns are as wide as their widest cell.
#[derive(Clone, Debug)]
pub struct Table {
    head: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Table with a head line.
    pub fn new(head: &[&str]) -> Table {
        Table {
            head: head.iter().map(|cell| cell.to_uppercase()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn add_row<I, S>(&mut self, cells: I)
    where
        I: IntoIterator<Item = S>,
        S: Into<String>,
    {
        self.rows.push(cells.into_iter().map(Into::into).collect());
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().chain([&self.head]);
        cells
            .filter_map(|row| row.get(column))
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or_default()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: Vec<usize> = (0..self.head.len()).map(|at| self.width(at)).collect();
        for row in [&self.head].into_iter().chain(&self.rows) {
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
