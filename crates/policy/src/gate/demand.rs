//! Slots that are reserved for preferred work, by its recent demand.

use std::time::Duration;

use wire::id;

use crate::gate::Ticket;

/// Time constant of the exponential average of offered work.
const AVERAGING_WINDOW: Duration = Duration::from_secs(10);

/// Shortest time over which demand is averaged after the first offer.
const AVERAGING_MIN: Duration = Duration::from_secs(1);

/// Slots that are never reserved, so that the least urgent work always has them.
const UNRESERVED_SLOTS: u32 = 1;

/// Slots reserved beyond the mean demand, as a multiple of its square root.
const HEADROOM_FACTOR: f64 = 0.5;

/// Averaged demand below this many slots counts as zero, so that the remainder of old
/// demand reserves no slot.
const NEGLIGIBLE_SLOTS: f64 = 0.01;

/// Time after an account's last request for which its demand is remembered, and
/// for which a slot is reserved for an account within its share.
const FLOW_RETENTION: Duration = Duration::from_secs(600);

/// Recent demand of each client account in each rank, as a number of busy slots.
///
/// Flows are sorted by rank and account.
#[derive(Debug, Clone, Default)]
pub(super) struct Demand {
    flows: Vec<Flow>,
    /// Time of the first offer.
    first_offer: Option<Duration>,
}

/// The demand of one account in one rank.
#[derive(Debug, Clone)]
struct Flow {
    rank: id::Rank,
    account: id::Account,
    weight: u32,
    /// Offered work, decaying over [`AVERAGING_WINDOW`].
    slot_seconds: f64,
    updated: Duration,
}

/// The demand of all accounts of a rank, beside the engine's number of slots.
struct Total {
    rank: id::Rank,
    slots: f64,
    busy: f64,
    weights: f64,
}

impl Demand {
    /// Records offered work, whether it is then admitted or not.
    ///
    /// `time` is the predicted time that it occupies a slot.
    pub(super) fn record_offer(&mut self, ticket: &Ticket, time: Duration, now: Duration) {
        self.first_offer.get_or_insert(now);
        if self.find(ticket.rank, &ticket.account).is_err() {
            self.flows.retain(|flow| flow.is_retained(now));
        }
        let index = self.find(ticket.rank, &ticket.account).unwrap_or_else(|index| {
            self.flows.insert(index, Flow::new(ticket, now));
            index
        });
        let flow = &mut self.flows[index];
        flow.slot_seconds = flow.slot_seconds_at(now) + time.as_secs_f64();
        flow.updated = now;
        flow.weight = ticket.weight;
    }

    /// Returns the number of free slots that a ticket must leave to preferred work.
    ///
    /// Preferred is work of more urgent ranks and, if the ticket's account exceeds its
    /// share, work of accounts of the same rank that don't. The reservation is the mean
    /// demand of that work plus headroom for its variation, which grows as the square
    /// root of the mean. It is at least one slot if such an account of the same rank
    /// sent a request within [`FLOW_RETENTION`], however rarely it does, and leaves
    /// [`UNRESERVED_SLOTS`]. The slots that the preferred work already occupies are
    /// subtracted.
    pub(super) fn reserved<'a>(
        &self,
        ticket: &Ticket,
        running: impl Iterator<Item = &'a Ticket>,
        slots: u32,
        now: Duration,
    ) -> u32 {
        let total = self.total(ticket.rank, slots, now);
        let is_over_share = !self.is_within_share(&ticket.account, &total, now);
        let is_preferred = |rank: id::Rank, account: &str| {
            let is_within_share = || self.is_within_share(account, &total, now);
            rank < ticket.rank || (rank == ticket.rank && is_over_share && is_within_share())
        };
        let preferred = self.flows.iter().filter(|flow| is_preferred(flow.rank, &flow.account));
        let preferred: Vec<&Flow> = preferred.collect();
        let busy: f64 = preferred.iter().map(|flow| self.slots(flow, now)).sum();
        let needed = (busy + HEADROOM_FACTOR * busy.sqrt()).ceil() as u32;
        let is_recent = |flow: &&Flow| flow.rank == ticket.rank && flow.is_retained(now);
        let has_recent = preferred.iter().any(is_recent);
        let needed = needed.max(u32::from(has_recent));
        let held = running.filter(|work| is_preferred(work.rank, &work.account)).count() as u32;
        needed.min(slots.saturating_sub(UNRESERVED_SLOTS)).saturating_sub(held)
    }

    /// Returns whether an account's demand is within its weighted share of the slots,
    /// or the demand of the whole rank is within the number of slots.
    fn is_within_share(&self, account: &str, total: &Total, now: Duration) -> bool {
        let Ok(index) = self.find(total.rank, account) else { return true };
        let flow = &self.flows[index];
        let share = total.slots * f64::from(flow.weight) / total.weights.max(1.0);
        total.busy <= total.slots || self.slots(flow, now) <= share
    }

    /// Returns the summed demand of a rank's accounts on an engine with `slots` slots.
    fn total(&self, rank: id::Rank, slots: u32, now: Duration) -> Total {
        let flows = || self.flows.iter().filter(|flow| flow.rank == rank);
        let active = flows().filter(|flow| self.slots(flow, now) > 0.0);
        Total {
            rank,
            slots: f64::from(slots),
            busy: flows().map(|flow| self.slots(flow, now)).sum(),
            weights: active.map(|flow| f64::from(flow.weight)).sum(),
        }
    }

    /// Returns the mean number of slots that a flow keeps busy.
    ///
    /// The exponential average starts at zero, so it is corrected for the time since
    /// the first offer.
    fn slots(&self, flow: &Flow, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.first_offer.unwrap_or(now)).max(AVERAGING_MIN);
        let correction = 1.0 - (-elapsed.as_secs_f64() / AVERAGING_WINDOW.as_secs_f64()).exp();
        let slots = flow.slot_seconds_at(now) / AVERAGING_WINDOW.as_secs_f64() / correction;
        if slots < NEGLIGIBLE_SLOTS { 0.0 } else { slots }
    }

    /// Returns the index of a flow, or where to insert it.
    fn find(&self, rank: id::Rank, account: &str) -> Result<usize, usize> {
        let key = (rank, account);
        self.flows.binary_search_by(|flow| (flow.rank, flow.account.as_str()).cmp(&key))
    }
}

impl Flow {
    fn new(ticket: &Ticket, now: Duration) -> Flow {
        Flow {
            rank: ticket.rank,
            account: ticket.account.clone(),
            weight: ticket.weight,
            slot_seconds: 0.0,
            updated: now,
        }
    }

    fn is_retained(&self, now: Duration) -> bool {
        now.saturating_sub(self.updated) <= FLOW_RETENTION
    }

    /// Returns the flow's slot seconds, decayed up to `now`.
    fn slot_seconds_at(&self, now: Duration) -> f64 {
        let elapsed =
            now.saturating_sub(self.updated).as_secs_f64() / AVERAGING_WINDOW.as_secs_f64();
        self.slot_seconds * (-elapsed).exp()
    }
}
