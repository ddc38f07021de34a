//! Whether a request that was refused or lost may be tried at another engine.
//!
//! `docs/decisions/retries.md` weighs the limits.

mod budget;
mod budgets;
mod history;
mod resume;
mod share;

pub use budget::Budget;
pub use budgets::Budgets;
pub use history::History;
pub use history::Verdict;
pub use resume::Resumption;
pub use resume::SHORT_WINDOW;
pub use resume::WINDOW;
pub use share::Share;
