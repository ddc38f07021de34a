//! The one gate of the engine, shared by all workers.

mod pass;
mod token;
mod waiters;

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
pub use pass::Pass;
use policy::gate::Action;
use policy::gate::End;
use policy::gate::Id;
use policy::gate::Rules;
use policy::gate::Ticket;
pub(crate) use token::Token;
use wire::Load;
use wire::Mean;
use wire::id;

use crate::gate::waiters::Waiters;
use crate::meter;

/// Time between two looks of waiting work at whether it may start, since the
/// demand of more urgent ranks fades without any event.
const LOOK: Duration = Duration::from_millis(250);

/// The clock that decisions are given: time since the process started.
pub type Clock = Arc<dyn Fn() -> Duration + Send + Sync>;

/// Carries out what the pure gate decides.
///
/// Its one lock is never held across an await, nor while another is taken.
pub struct Gate {
    clock: Clock,
    state: Mutex<State>,
}

struct State {
    gate: policy::gate::Gate,
    revision: id::Revision,
    next: Id,
    waiters: Waiters,
}

impl Gate {
    /// An idle gate.
    pub fn new(rules: Rules, clock: Clock) -> Gate {
        let state = State {
            gate: policy::gate::Gate::new(rules),
            revision: 0,
            next: 0,
            waiters: Waiters::default(),
        };
        Gate { clock, state: Mutex::new(state) }
    }

    /// Puts the rules of a newer revision in force.
    pub fn configure(&self, revision: id::Revision, rules: impl FnOnce() -> Rules) {
        let mut state = self.state.lock();
        if revision > state.revision {
            state.revision = revision;
            state.gate.configure(rules());
        }
    }

    /// Offers work; the ticket's id is set here.
    pub fn offer(self: &Arc<Gate>, mut ticket: Ticket, mean: Option<Mean>) -> Pass {
        let now = (self.clock)();
        let mut state = self.state.lock();
        let id = state.next();
        ticket.id = id;
        let decision = state.waiters.add(id);
        let actions = state.gate.offer(ticket, mean, now);
        state.carry_out(actions);
        let load = state.gate.load();
        drop(state);
        meter::load(load);
        Pass::new(self, id, decision)
    }

    /// Counts work that the engine runs already; the ticket's id is set here.
    pub fn adopt(self: &Arc<Gate>, mut ticket: Ticket) -> Pass {
        let now = (self.clock)();
        let mut state = self.state.lock();
        let id = state.next();
        ticket.id = id;
        state.gate.adopt(ticket, now);
        Pass::new(self, id, waiters::granted())
    }

    /// The work counted at the gate.
    pub fn load(&self) -> Load {
        self.state.lock().gate.load()
    }

    fn tick(&self) {
        let now = (self.clock)();
        let mut state = self.state.lock();
        let actions = state.gate.tick(now);
        state.carry_out(actions);
    }

    /// The time until waiting work has to be looked at again.
    fn look(&self, id: Id) -> Duration {
        let start_by = self.state.lock().gate.start_by(id);
        start_by.map_or(LOOK, |time| time.saturating_sub((self.clock)()).min(LOOK))
    }

    fn end(&self, id: Id, end: End) {
        let now = (self.clock)();
        let mut state = self.state.lock();
        state.waiters.remove(id);
        let actions = state.gate.end(id, end, now);
        state.carry_out(actions);
        let load = state.gate.load();
        drop(state);
        meter::load(load);
    }
}

impl State {
    fn next(&mut self) -> Id {
        let id = self.next;
        self.next += 1;
        id
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (id, decision) = match action {
                Action::Start(id) => (id, Ok(())),
                Action::Refuse(id, refusal) => (id, Err(refusal)),
            };
            self.waiters.tell(id, decision);
        }
    }
}
