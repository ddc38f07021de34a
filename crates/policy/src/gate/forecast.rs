//! Prediction of the time that an offered ticket would wait.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use wire::id;

use crate::gate::Rules;
use crate::gate::Ticket;
use crate::gate::queue::Queue;
use crate::gate::rate::Rates;
use crate::gate::running::Running;

/// 100 %, in the unit of a rank's minimum.
const HUNDRED_PERCENT: u32 = 100;

/// Returns the time until a newcomer can start behind all tickets ahead of it, when
/// its rank may use `slots` slots.
///
/// The queue is simulated with the predicted service times. A rank with a guaranteed
/// minimum waits at most for its own queue at that part of the engine's throughput,
/// whatever the other ranks ask for.
pub(super) fn expected_wait(
    rules: &Rules,
    slots: u32,
    rates: &Rates,
    running: &[Running],
    queue: &Queue,
    newcomer: &Ticket,
    now: Duration,
) -> Duration {
    let mut free: BinaryHeap<Reverse<Duration>> =
        running.iter().map(|work| Reverse(work.remaining(rates, now))).collect();
    // Requests beyond the rank's slots must end before a slot becomes free for it.
    for _ in slots as usize..running.len() {
        free.pop();
    }
    let first = free.peek().map_or(Duration::ZERO, |free| free.0);
    let mut own = Duration::ZERO;
    for ticket in ahead(queue, newcomer) {
        let Some(Reverse(start)) = free.pop() else { break };
        free.push(Reverse(start.saturating_add(rates.time(ticket))));
        if ticket.rank == newcomer.rank {
            own = own.saturating_add(rates.time(ticket));
        }
    }
    let all = free.peek().map_or(Duration::ZERO, |free| free.0);
    // Less urgent ranks that wait take their minimum meanwhile.
    let competing_minimum = competing_minimum(rules, queue, newcomer);
    let queued = all.saturating_sub(first).saturating_mul(HUNDRED_PERCENT)
        / (HUNDRED_PERCENT - competing_minimum);
    let all = first.saturating_add(queued);
    match u32::from(rules.minimum(newcomer.rank)) {
        0 => all,
        minimum => {
            let own = own.saturating_mul(HUNDRED_PERCENT) / (minimum * rules.slots.max(1));
            all.min(first.saturating_add(own))
        }
    }
}

/// Returns the summed minimums, in percent, of less urgent ranks with waiting work.
///
/// It is at most 99, so that some throughput is always left to the newcomer's rank.
fn competing_minimum(rules: &Rules, queue: &Queue, newcomer: &Ticket) -> u32 {
    let ranks = newcomer.rank.saturating_add(1)..=id::Rank::MAX;
    let ranks = ranks.take_while(|rank| usize::from(*rank) < rules.ranks.len());
    let waiting = ranks.filter(|rank| queue.waiting(*rank) > 0);
    waiting.map(|rank| u32::from(rules.minimum(rank))).sum::<u32>().min(HUNDRED_PERCENT - 1)
}

/// Returns the waiting tickets that would start before the newcomer.
fn ahead<'a>(queue: &'a Queue, newcomer: &Ticket) -> Vec<&'a Ticket> {
    let tickets = queue.tickets();
    let mut ahead: Vec<&Ticket> =
        tickets.iter().filter(|ticket| ticket.rank < newcomer.rank).collect();
    let mut positions = queue.positions(newcomer.rank, Some(newcomer));
    let own = positions.pop();
    let before = positions.into_iter().filter(|position| Some(*position) < own);
    ahead.extend(before.map(|(_, index)| &tickets[index]));
    ahead
}
