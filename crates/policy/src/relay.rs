//! Relays: the gateways of a data centre that read the key-value service for the others.
//!
//! Calls of the service grow with the number of its readers times the number of
//! changes, so in a data centre with many gateways only a few read it. Every
//! gateway works out the relays from the members that it knows, without a
//! coordinator; a gateway that disagrees for a moment only asks another relay.
//! See `docs/decisions/relays.md`.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// With fewer gateways in a data centre each of them reads the service itself: a
/// relay would save few calls there.
const MIN_READERS: usize = 8;

/// With fewer gateways in a data centre each of them exchanges loads with all others.
const MIN_REPORTERS: usize = 3;

/// Most gateways for each relay of a data centre. A relay answers several calls a
/// second from each of them.
const MEMBERS_PER_RELAY: usize = 32;

/// A relay's answer is used only if the service has answered the relay within this
/// time, so that changes are in force everywhere in time even if the relay is cut off.
pub const MAX_AGE: Duration = Duration::from_millis(2_300);

/// How long a relay that failed is not asked for changes again. Meanwhile the store is read
/// in its place.
const STORE_BACKOFF: Duration = Duration::from_secs(5);

/// The same for loads, which nobody else can tell. A relay that only starts answers soon.
const LOADS_BACKOFF: Duration = Duration::from_secs(1);

/// What a relay does for the other gateways of its data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Duty {
    /// Reads the key-value service.
    Store,
    /// Adds up the loads that gateways report.
    Loads,
}

/// A gateway of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its VM, the same at every process.
    pub vm: &'a str,
    /// Its data centre.
    pub centre: &'a str,
    /// Its processor share in thousandths of a core; larger VMs are relays first.
    pub capacity: u32,
}

/// The gateways of a data centre in the order in which they serve as relays, as indices into
/// the members that it was made of.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Order {
    indices: Vec<usize>,
    /// The first ones of the order, which are relays while they work.
    relays: usize,
}

impl Order {
    /// Returns the order of the gateways of a data centre for a duty. If they are so few
    /// that no relay is needed, each of them is one.
    pub fn new(duty: Duty, centre: &str, members: &[Candidate<'_>]) -> Order {
        let mut indices: Vec<usize> =
            (0..members.len()).filter(|index| members[*index].centre == centre).collect();
        indices.sort_by_key(|index| {
            let Candidate { vm, capacity, .. } = members[*index];
            (u32::MAX - capacity, xxh3_64(vm.as_bytes()), vm)
        });
        let min = match duty {
            Duty::Store => MIN_READERS,
            Duty::Loads => MIN_REPORTERS,
        };
        let is_small = indices.len() < min;
        let relays =
            if is_small { indices.len() } else { indices.len().div_ceil(MEMBERS_PER_RELAY) };
        Order { indices, relays }
    }

    /// Returns the relays.
    pub fn relays(&self) -> &[usize] {
        &self.indices[..self.relays]
    }

    /// Returns the gateway that takes over for those whose relay has failed; `None` if there
    /// are only relays.
    pub fn standby(&self) -> Option<usize> {
        self.indices.get(self.relays).copied()
    }

    /// Returns the relays that a gateway asks, in this order; empty if it is a relay itself or
    /// isn't known, so that it has to do without.
    pub fn asked_by(&self, vm: &str, members: &[Candidate<'_>]) -> Vec<usize> {
        let is_asker = |index: &usize| members[*index].vm == vm;
        if self.relays().iter().any(is_asker) || !self.indices.iter().any(is_asker) {
            return Vec::new();
        }
        let first = (xxh3_64(vm.as_bytes()) % self.relays as u64) as usize;
        let standby = self.standby().filter(|index| !is_asker(index));
        std::iter::once(self.indices[first]).chain(standby).collect()
    }
}

/// The relays that lately failed to do a duty.
#[derive(Debug, Clone)]
pub struct Failures {
    backoff: Duration,
    /// Sorted by VM; the time after which the relay is asked again.
    until: Vec<(String, Duration)>,
}

impl Failures {
    /// Creates a value without any failure.
    pub fn new(duty: Duty) -> Failures {
        let backoff = match duty {
            Duty::Store => STORE_BACKOFF,
            Duty::Loads => LOADS_BACKOFF,
        };
        Failures { backoff, until: Vec::new() }
    }

    /// Records that a relay did not answer or has no current view.
    pub fn record(&mut self, vm: &str, now: Duration) {
        self.until.retain(|(_, until)| now < *until);
        let until = now + self.backoff;
        match self.find(vm) {
            Ok(index) => self.until[index].1 = until,
            Err(index) => self.until.insert(index, (vm.to_owned(), until)),
        }
    }

    /// Whether a relay may be asked.
    pub fn allows(&self, vm: &str, now: Duration) -> bool {
        self.find(vm).map_or(true, |index| now >= self.until[index].1)
    }

    fn find(&self, vm: &str) -> Result<usize, usize> {
        self.until.binary_search_by(|(known, _)| known.as_str().cmp(vm))
    }
}
