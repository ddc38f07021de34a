//! What the workers of an entry learn from answers and choose by.
//!
//! Lock order: `budgets`, `places`, `spills`, `loads`, `avoided`, `outliers`. A thread
//! holds one of them at a time, for one step, and never across an await.

use parking_lot::Mutex;
use policy::candidate::Avoided;
use policy::candidate::Loads;
use policy::outlier::Outliers;
use policy::placement::Locations;
use policy::placement::Spills;
use policy::retry::Budgets;

/// Shared by all workers; all of it may be lost.
#[derive(Debug, Default)]
pub(crate) struct Tables {
    /// Retries that may be added to what callers ask, by rank.
    pub(crate) budgets: Mutex<Budgets>,
    /// Chats that are served away from the engine that their hash names.
    pub(crate) places: Mutex<Locations>,
    /// Chats placed other than at their home, waiting to be told to it.
    pub(crate) spills: Mutex<Spills>,
    /// Loads that answers told.
    pub(crate) loads: Mutex<Loads>,
    /// Engines that refused as leaving or missing.
    pub(crate) avoided: Mutex<Avoided>,
    /// Engines that fail or answer late.
    pub(crate) outliers: Mutex<Outliers>,
}
