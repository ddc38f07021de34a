//! Simulated entry.

use std::time::Duration;

use policy::candidate::Candidate;
use policy::candidate::Distance;
use policy::candidate::Loads;
use policy::candidate::without_request;
use policy::mean::Estimate;
use policy::placement::Locations;
use policy::placement::Spills;
use policy::retry::Budget;

use crate::measure::placement::engine::Engine;

/// Simulated entry with the tables that a real one keeps for placement.
#[derive(Default)]
pub(crate) struct Entry {
    pub(crate) loads: Loads,
    pub(crate) mean: Estimate,
    pub(crate) places: Locations,
    pub(crate) spills: Spills,
    pub(crate) retry_budget: Budget,
}

impl Entry {
    /// Returns the live engines with their loads as known to this entry, and their
    /// indices in `engines`.
    pub(crate) fn candidates(
        &self,
        engines: &[Engine],
        now: Duration,
    ) -> (Vec<Candidate>, Vec<usize>) {
        let live = engines.iter().enumerate().filter(|(_, engine)| !engine.is_lost);
        let candidate = |(index, engine): (usize, &Engine)| {
            let mut candidate = Candidate {
                engine: engine.name.clone(),
                slots: engine.slots,
                requests: engine.described_load.requests(),
                distance: Distance::Region,
            };
            candidate.update_load(self.loads.load(&engine.name, now));
            (candidate, index)
        };
        live.map(candidate).unzip()
    }

    /// Records the load that an agent reports with the acceptance or refusal of a
    /// request.
    pub(crate) fn record_load(&mut self, engine: &Engine, is_accepted: bool, now: Duration) {
        let load = engine.load();
        self.loads.observe(&engine.name, load, now);
        let load_before = if is_accepted { without_request(load) } else { load };
        self.mean.observe(&engine.name, load_before, now);
    }
}
