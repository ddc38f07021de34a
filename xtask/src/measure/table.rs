//! Markdown table of a page.

use std::fmt;

/// Markdown table of a page.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Table {
    /// Heading above the table.
    pub title: String,
    /// Headings of the columns.
    pub columns: Vec<String>,
    /// Rows with one cell per column.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(title: &str, columns: &[&str]) -> Table {
        let columns = columns.iter().map(|cell| (*cell).to_owned()).collect();
        Table { title: title.to_owned(), columns, rows: Vec::new() }
    }

    /// Adds a row with one cell per column.
    pub fn push(&mut self, row: &[&dyn fmt::Display]) {
        self.rows.push(row.iter().map(ToString::to_string).collect());
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "## {}\n", self.title)?;
        writeln!(f, "| {} |", self.columns.join(" | "))?;
        writeln!(f, "|{}", "---|".repeat(self.columns.len()))?;
        for row in &self.rows {
            writeln!(f, "| {} |", row.join(" | "))?;
        }
        Ok(())
    }
}
