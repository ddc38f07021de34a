//! Slots that are kept free for work that goes before other work.

use std::time::Duration;

use wire::id;

use crate::gate::Ticket;

/// Time over which offered work is averaged.
const WINDOW: Duration = Duration::from_secs(10);

/// Demand is averaged over no less, however short the gate has been asked.
const SHORTEST: Duration = Duration::from_secs(1);

/// Slots that are left to the least urgent work whatever is asked before it.
const LEFT: u32 = 1;

/// Square roots of the busy slots that are kept beside them.
const SPARE: f64 = 0.5;

/// What is left of demand long past, in slots, keeps no slot free.
const LEAST: f64 = 0.01;

/// Time for which a slot is kept for an account that asks for little, after
/// its last request.
const MEMORY: Duration = Duration::from_secs(600);

/// The work that each account was offered in each rank lately, in slots that
/// it keeps busy; sorted by rank and account.
#[derive(Debug, Clone, Default)]
pub(super) struct Demand {
    flows: Vec<Flow>,
    /// When the first work was offered.
    since: Option<Duration>,
}

/// One account's work of a rank.
#[derive(Debug, Clone)]
struct Flow {
    rank: id::Rank,
    account: id::Account,
    weight: u32,
    /// Slot seconds, fading over [`WINDOW`].
    seconds: f64,
    at: Duration,
}

/// All accounts of a rank together.
struct Crowd {
    rank: id::Rank,
    slots: f64,
    busy: f64,
    weights: f64,
}

impl Demand {
    /// Counts work that is offered, whether it is then accepted or not.
    pub(super) fn offered(&mut self, ticket: &Ticket, time: Duration, now: Duration) {
        self.since.get_or_insert(now);
        if self.find(ticket.rank, &ticket.account).is_err() {
            self.flows.retain(|flow| flow.is_remembered(now));
        }
        let index = self.find(ticket.rank, &ticket.account).unwrap_or_else(|index| {
            self.flows.insert(index, Flow::new(ticket, now));
            index
        });
        let flow = &mut self.flows[index];
        flow.seconds = flow.seconds_at(now) + time.as_secs_f64();
        flow.at = now;
        flow.weight = ticket.weight;
    }

    /// Slots that a ticket has to leave to work that goes before it, which is
    /// work of more urgent ranks, and of accounts that ask for no more than their share
    /// if its own account asks for more. They are those that such work keeps
    /// busy, less those that it holds, and some for its ups and downs, which
    /// grow as the square root; at least one for accounts that rarely ask.
    pub(super) fn kept<'a>(
        &self,
        ticket: &Ticket,
        running: impl Iterator<Item = &'a Ticket>,
        slots: u32,
        now: Duration,
    ) -> u32 {
        let crowd = self.crowd(ticket.rank, slots, now);
        let is_large = !self.is_small(&ticket.account, &crowd, now);
        let goes_before = |rank: id::Rank, account: &str| {
            let is_small = || self.is_small(account, &crowd, now);
            rank < ticket.rank || (rank == ticket.rank && is_large && is_small())
        };
        let before = self.flows.iter().filter(|flow| goes_before(flow.rank, &flow.account));
        let before: Vec<&Flow> = before.collect();
        let busy: f64 = before.iter().map(|flow| self.slots(flow, now)).sum();
        let needed = (busy + SPARE * busy.sqrt()).ceil() as u32;
        let is_rare = |flow: &&Flow| flow.rank == ticket.rank && flow.is_remembered(now);
        let has_rare = before.iter().any(is_rare);
        let needed = needed.max(u32::from(has_rare));
        let held = running.filter(|work| goes_before(work.rank, &work.account)).count() as u32;
        needed.min(slots.saturating_sub(LEFT)).saturating_sub(held)
    }

    /// Whether an account asks for no more than its share of the slots beside
    /// the other accounts of the rank, or the rank asks for no more than there are.
    fn is_small(&self, account: &str, crowd: &Crowd, now: Duration) -> bool {
        let Ok(index) = self.find(crowd.rank, account) else { return true };
        let flow = &self.flows[index];
        let share = crowd.slots * f64::from(flow.weight) / crowd.weights.max(1.0);
        crowd.busy <= crowd.slots || self.slots(flow, now) <= share
    }

    fn crowd(&self, rank: id::Rank, slots: u32, now: Duration) -> Crowd {
        let flows = || self.flows.iter().filter(|flow| flow.rank == rank);
        let active = flows().filter(|flow| self.slots(flow, now) > 0.0);
        Crowd {
            rank,
            slots: f64::from(slots),
            busy: flows().map(|flow| self.slots(flow, now)).sum(),
            weights: active.map(|flow| f64::from(flow.weight)).sum(),
        }
    }

    /// Slots that a flow keeps busy. Until work was offered for the whole
    /// window, it is averaged over the time since the first.
    fn slots(&self, flow: &Flow, now: Duration) -> f64 {
        let since = now.saturating_sub(self.since.unwrap_or(now)).max(SHORTEST);
        let seen = 1.0 - (-since.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        let slots = flow.seconds_at(now) / WINDOW.as_secs_f64() / seen;
        if slots < LEAST { 0.0 } else { slots }
    }

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
            seconds: 0.0,
            at: now,
        }
    }

    fn is_remembered(&self, now: Duration) -> bool {
        now.saturating_sub(self.at) <= MEMORY
    }

    fn seconds_at(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64() / WINDOW.as_secs_f64();
        self.seconds * (-passed).exp()
    }
}
