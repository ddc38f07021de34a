//! Retries of refused or lost requests at other engines, and their limits.
//!
//! `docs/decisions/retries.md` gives the reasons for the limits.

mod budget;
mod budgets;
mod history;
mod resume;
mod share;

pub use budget::Budget;
pub use budgets::Budgets;
pub use history::History;
pub use history::Verdict;
pub use resume::RESUME_WINDOW;
pub use resume::Resumption;
pub use resume::SHORT_RESUME_WINDOW;
pub use share::Share;
