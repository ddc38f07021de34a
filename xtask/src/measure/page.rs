//! Markdown page of a measurement.

use std::fmt;

use crate::measure::machine::Machine;
use crate::measure::table::Table;

/// Markdown page of a measurement.
#[derive(Debug, Clone)]
pub struct Page {
    /// Title of the page.
    pub title: String,
    /// Name of the measurement on the command line.
    pub name: &'static str,
    /// Paragraphs on how the figures were measured.
    pub method: Vec<String>,
    /// Machine on which the measurement ran.
    pub machine: Machine,
    /// Tables of the figures.
    pub tables: Vec<Table>,
}

impl fmt::Display for Page {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "# {}\n", self.title)?;
        writeln!(f, "Taken by `cargo xtask measure {}` on {}.", self.name, self.machine)?;
        for paragraph in &self.method {
            writeln!(f, "\n{paragraph}")?;
        }
        for table in &self.tables {
            write!(f, "\n{table}")?;
        }
        Ok(())
    }
}
