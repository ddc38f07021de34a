//! Linear regression of the figures of a process over the size of its deployment.

use crate::measure::control::rates::Rates;
use crate::measure::table::Table;

/// Number of processes to design for.
const DESIGN_PROCESSES: f64 = 1560.0;

/// Columns of the table.
pub(crate) const COLUMNS: [&str; 4] =
    ["figure", "per 100 processes", "at 1,560 as a line", "limit"];

/// One figure, measured at several sizes.
#[derive(Debug, Default)]
pub(crate) struct Slope {
    /// Sizes and figures.
    points: Vec<(f64, f64)>,
}

/// The figures of a process that have a limit.
#[derive(Debug, Default)]
pub(crate) struct Slopes {
    bytes: Slope,
    core: Slope,
    memory: Slope,
}

impl Slope {
    /// Adds the figure measured at a size.
    pub(crate) fn add(&mut self, size: usize, figure: f64) {
        self.points.push((size as f64, figure));
    }

    /// Returns slope and intercept of the least-squares line.
    fn least_squares(&self) -> (f64, f64) {
        let count = self.points.len().max(1) as f64;
        let mean_size = self.points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_figure = self.points.iter().map(|point| point.1).sum::<f64>() / count;
        let covariance = |point: &(f64, f64)| (point.0 - mean_size) * (point.1 - mean_figure);
        let variance = |point: &(f64, f64)| (point.0 - mean_size) * (point.0 - mean_size);
        let variances = self.points.iter().map(variance).sum::<f64>().max(f64::EPSILON);
        let slope = self.points.iter().map(covariance).sum::<f64>() / variances;
        (slope, mean_figure - slope * mean_size)
    }

    fn add_row(&self, figure: &str, limit: &str, table: &mut Table) {
        let (slope, intercept) = self.least_squares();
        let per_hundred = format!("{:.3}", slope * 100.0);
        let design = format!("{:.2}", intercept + slope * DESIGN_PROCESSES);
        table.push(&[&figure, &per_hundred, &design, &limit]);
    }
}

impl Slopes {
    /// Adds the steady rates measured at a size.
    pub(crate) fn add(&mut self, size: usize, rates: &Rates) {
        self.bytes.add(size, rates.mean_bytes());
        self.core.add(size, rates.mean_core());
        self.memory.add(size, rates.memory_mb());
    }

    /// Returns the slopes and the extrapolated figures as a table.
    pub(crate) fn table(&self) -> Table {
        let mut table = Table::new("Slopes of a process in steady state", &COLUMNS);
        self.bytes.add_row("bytes a second, mean", "2,000", &mut table);
        self.core.add_row("percent of a core, mean", "2.1", &mut table);
        self.memory.add_row("megabytes, largest", "32", &mut table);
        table
    }
}
