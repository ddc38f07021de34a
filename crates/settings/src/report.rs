//! Report of all faults of a settings file.

use std::fmt;

use crate::fault::Fault;

/// The faults of a settings file in the order of their lines; displayed with one fault
/// on each line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report(Vec<Fault>);

impl Report {
    /// Returns a report with the faults sorted by line, the order of the file.
    pub(crate) fn new(mut faults: Vec<Fault>) -> Report {
        faults.sort_by_key(|fault| fault.line);
        Report(faults)
    }

    /// Returns the faults in the order of their lines.
    pub fn faults(&self) -> &[Fault] {
        &self.0
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.0 {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}
