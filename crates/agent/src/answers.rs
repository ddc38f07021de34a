//! The table of answers in progress at this agent, by which they are cancelled
//! and taken over.

use std::collections::VecDeque;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;
use wire::id;

use crate::gate::Pass;

/// Cancels kept of attempts that have not arrived; the oldest is dropped for a new one.
const MAX_EARLY_CANCELS: usize = 256;

/// Identifies an attempt.
type Id = (id::Request, id::Attempt);

/// The answers in progress of all workers.
///
/// Its lock is never held while a gate pass is dropped.
#[derive(Default)]
pub struct Answers(Mutex<State>);

#[derive(Default)]
struct State {
    /// Sorted by id.
    running: Vec<Running>,
    /// Cancels that overtook their attempt, which comes over another connection.
    early_cancels: VecDeque<Id>,
}

struct Running {
    id: Id,
    account: id::Account,
    /// The engine's identifier of the answer, empty while it can't be taken over.
    handle: String,
    shared: Arc<Shared>,
}

/// The state shared by the table and the answer's [`Registration`].
#[derive(Default)]
struct Shared {
    cancelled: CancellationToken,
    taken_over: CancellationToken,
    pass: Mutex<Option<Pass>>,
}

/// Why an answer is no longer forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Interrupt {
    /// Its caller went away.
    Cancelled,
    /// Another attempt resumes it.
    TakenOver,
}

/// The result of taking an answer over for another attempt.
pub(crate) enum Takeover {
    /// The answer is not in progress here.
    Unknown,
    /// The answer belongs to another account, or has just ended.
    Refused,
    /// The gate pass of the answer, which now belongs to the caller.
    Pass(Pass),
}

/// The table entry of one answer; dropping it removes the entry.
pub(crate) struct Registration {
    answers: Arc<Answers>,
    id: Id,
    shared: Arc<Shared>,
}

impl Answers {
    /// Adds an attempt to the table, already cancelled if its cancel came first.
    pub(crate) fn register(self: &Arc<Answers>, id: Id, account: &id::Account) -> Registration {
        let shared = Arc::new(Shared::default());
        let mut state = self.0.lock();
        if state.early_cancels.contains(&id) {
            shared.cancelled.cancel();
        }
        let index = state.find(id).unwrap_or_else(|index| index);
        let running = Running {
            id,
            account: account.clone(),
            handle: String::new(),
            shared: Arc::clone(&shared),
        };
        state.running.insert(index, running);
        Registration { answers: Arc::clone(self), id, shared }
    }

    /// Cancels the attempt of a request; a cancel that overtook its attempt is kept for it.
    pub fn cancel(&self, id: Id) {
        let mut state = self.0.lock();
        if let Ok(index) = state.find(id) {
            state.running[index].shared.cancelled.cancel();
            return;
        }
        if state.early_cancels.len() == MAX_EARLY_CANCELS {
            state.early_cancels.pop_front();
        }
        state.early_cancels.push_back(id);
    }

    /// Takes an answer over from the attempt that forwarded it so far, if it
    /// belongs to the account.
    pub(crate) fn take_over(&self, handle: &str, account: &str) -> Takeover {
        let mut state = self.0.lock();
        let mut named = state.running.iter_mut().filter(|running| !running.handle.is_empty());
        let found = named.find(|running| running.handle == handle);
        let Some(running) = found else { return Takeover::Unknown };
        if running.account != account {
            return Takeover::Refused;
        }
        let Some(pass) = running.shared.pass.lock().take() else { return Takeover::Refused };
        running.shared.taken_over.cancel();
        running.handle.clear();
        Takeover::Pass(pass)
    }
}

impl Registration {
    /// Stores the work's gate pass.
    pub(crate) fn hold(&self, pass: Pass) {
        *self.shared.pass.lock() = Some(pass);
    }

    /// Lets the answer be taken over under the engine's identifier.
    pub(crate) fn set_handle(&self, handle: &str) {
        let mut state = self.answers.0.lock();
        if let Ok(index) = state.find(self.id) {
            handle.clone_into(&mut state.running[index].handle);
        }
    }

    /// Records that the work is complete, so that the engine's speed is learnt from it.
    pub(crate) fn complete(&self) {
        if let Some(pass) = self.shared.pass.lock().as_mut() {
            pass.complete();
        }
    }

    /// Returns whether the attempt was cancelled.
    pub(crate) fn is_cancelled(&self) -> bool {
        self.shared.cancelled.is_cancelled()
    }

    /// Returns whether another attempt resumes the answer.
    pub(crate) fn is_taken_over(&self) -> bool {
        self.shared.taken_over.is_cancelled()
    }

    /// Waits until the answer is cancelled or taken over.
    pub(crate) async fn interrupted(&self) -> Interrupt {
        tokio::select! {
            biased;
            () = self.shared.taken_over.cancelled() => Interrupt::TakenOver,
            () = self.shared.cancelled.cancelled() => Interrupt::Cancelled,
        }
    }
}

impl State {
    fn find(&self, id: Id) -> Result<usize, usize> {
        self.running.binary_search_by_key(&id, |running| running.id)
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut state = self.answers.0.lock();
        if let Ok(index) = state.find(self.id) {
            state.running.remove(index);
        }
        drop(state);
        let pass = self.shared.pass.lock().take();
        drop(pass);
    }
}
