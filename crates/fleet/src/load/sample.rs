//! A sample of the loads of engines.

/// The loads of all engines at one moment, in requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sample {
    /// Running and waiting requests by engine; `None` if the agent doesn't answer.
    pub loads: Vec<Option<usize>>,
}

impl Sample {
    /// Returns the highest load.
    pub fn max(&self) -> usize {
        self.loads.iter().flatten().copied().max().unwrap_or_default()
    }

    /// Returns the mean load of the engines whose agents answered.
    pub fn mean(&self) -> f64 {
        let known = self.loads.iter().flatten();
        known.clone().sum::<usize>() as f64 / known.count().max(1) as f64
    }
}
