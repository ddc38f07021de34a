//! State that the workers of an entry learn from answers and choose engines by.
//!
//! Lock order: `budgets`, `locations`, `spills`, `loads`, `avoided`, `outliers`. A thread
//! holds one of them at a time, for one step, and never across an await.

use parking_lot::Mutex;
use policy::candidate::Avoided;
use policy::candidate::Loads;
use policy::outlier::Outliers;
use policy::placement::Locations;
use policy::placement::Spills;
use policy::retry::Budgets;

/// State shared by all workers; all of it may be lost.
#[derive(Debug, Default)]
pub(crate) struct Tables {
    /// Retry budgets, by rank.
    pub(crate) budgets: Mutex<Budgets>,
    /// The engines of chats that are not served at their home.
    pub(crate) locations: Mutex<Locations>,
    /// Queue of notes to homes about chats that were placed elsewhere.
    pub(crate) spills: Mutex<Spills>,
    /// Engines' loads as agents reported them.
    pub(crate) loads: Mutex<Loads>,
    /// Engines that refused because they are leaving or do not hold what was needed.
    pub(crate) avoided: Mutex<Avoided>,
    /// Outlier detection: engines that fail or answer late.
    pub(crate) outliers: Mutex<Outliers>,
}
