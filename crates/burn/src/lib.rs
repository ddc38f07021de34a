//! Counts of request outcomes and the report on error-budget burn made of them, without I/O.
//!
//! Counts are sums, so those of any number of processes can be added. A process
//! loses its counts when it ends; the report therefore names the processes that
//! started within the last hour and those that did not answer. See
//! `docs/decisions/burn.md`.

pub mod count;
pub mod ledger;
pub mod line;
pub mod plot;
pub mod report;
pub mod row;
pub mod series;
pub mod sheet;
pub mod slot;
pub mod sum;
pub mod window;

pub use count::Count;
pub use ledger::Ledger;
pub use line::Line;
pub use report::Report;
pub use row::Row;
pub use series::Series;
pub use sheet::Sheet;
pub use slot::Slot;
pub use sum::Sum;
pub use window::Window;
