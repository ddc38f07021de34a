//! Capacity of the queue, and the choice of tickets to evict when it is full.

use wire::id;

use crate::gate::Id;
use crate::gate::Rules;
use crate::gate::Ticket;
use crate::gate::queue::Queue;

/// 100 %, in the unit of a rank's minimum.
const HUNDRED_PERCENT: u32 = 100;

/// Limits of the queue.
#[derive(Debug, Clone, Copy)]
pub(super) struct Capacity {
    /// Requests that may wait.
    pub(super) places: u32,
    /// Tokens that all of them may request.
    pub(super) tokens: u64,
}

impl Capacity {
    /// Returns the tickets to evict so that a newcomer fits, none if it fits already.
    ///
    /// Returns `None` if it doesn't fit even without all tickets that it takes precedence
    /// over.
    pub(super) fn victims(
        &self,
        rules: &Rules,
        queue: &Queue,
        newcomer: &Ticket,
    ) -> Option<Vec<Id>> {
        if self.fits(queue, newcomer) {
            return Some(Vec::new());
        }
        let mut remaining = queue.clone();
        let mut victims = Vec::new();
        while !self.fits(&remaining, newcomer) {
            let victim = self.victim(rules, &remaining, newcomer)?;
            remaining.remove(victim);
            victims.push(victim);
        }
        Some(victims)
    }

    /// Like [`Capacity::victims`] for a newcomer that starts at once; evicts one ticket at
    /// most. The newcomer goes before all waiting tickets, so the places guaranteed to
    /// their ranks don't protect them.
    pub(super) fn victims_for_start(&self, queue: &Queue, newcomer: &Ticket) -> Option<Vec<Id>> {
        if self.fits(queue, newcomer) {
            return Some(Vec::new());
        }
        let rank = queue.tickets().iter().map(|ticket| ticket.rank).max()?;
        let victim = match rank > newcomer.rank {
            true => last(queue, rank),
            false => last_of_larger_account(queue, newcomer),
        };
        victim.map(|victim| vec![victim])
    }

    fn fits(&self, queue: &Queue, newcomer: &Ticket) -> bool {
        let places = queue.tickets().len() < self.places as usize;
        places && queue.tokens().saturating_add(newcomer.tokens()) <= self.tokens
    }

    /// Returns the last ticket of the least urgent rank that exceeds its guaranteed places,
    /// or `None` if the newcomer doesn't take precedence over it.
    fn victim(&self, rules: &Rules, queue: &Queue, newcomer: &Ticket) -> Option<Id> {
        let has_guaranteed_place =
            queue.waiting(newcomer.rank) < self.guaranteed_places(rules, newcomer.rank);
        let is_over = |rank: &id::Rank| queue.waiting(*rank) > self.guaranteed_places(rules, *rank);
        let rank = queue.tickets().iter().map(|ticket| ticket.rank).filter(is_over).max()?;
        if rank == newcomer.rank {
            return last_of_larger_account(queue, newcomer);
        }
        if rank < newcomer.rank && !has_guaranteed_place {
            return None;
        }
        last(queue, rank)
    }

    /// Returns the places that other ranks can't take from a rank; at least one if its
    /// minimum isn't 0.
    fn guaranteed_places(&self, rules: &Rules, rank: id::Rank) -> usize {
        match u32::from(rules.minimum(rank)) {
            0 => 0,
            minimum => (self.places * minimum / HUNDRED_PERCENT).max(1) as usize,
        }
    }
}

/// Returns the waiting ticket of a rank that would start last.
fn last(queue: &Queue, rank: id::Rank) -> Option<Id> {
    let (_, index) = queue.positions(rank, None).into_iter().max()?;
    Some(queue.tickets()[index].id)
}

/// Returns the last waiting ticket of the newcomer's rank if it belongs to another
/// account and would start after the newcomer.
///
/// Within a rank only an account that requested more loses tickets.
fn last_of_larger_account(queue: &Queue, newcomer: &Ticket) -> Option<Id> {
    let mut positions = queue.positions(newcomer.rank, Some(newcomer));
    let (own, _) = positions.pop()?;
    let (last, index) = positions.into_iter().max()?;
    let ticket = &queue.tickets()[index];
    (last > own && ticket.account != newcomer.account).then_some(ticket.id)
}
