//! The parts of the model.

pub(crate) mod entry;
pub(crate) mod fleet;
pub(crate) mod process;
pub(crate) mod rules;
pub(crate) mod store;
pub(crate) mod tally;
