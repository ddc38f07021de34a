//! An entry of the model: the tables that a real one keeps.

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

/// An entry of the model: the tables that a real one keeps.
#[derive(Default)]
pub(crate) struct Entry {
    pub(crate) loads: Loads,
    pub(crate) mean: Estimate,
    pub(crate) places: Locations,
    pub(crate) spills: Spills,
    pub(crate) budget: Budget,
}

impl Entry {
    /// The engines as this entry believes them to be, and their indices.
    pub(crate) fn field(&self, engines: &[Engine], now: Duration) -> (Vec<Candidate>, Vec<usize>) {
        let live = engines.iter().enumerate().filter(|(_, engine)| !engine.is_lost);
        let candidate = |(index, engine): (usize, &Engine)| {
            let mut candidate = Candidate {
                engine: engine.name.clone(),
                slots: engine.slots,
                requests: engine.described.requests(),
                distance: Distance::Region,
            };
            candidate.update_load(self.loads.load(&engine.name, now));
            (candidate, index)
        };
        live.map(candidate).unzip()
    }

    /// Takes in what an agent reported.
    pub(crate) fn hear(&mut self, engine: &Engine, is_taken: bool, now: Duration) {
        let load = engine.load();
        self.loads.observe(&engine.name, load, now);
        let met = if is_taken { without_request(load) } else { load };
        self.mean.observe(&engine.name, met, now);
    }
}
