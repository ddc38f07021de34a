//! Admission control for one engine: starts, queues or refuses requests.
//!
//! The order is rank, then weighted fair queueing between accounts, then
//! arrival; a rank below its guaranteed minimum goes first. A request that can't
//! start in time is refused on arrival. See `docs/decisions/gate.md`.

mod action;
mod admission;
mod backoff;
mod capacity;
mod credit;
mod demand;
mod forecast;
mod latency;
mod queue;
mod rate;
mod rules;
mod running;
mod ticket;

use std::time::Duration;

use wire::Load;
use wire::Mean;
use wire::Refusal;
use wire::refusal::Ran;
use wire::refusal::Reason;

pub use action::Action;
pub use rules::Rule;
pub use rules::Rules;
pub use ticket::Id;
pub use ticket::Ticket;

use crate::bound;
use crate::gate::admission::Admission;
use crate::gate::capacity::Capacity;
use crate::gate::demand::Demand;
use crate::gate::latency::Latencies;
use crate::gate::queue::Queue;
use crate::gate::rate::Rates;
use crate::gate::running::Running;

/// Admission queue of one engine, with the requests that the engine runs.
///
/// Every offered ticket ends exactly once: by a refusal, or by [`Gate::end`].
#[derive(Debug, Clone)]
pub struct Gate {
    rules: Rules,
    rates: Rates,
    latencies: Latencies,
    demand: Demand,
    queue: Queue,
    running: Vec<Running>,
}

/// How a request that ran left the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It completed, so its duration counts for the engine's measured throughput.
    Completed,
    /// It was withdrawn or aborted, so its duration says nothing of the throughput.
    Aborted,
}

impl Gate {
    /// Returns an idle gate.
    pub fn new(rules: Rules) -> Gate {
        let rates = Rates::new(rules.start_rate);
        Gate {
            rules,
            rates,
            latencies: Latencies::default(),
            demand: Demand::default(),
            queue: Queue::default(),
            running: Vec::new(),
        }
    }

    /// Replaces the rules for all later decisions.
    pub fn configure(&mut self, rules: Rules) {
        self.rules = rules;
    }

    /// Offers a ticket and returns the decisions on it and on other tickets.
    ///
    /// `mean` is the fleet's mean load, if it is known; `now` is the time since the
    /// process's start. No action on the ticket itself means that it waits.
    pub fn offer(&mut self, ticket: Ticket, mean: Option<Mean>, now: Duration) -> Vec<Action> {
        let mut actions = self.tick(now);
        self.demand.record_offer(&ticket, self.rates.time(&ticket), now);
        self.queue.record_offer(&ticket, now);
        let admission = match self.admit(&ticket, mean, now) {
            Ok(admission) => admission,
            Err(reason) => {
                actions.push(self.refuse(&ticket, reason, now));
                return actions;
            }
        };
        for victim in admission.victims {
            if let Some((victim, _)) = self.queue.remove(victim) {
                actions.push(self.refuse(&victim, Reason::Queue, now));
            }
        }
        match admission.wait {
            None => {
                self.queue.record_start(&self.rules, &ticket);
                self.run(ticket, None, now, &mut actions);
            }
            Some(wait) => {
                let latency = self.latencies.time(&ticket);
                let predicted_first_token = now.saturating_add(wait).saturating_add(latency);
                self.queue.push(ticket, predicted_first_token);
            }
        }
        actions
    }

    /// Adds a request that the engine runs already, such as an answer that is resumed
    /// through another process.
    ///
    /// It is never refused: a refusal would free nothing at the engine and would cut
    /// the answer.
    pub fn adopt(&mut self, ticket: Ticket, now: Duration) {
        self.queue.record_start(&self.rules, &ticket);
        self.running.push(Running {
            ticket,
            start: now,
            has_first_token: true,
            predicted_first_token: None,
        });
    }

    /// Records the first token of a running request; later calls for it do nothing.
    pub fn record_first_token(&mut self, id: Id, now: Duration) {
        let work =
            self.running.iter_mut().find(|work| work.ticket.id == id && !work.has_first_token);
        let Some(work) = work else { return };
        work.has_first_token = true;
        self.latencies.record(&work.ticket, work.elapsed(now));
        if let Some(predicted_first_token) = work.predicted_first_token {
            self.latencies.record_prediction(&work.ticket, predicted_first_token, now);
        }
    }

    /// Removes a request that ended or was withdrawn, whether it ran or waited, and
    /// returns the decisions that follow.
    pub fn end(&mut self, id: Id, end: End, now: Duration) -> Vec<Action> {
        self.queue.remove(id);
        if let Some(index) = self.running.iter().position(|work| work.ticket.id == id) {
            let work = self.running.remove(index);
            if end == End::Completed {
                self.rates.record(&work.ticket, work.elapsed(now));
            }
        }
        self.tick(now)
    }

    /// Refuses waiting tickets whose first token can no longer come in time, and starts
    /// those that may use slots no longer reserved for more urgent ranks.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        let (rules, latencies) = (&self.rules, &self.latencies);
        let expired = self.queue.expire(|ticket| latencies.start_by(rules, ticket) <= now);
        for (ticket, predicted_first_token) in expired {
            let earliest = now.saturating_add(self.latencies.time(&ticket));
            self.latencies.record_prediction(&ticket, predicted_first_token, earliest);
            actions.push(self.refuse(&ticket, Reason::Deadline, now));
        }
        self.start(now, &mut actions);
        actions
    }

    /// Returns the latest time to start a ticket, since the process's start; `None` if it
    /// doesn't wait.
    pub fn start_by(&self, id: Id) -> Option<Duration> {
        let ticket = self.queue.tickets().iter().find(|ticket| ticket.id == id)?;
        Some(self.latencies.start_by(&self.rules, ticket))
    }

    /// Returns the running and waiting requests with their tokens, and the slots.
    pub fn load(&self) -> Load {
        let running: u64 = self.running.iter().map(|work| work.ticket.tokens()).sum();
        Load {
            running: self.running.len() as u32,
            waiting: self.queue.tickets().len() as u32,
            slots: self.rules.slots,
            tokens: running + self.queue.tokens(),
        }
    }

    /// Returns the terms of a ticket's admission, or the reason to refuse it.
    ///
    /// A ticket that finds a free slot starts even if its first token can't come in
    /// time, because no other engine would deliver it sooner.
    fn admit(
        &self,
        ticket: &Ticket,
        mean: Option<Mean>,
        now: Duration,
    ) -> Result<Admission, Reason> {
        if ticket.deadline <= now {
            return Err(Reason::Deadline);
        }
        let limit = bound::limit(self.rules.bound, self.rules.slots, mean);
        let bound = limit.saturating_sub(self.running.len() as u32);
        if self.has_slot(ticket, now) {
            let capacity = Capacity { places: bound, tokens: u64::MAX };
            let victims = capacity.victims_for_start(&self.queue, ticket).ok_or(Reason::Bound)?;
            return Ok(Admission { victims, wait: None });
        }
        let capacity =
            Capacity { places: bound.min(self.rules.queue), tokens: self.rules.queue_tokens };
        let reason = if bound < self.rules.queue { Reason::Bound } else { Reason::Queue };
        let victims = capacity.victims(&self.rules, &self.queue, ticket).ok_or(reason)?;
        let wait = self.wait(ticket, &victims, now);
        if now.saturating_add(wait) > self.latencies.predicted_start_by(&self.rules, ticket) {
            return Err(Reason::Deadline);
        }
        Ok(Admission { victims, wait: Some(wait) })
    }

    /// Returns the predicted wait of a newcomer after some tickets were evicted.
    fn wait(&self, ticket: &Ticket, victims: &[Id], now: Duration) -> Duration {
        let mut queue = self.queue.clone();
        for victim in victims {
            queue.remove(*victim);
        }
        let slots = self.slots(ticket, now);
        forecast::expected_wait(&self.rules, slots, &self.rates, &self.running, &queue, ticket, now)
    }

    /// Returns the number of slots that are not reserved for work preferred to a ticket.
    fn slots(&self, ticket: &Ticket, now: Duration) -> u32 {
        let running = self.running.iter().map(|work| &work.ticket);
        let slots = self.rules.slots;
        slots.saturating_sub(self.demand.reserved(ticket, running, slots, now))
    }

    /// Returns whether a slot is free that a ticket may use.
    fn has_slot(&self, ticket: &Ticket, now: Duration) -> bool {
        (self.running.len() as u32) < self.slots(ticket, now)
    }

    /// Starts waiting tickets in their order while slots are free for them.
    fn start(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while (self.running.len() as u32) < self.rules.slots {
            let Some(head) = self.queue.head() else { return };
            if !head.is_below_minimum && !self.has_slot(head.ticket, now) {
                return;
            }
            let id = head.ticket.id;
            let Some((ticket, predicted_first_token)) = self.queue.start(&self.rules, id) else {
                return;
            };
            self.run(ticket, Some(predicted_first_token), now, actions);
        }
    }

    /// Records a ticket as running and adds the action that starts it.
    fn run(
        &mut self,
        ticket: Ticket,
        predicted_first_token: Option<Duration>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Start(ticket.id));
        self.running.push(Running {
            ticket,
            start: now,
            predicted_first_token,
            has_first_token: false,
        });
    }

    /// Returns the refusal of a ticket, with a retry delay for the present backlog.
    fn refuse(&self, ticket: &Ticket, reason: Reason, now: Duration) -> Action {
        let retry_after = backoff::retry_after(self.backlog(now), ticket.request);
        Action::Refuse(ticket.id, Refusal { reason, ran: Ran::No, retry_after, hint: None })
    }

    /// Returns the predicted time that the engine takes for all admitted work.
    fn backlog(&self, now: Duration) -> Duration {
        let running = self.running.iter().map(|work| work.remaining(&self.rates, now));
        let running = running.fold(Duration::ZERO, Duration::saturating_add);
        let waiting = self.queue.tickets().iter().map(|ticket| self.rates.time(ticket));
        let waiting = waiting.fold(Duration::ZERO, Duration::saturating_add);
        running.saturating_add(waiting) / self.rules.slots.max(1)
    }
}
