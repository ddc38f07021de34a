//! Guaranteed minimum of each rank, kept as a credit balance.

use std::time::Duration;

use wire::id;

use crate::gate::Rule;
use crate::gate::Ticket;

/// 100 %, in the unit of [`Rule::minimum`].
const HUNDRED_PERCENT: i64 = 100;

/// A rank that was offered work within this time keeps its claim to the minimum even
/// while none of its work waits.
const ACTIVE_WINDOW: Duration = Duration::from_secs(1);

/// Credits of all ranks, the most urgent first.
#[derive(Debug, Clone, Default)]
pub(super) struct Credits {
    now: Duration,
    ranks: Vec<Credit>,
}

/// Started work of one rank compared with its guaranteed minimum.
#[derive(Debug, Clone, Default)]
struct Credit {
    /// Credit in tokens times percent.
    ///
    /// Each start adds the minimum of every active rank to its balance and takes 100 %
    /// from the started rank, so a rank with a positive balance is below its minimum.
    balance: i64,
    /// Time and tokens of the last offer.
    offered: Option<Duration>,
    tokens: i64,
}

impl Credits {
    /// Records offered work, whether it is then admitted or not.
    pub(super) fn record_offer(&mut self, ticket: &Ticket, now: Duration) {
        self.now = now;
        let rank = usize::from(ticket.rank);
        if self.ranks.len() <= rank {
            self.ranks.resize_with(rank + 1, Credit::default);
        }
        self.ranks[rank].offered = Some(now);
        self.ranks[rank].tokens = bounded(ticket.tokens());
    }

    /// Returns the rank that goes before the usual order, if one is below its minimum.
    ///
    /// While more urgent work waits, a rank needs the credit for a whole request, so
    /// that urgent work need not wait for a remainder.
    pub(super) fn owed(&self, is_waiting: impl Fn(id::Rank) -> bool) -> Option<id::Rank> {
        let mut owed: Option<(i64, id::Rank)> = None;
        let mut is_urgent_waiting = false;
        for (rank, credit) in (0..).zip(&self.ranks) {
            if !is_waiting(rank) {
                continue;
            }
            let least = if is_urgent_waiting { credit.request_cost() } else { 0 };
            let most = owed.map_or(0, |(balance, _)| balance);
            if credit.balance > least.max(most) {
                owed = Some((credit.balance, rank));
            }
            is_urgent_waiting = true;
        }
        owed.map(|(_, rank)| rank)
    }

    /// Records a started ticket.
    pub(super) fn record_start(
        &mut self,
        rules: &[Rule],
        ticket: &Ticket,
        is_waiting: impl Fn(id::Rank) -> bool,
    ) {
        let tokens = bounded(ticket.tokens());
        for ((rank, credit), rule) in (0..).zip(&mut self.ranks).zip(rules) {
            credit.balance = credit.balance.saturating_add(tokens * i64::from(rule.minimum));
            if rank == ticket.rank {
                let cost = tokens * HUNDRED_PERCENT;
                credit.balance = credit.balance.saturating_sub(cost).max(-cost);
            }
            if !is_waiting(rank) {
                credit.balance = credit.balance.min(credit.idle_max(self.now));
            }
        }
    }
}

impl Credit {
    /// Returns the highest balance without waiting work: one request if the rank is active.
    fn idle_max(&self, now: Duration) -> i64 {
        let is_active = self.offered.is_some_and(|at| now.saturating_sub(at) <= ACTIVE_WINDOW);
        if is_active { self.request_cost() } else { 0 }
    }

    /// Returns the credit that a request of the size of the last offer costs.
    fn request_cost(&self) -> i64 {
        self.tokens * HUNDRED_PERCENT
    }
}

/// Returns the tokens, limited so that sums of their percentages don't overflow.
fn bounded(tokens: u64) -> i64 {
    i64::try_from(tokens).unwrap_or(i64::MAX).min(i64::MAX / HUNDRED_PERCENT / HUNDRED_PERCENT)
}
