//! Counts of a slot, one of the equal parts of the long window, for the course of the burn.

use serde::Deserialize;
use serde::Serialize;
use wire::id;

use crate::Count;

/// The count of one service over all client accounts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The service.
    pub service: id::Service,
    /// Its requests by outcome.
    pub count: Count,
}

/// The counts of one slot, which is as long as the short window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// Minutes from the end of the slot until now.
    pub ago: u64,
    /// One tally per service that was used in the slot, sorted by service.
    pub tallies: Vec<Tally>,
}

/// Returns the count of a service in sorted slots; slot and tally are inserted if they are new.
pub(crate) fn count_mut<'a>(slots: &'a mut Vec<Slot>, ago: u64, service: &str) -> &'a mut Count {
    let index = slots.binary_search_by_key(&ago, |slot| slot.ago).unwrap_or_else(|index| {
        slots.insert(index, Slot { ago, tallies: Vec::new() });
        index
    });
    let tallies = &mut slots[index].tallies;
    let found = tallies.binary_search_by(|tally| tally.service.as_str().cmp(service));
    let index = found.unwrap_or_else(|index| {
        tallies.insert(index, Tally { service: service.to_owned(), count: Count::default() });
        index
    });
    &mut tallies[index].count
}
