//! The engine's gate: an admission queue shared by all workers.

mod first_token;
mod pass;
mod waiters;

use std::sync::Arc;
use std::time::Duration;

pub(crate) use first_token::FirstToken;
use parking_lot::Mutex;
pub use pass::Pass;
use policy::gate::Action;
use policy::gate::End;
use policy::gate::Id;
use policy::gate::Rules;
use policy::gate::Ticket;
use wire::Load;
use wire::Mean;
use wire::id;

use crate::gate::waiters::Waiters;
use crate::meter;

/// Longest time between two checks whether waiting work may start. The demand of
/// more urgent ranks decays without an event that would trigger a check.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A clock that returns the time since the process started.
pub type Clock = Arc<dyn Fn() -> Duration + Send + Sync>;

/// Admits work to the engine and applies the decisions of [`policy::gate::Gate`].
///
/// Its lock is never held across an await, nor while another lock is taken.
pub struct Gate {
    clock: Clock,
    state: Mutex<State>,
}

struct State {
    gate: policy::gate::Gate,
    revision: id::Revision,
    next_id: Id,
    waiters: Waiters,
}

impl Gate {
    /// Returns a gate without work, whose rules count as those of revision 0.
    pub fn new(rules: Rules, clock: Clock) -> Gate {
        let state = State {
            gate: policy::gate::Gate::new(rules),
            revision: 0,
            next_id: 0,
            waiters: Waiters::default(),
        };
        Gate { clock, state: Mutex::new(state) }
    }

    /// Applies the rules of a revision, if it is newer than the current one.
    pub fn configure(&self, revision: id::Revision, rules: impl FnOnce() -> Rules) {
        let mut state = self.state.lock();
        if revision > state.revision {
            state.revision = revision;
            state.gate.configure(rules());
        }
    }

    /// Submits work for admission. The ticket's id is set here; `mean` is the
    /// cluster's estimated mean load.
    pub fn offer(self: &Arc<Gate>, mut ticket: Ticket, mean: Option<Mean>) -> Pass {
        let now = (self.clock)();
        let mut state = self.state.lock();
        let id = state.allocate_id();
        ticket.id = id;
        let decision = state.waiters.add(id);
        let actions = state.gate.offer(ticket, mean, now);
        state.apply(actions);
        let load = state.gate.load();
        drop(state);
        meter::record_load(load);
        Pass::new(self, id, decision)
    }

    /// Counts work that the engine already runs, without admission. The ticket's
    /// id is set here.
    pub fn adopt(self: &Arc<Gate>, mut ticket: Ticket) -> Pass {
        let now = (self.clock)();
        let mut state = self.state.lock();
        let id = state.allocate_id();
        ticket.id = id;
        state.gate.adopt(ticket, now);
        Pass::new(self, id, waiters::granted())
    }

    /// Returns the load of the work that waits at the gate or runs.
    pub fn load(&self) -> Load {
        self.state.lock().gate.load()
    }

    fn tick(&self) {
        let now = (self.clock)();
        let mut state = self.state.lock();
        let actions = state.gate.tick(now);
        state.apply(actions);
    }

    /// Returns the time until waiting work has to be checked again.
    fn recheck_delay(&self, id: Id) -> Duration {
        let start_by = self.state.lock().gate.start_by(id);
        start_by.map_or(RECHECK_INTERVAL, |time| {
            time.saturating_sub((self.clock)()).min(RECHECK_INTERVAL)
        })
    }

    fn end(&self, id: Id, end: End) {
        let now = (self.clock)();
        let mut state = self.state.lock();
        state.waiters.remove(id);
        let actions = state.gate.end(id, end, now);
        state.apply(actions);
        let load = state.gate.load();
        drop(state);
        meter::record_load(load);
    }
}

impl State {
    fn allocate_id(&mut self) -> Id {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (id, decision) = match action {
                Action::Start(id) => (id, Ok(())),
                Action::Refuse(id, refusal) => (id, Err(refusal)),
            };
            self.waiters.notify(id, decision);
        }
    }
}
