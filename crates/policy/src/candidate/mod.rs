//! The engines that could take a request, with the load last known to the entry.

mod avoided;
mod distance;
mod edition;
mod loads;

pub use avoided::Avoided;
pub use distance::Distance;
pub use edition::Edition;
pub use loads::Loads;
pub use loads::without_request;
use wire::Load;
use wire::Member;
use wire::id;

/// An engine that holds the model or pool that a request needs.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub engine: id::Engine,
    /// Requests that it runs at once; its weight in hashing.
    pub slots: u32,
    /// Requests accepted and not yet ended, as last reported.
    pub requests: u32,
    /// Its distance from the entry.
    pub distance: Distance,
}

impl Candidate {
    /// Creates a candidate from a member's description; `centre` and `region` are
    /// those of the entry.
    pub fn of(member: &Member, centre: &str, region: &str) -> Candidate {
        Candidate {
            engine: member.vm.clone(),
            slots: member.load.slots.max(1),
            requests: member.load.requests(),
            distance: Distance::between(member, centre, region),
        }
    }

    /// Replaces the number of requests by that of a more recent load, if any.
    ///
    /// The slots stay as described, because all entries have to agree on a
    /// chat's home, whichever reports each of them received.
    pub fn update_load(&mut self, load: Option<Load>) {
        if let Some(load) = load {
            self.requests = load.requests();
        }
    }

    /// Returns the last known number of requests per slot.
    pub fn per_slot(&self) -> f32 {
        self.requests as f32 / self.slots as f32
    }
}
