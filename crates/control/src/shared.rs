//! What the controllers of one process share beside the blackboard.

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

use crate::Notices;
use crate::history::History;

/// Shared by the controllers and the server of control calls.
pub(crate) struct Shared {
    pub(crate) board: Arc<Board>,
    pub(crate) notices: Notices,
    /// Wakes the controller that puts documents in force.
    pub(crate) wake: Notify,
    table: Mutex<Table>,
}

/// Decisions in progress.
pub(crate) struct Table {
    pub(crate) tracker: Tracker,
    pub(crate) updates: Updates,
    pub(crate) suspicion: Suspicion,
    pub(crate) budget: Budget,
    pub(crate) neighbours: Neighbours,
    pub(crate) reconciler: Reconciler,
    /// Documents that were in force, for who is behind.
    pub(crate) history: History,
    /// The head as the key-value service showed it last.
    pub(crate) head: Option<Head>,
    /// The document that a watch brought last, which need not be read then.
    pub(crate) watched: Option<Entry>,
}

impl Shared {
    /// Begins with what the board holds.
    pub(crate) fn new(board: Arc<Board>, notices: Notices) -> Shared {
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
        Shared { board, notices, wake: Notify::new(), table: Mutex::new(table) }
    }

    /// Works on the table; its lock is taken before any of the board's.
    pub(crate) fn with<T>(&self, work: impl FnOnce(&mut Table) -> T) -> T {
        work(&mut self.table.lock())
    }

    /// The time that decisions are given.
    pub(crate) fn now(&self) -> Duration {
        self.board.now()
    }
}
