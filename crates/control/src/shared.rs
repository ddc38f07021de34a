//! State that the controllers of one process share, apart from the blackboard.

use std::sync::Arc;
use std::time::Duration;

use board::Board;
use config::layout::Head;
use parking_lot::Mutex;
use policy::gossip::Budget;
use policy::gossip::Neighbours;
use policy::gossip::Reconciler;
use policy::gossip::Suspicion;
use policy::gossip::Updates;
use policy::gossip::budget;
use policy::revision::Tracker;
use services::store::Entry;
use tokio::sync::Notify;

use crate::Stamps;
use crate::history::History;

/// State shared by the controllers and the server of control calls.
pub(crate) struct Shared {
    pub(crate) board: Arc<Board>,
    pub(crate) stamps: Stamps,
    /// Wakes the controller that puts documents in force ([`crate::documents`]).
    pub(crate) wake: Notify,
    table: Mutex<Table>,
}

/// Mutable state of the controllers, behind one lock.
pub(crate) struct Table {
    pub(crate) tracker: Tracker,
    pub(crate) updates: Updates,
    pub(crate) suspicion: Suspicion,
    pub(crate) budget: Budget,
    pub(crate) neighbours: Neighbours,
    pub(crate) reconciler: Reconciler,
    /// Documents that were in force, to send differences to peers that are behind.
    pub(crate) history: History,
    /// The head that the key-value service returned last.
    pub(crate) head: Option<Head>,
    /// The document that a watch delivered last, which needs no read of its own.
    pub(crate) watched: Option<Entry>,
}

impl Shared {
    /// Returns the initial state for a process with this blackboard.
    pub(crate) fn new(board: Arc<Board>, stamps: Stamps) -> Shared {
        let now = board.now();
        let table = Table {
            tracker: Tracker::new(now),
            updates: Updates::default(),
            suspicion: Suspicion::default(),
            budget: Budget::new(budget::RATE, budget::BURST, now),
            neighbours: Neighbours::new(&board.identity().vm),
            reconciler: Reconciler::new(now),
            history: History::default(),
            head: None,
            watched: None,
        };
        Shared { board, stamps, wake: Notify::new(), table: Mutex::new(table) }
    }

    /// Locks the table and calls `work` with it.
    ///
    /// Lock order: the table's lock is taken before any of the board's.
    pub(crate) fn with<T>(&self, work: impl FnOnce(&mut Table) -> T) -> T {
        work(&mut self.table.lock())
    }

    /// Returns the time since the start, as the board counts it.
    pub(crate) fn now(&self) -> Duration {
        self.board.now()
    }
}
