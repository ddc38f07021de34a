//! Answers under way at this agent, so that they can be cancelled and taken over.

use std::collections::VecDeque;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;
use wire::id;

use crate::gate::Pass;

/// Cancels kept that came before their attempt.
const EARLY: usize = 256;

/// Names an attempt.
type Name = (id::Request, id::Attempt);

/// The answers under way, of all workers.
///
/// Its lock is never held while a place at the gate is given back.
#[derive(Default)]
pub struct Answers(Mutex<State>);

#[derive(Default)]
struct State {
    /// Sorted by name.
    running: Vec<Running>,
    /// A cancel may overtake its attempt, as it comes by another connection.
    early: VecDeque<Name>,
}

struct Running {
    name: Name,
    account: id::Account,
    /// The engine's name of the answer, empty while it can't be taken over.
    handle: String,
    shared: Arc<Shared>,
}

/// What an answer shares with the table.
#[derive(Default)]
struct Shared {
    cancelled: CancellationToken,
    taken: CancellationToken,
    pass: Mutex<Option<Pass>>,
}

/// Why an answer is not given on any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ended {
    /// Nobody waits for it any more.
    Cancelled,
    /// Another attempt goes on with it.
    Taken,
}

/// What became of an answer that is to go on in another attempt.
pub(crate) enum Taken {
    /// It is not under way here.
    Unknown,
    /// It is another account's, or just ended.
    Refused,
    /// Its place at the gate.
    Pass(Pass),
}

/// One answer under way; it leaves the table when this is dropped.
pub(crate) struct Place {
    answers: Arc<Answers>,
    name: Name,
    shared: Arc<Shared>,
}

impl Answers {
    /// Puts an attempt into the table.
    pub(crate) fn enter(self: &Arc<Answers>, name: Name, account: &id::Account) -> Place {
        let shared = Arc::new(Shared::default());
        let mut state = self.0.lock();
        if state.early.contains(&name) {
            shared.cancelled.cancel();
        }
        let index = state.find(name).unwrap_or_else(|index| index);
        let running = Running {
            name,
            account: account.clone(),
            handle: String::new(),
            shared: Arc::clone(&shared),
        };
        state.running.insert(index, running);
        Place { answers: Arc::clone(self), name, shared }
    }

    /// Ends an attempt that nobody waits for any more.
    pub fn cancel(&self, name: Name) {
        let mut state = self.0.lock();
        if let Ok(index) = state.find(name) {
            state.running[index].shared.cancelled.cancel();
            return;
        }
        if state.early.len() == EARLY {
            state.early.pop_front();
        }
        state.early.push_back(name);
    }

    /// Takes an answer over from the attempt that gave it so far, if it is the account's.
    pub(crate) fn take(&self, handle: &str, account: &str) -> Taken {
        let mut state = self.0.lock();
        let mut named = state.running.iter_mut().filter(|running| !running.handle.is_empty());
        let found = named.find(|running| running.handle == handle);
        let Some(running) = found else { return Taken::Unknown };
        if running.account != account {
            return Taken::Refused;
        }
        let Some(pass) = running.shared.pass.lock().take() else { return Taken::Refused };
        running.shared.taken.cancel();
        running.handle.clear();
        Taken::Pass(pass)
    }
}

impl Place {
    /// Keeps the work's place at the gate.
    pub(crate) fn hold(&self, pass: Pass) {
        *self.shared.pass.lock() = Some(pass);
    }

    /// Lets the answer be taken over under the engine's name for it.
    pub(crate) fn name(&self, handle: &str) {
        let mut state = self.answers.0.lock();
        if let Ok(index) = state.find(self.name) {
            handle.clone_into(&mut state.running[index].handle);
        }
    }

    /// Notes that the work came to its end, so that the engine's speed is learnt from it.
    pub(crate) fn complete(&self) {
        if let Some(pass) = self.shared.pass.lock().as_mut() {
            pass.complete();
        }
    }

    /// Whether nobody waits for the answer any more.
    pub(crate) fn is_cancelled(&self) -> bool {
        self.shared.cancelled.is_cancelled()
    }

    /// Whether another attempt goes on with the answer.
    pub(crate) fn is_taken(&self) -> bool {
        self.shared.taken.is_cancelled()
    }

    /// Waits until the answer is cancelled or taken over.
    pub(crate) async fn ended(&self) -> Ended {
        tokio::select! {
            biased;
            () = self.shared.taken.cancelled() => Ended::Taken,
            () = self.shared.cancelled.cancelled() => Ended::Cancelled,
        }
    }
}

impl State {
    fn find(&self, name: Name) -> Result<usize, usize> {
        self.running.binary_search_by_key(&name, |running| running.name)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.answers.0.lock();
        if let Ok(index) = state.find(self.name) {
            state.running.remove(index);
        }
        drop(state);
        let pass = self.shared.pass.lock().take();
        drop(pass);
    }
}
