//! Use of the accelerator budget by a plan.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::Document;
use crate::Engine;
use crate::spread;

/// Number of accelerators paid for and of model engines that use them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Accelerators that the budget pays for.
    pub accelerators: u32,
    /// Model engines that the plan assigns a model to.
    pub assigned: usize,
    /// Model engines in the fleet.
    pub engines: usize,
}

impl Budget {
    /// Returns the budget use of a document on the engines of a fleet.
    pub fn of(document: &Document, fleet: &[Engine]) -> Budget {
        Budget {
            accelerators: document.limit.accelerators,
            assigned: document.assignments.len(),
            engines: spread::model_engines(document, fleet).len(),
        }
    }
}

impl fmt::Display for Budget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Budget { accelerators, assigned, engines } = self;
        write!(f, "{assigned} of {accelerators} accelerators used, {engines} model engines found")
    }
}
