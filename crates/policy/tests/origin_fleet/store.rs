//! The store, with what it does wrong.

use policy::origin::Segment;
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::origin_fleet::entry::Entry;

/// Steps between copies that the store may come back from.
const COPY_INTERVAL: u32 = 60;

/// The store. While it is away it takes nothing.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) entries: Vec<Entry>,
    /// The versions that the process knew which was the last to start or to hear of one, and its name. They have
    /// no lease.
    pub(crate) in_use: Option<(String, Segment)>,
    /// How often it has come back from a copy.
    pub(crate) restores: u64,
    copy: Vec<Entry>,
    copy_age: u32,
    /// Steps until it is back; 0 if it is not away.
    away: u32,
    does_lapse: bool,
    does_restore: bool,
    /// A slot that it turns away, and for how many steps.
    shut: (usize, u32),
}

impl Store {
    /// Whether it answers the gateway of a slot.
    pub(crate) fn answers(&self, slot: usize) -> bool {
        self.away == 0 && (self.shut.1 == 0 || self.shut.0 != slot)
    }

    /// Whether it answers nobody.
    pub(crate) fn is_away(&self) -> bool {
        self.away > 0
    }

    /// Goes away, or turns a gateway away.
    pub(crate) fn fail(&mut self, rng: &mut Pcg32) {
        if rng.random_bool(0.3) {
            self.shut = (rng.random_range(0..5), rng.random_range(10..80));
        } else if self.away == 0 {
            self.away = rng.random_range(5..60);
            self.does_lapse = rng.random_bool(0.25);
            self.does_restore = !self.does_lapse && rng.random_bool(0.4);
        }
    }

    /// Lets a step pass. Returns whether it has just come back.
    pub(crate) fn step(&mut self) -> bool {
        self.shut.1 = self.shut.1.saturating_sub(1);
        self.copy_age += 1;
        if self.copy_age >= COPY_INTERVAL && self.away == 0 {
            (self.copy, self.copy_age) = (self.entries.clone(), 0);
        }
        let was_away = self.is_away();
        self.away = self.away.saturating_sub(1);
        let is_back = was_away && !self.is_away();
        if is_back && self.does_lapse {
            self.entries.clear();
        }
        if is_back && self.does_restore {
            self.entries.clone_from(&self.copy);
            self.restores += 1;
        }
        if !self.is_away() {
            self.entries.iter_mut().for_each(|entry| entry.steps_left -= 1);
            self.entries.retain(|entry| entry.steps_left > 0);
        }
        is_back
    }

    /// Whether it has an entry of a process.
    pub(crate) fn has(&self, process: &str) -> bool {
        self.entries.iter().any(|entry| entry.process == process)
    }

    /// Takes a write.
    pub(crate) fn write(&mut self, entry: Entry) {
        self.entries.retain(|other| other.process != entry.process);
        self.entries.push(entry);
    }
}
