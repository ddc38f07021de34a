//! Waiting tickets and the order in which they start.

use std::time::Duration;

use wire::id;

use crate::fair::Clock;
use crate::fair::Tag;
use crate::gate::Id;
use crate::gate::Rules;
use crate::gate::Ticket;
use crate::gate::credit::Credits;

/// Waiting tickets in order of arrival, and the work started so far by rank and account.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    tickets: Vec<Ticket>,
    /// Predicted time of each first token, in the order of `tickets`.
    predicted: Vec<Duration>,
    /// Fair queueing clock of each rank.
    clocks: Vec<Clock>,
    credits: Credits,
}

/// Start tag and index of a waiting ticket; the lowest of a rank goes first.
pub(super) type Position = (Tag, usize);

/// The ticket that starts next.
#[derive(Debug, Clone, Copy)]
pub(super) struct Head<'a> {
    pub(super) ticket: &'a Ticket,
    /// Whether it goes first because its rank is below its minimum.
    pub(super) is_below_minimum: bool,
}

impl Queue {
    pub(super) fn tickets(&self) -> &[Ticket] {
        &self.tickets
    }

    pub(super) fn tokens(&self) -> u64 {
        self.tickets.iter().map(Ticket::tokens).sum()
    }

    /// Records offered work, whether it is then admitted or not.
    pub(super) fn record_offer(&mut self, ticket: &Ticket, now: Duration) {
        self.credits.record_offer(ticket, now);
    }

    /// Adds a ticket with the predicted time of its first token.
    pub(super) fn push(&mut self, ticket: Ticket, predicted: Duration) {
        self.tickets.push(ticket);
        self.predicted.push(predicted);
    }

    pub(super) fn remove(&mut self, id: Id) -> Option<(Ticket, Duration)> {
        let index = self.tickets.iter().position(|ticket| ticket.id == id)?;
        Some((self.tickets.remove(index), self.predicted.remove(index)))
    }

    /// Removes and returns the tickets that are too late to start.
    pub(super) fn expire(&mut self, is_late: impl Fn(&Ticket) -> bool) -> Vec<(Ticket, Duration)> {
        let late = self.tickets.iter().filter(|ticket| is_late(ticket));
        let late: Vec<Id> = late.map(|ticket| ticket.id).collect();
        late.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Returns the ticket that starts next, if any waits.
    pub(super) fn head(&self) -> Option<Head<'_>> {
        let is_waiting = |rank| self.tickets.iter().any(|ticket| ticket.rank == rank);
        let owed = self.credits.owed(is_waiting);
        let rank = owed.or_else(|| self.tickets.iter().map(|ticket| ticket.rank).min())?;
        let (_, index) = self.positions(rank, None).into_iter().min()?;
        Some(Head { ticket: &self.tickets[index], is_below_minimum: owed.is_some() })
    }

    /// Removes a ticket and records it as started.
    pub(super) fn start(&mut self, rules: &Rules, id: Id) -> Option<(Ticket, Duration)> {
        let (ticket, predicted) = self.remove(id)?;
        self.record_start(rules, &ticket);
        Some((ticket, predicted))
    }

    /// Records a started ticket, whether it waited or not.
    pub(super) fn record_start(&mut self, rules: &Rules, ticket: &Ticket) {
        let rank = usize::from(ticket.rank);
        if self.clocks.len() <= rank {
            self.clocks.resize_with(rank + 1, Clock::default);
        }
        self.clocks[rank].record_start(&ticket.account, ticket.tokens(), ticket.weight);
        let is_waiting = |rank| self.tickets.iter().any(|ticket| ticket.rank == rank);
        self.credits.record_start(&rules.ranks, ticket, is_waiting);
    }

    /// Returns the number of a rank's waiting tickets.
    pub(super) fn waiting(&self, rank: id::Rank) -> usize {
        self.tickets.iter().filter(|ticket| ticket.rank == rank).count()
    }

    /// Returns the positions of a rank's waiting tickets in order of arrival, followed by
    /// that of a newcomer of the rank.
    pub(super) fn positions(&self, rank: id::Rank, newcomer: Option<&Ticket>) -> Vec<Position> {
        let mut next_tags: Vec<(&str, Tag)> = Vec::new();
        let waiting = self.tickets.iter().enumerate();
        let waiting = waiting.filter(|(_, ticket)| ticket.rank == rank);
        let all = waiting.chain(newcomer.map(|ticket| (self.tickets.len(), ticket)));
        all.map(|(index, ticket)| (self.tag(&mut next_tags, ticket), index)).collect()
    }

    /// Returns the start tag of an account's next ticket and advances its tag in
    /// `next_tags`, which holds the accounts met so far.
    fn tag<'a>(&self, next_tags: &mut Vec<(&'a str, Tag)>, ticket: &'a Ticket) -> Tag {
        let account = ticket.account.as_str();
        let span = Clock::span(ticket.tokens(), ticket.weight);
        match next_tags.binary_search_by_key(&account, |(known, _)| known) {
            Ok(index) => {
                let tag = next_tags[index].1;
                next_tags[index].1 = tag.saturating_add(span);
                tag
            }
            Err(index) => {
                let clock = self.clocks.get(usize::from(ticket.rank));
                let tag = clock.map_or(0, |clock| clock.tag(account));
                next_tags.insert(index, (account, tag.saturating_add(span)));
                tag
            }
        }
    }
}
