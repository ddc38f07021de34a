//! The scheduler, which assigns slots to requests.

use std::sync::Arc;

use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::table::Table;

/// A request's position in the order of scheduling: a lower priority number
/// comes first, then an earlier arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Position {
    pub(crate) priority: i64,
    pub(crate) arrival: u64,
}

/// The requests that hold a slot and those that wait for one.
#[derive(Debug)]
pub(crate) struct Scheduler {
    slots: usize,
    preempt: bool,
    running: Table<Position, Holder>,
    waiting: Table<Position, Waiter>,
    max_running: usize,
}

/// A request that holds a slot.
#[derive(Debug)]
struct Holder {
    preemption: Arc<Notify>,
    /// Whether the request has been told to give its slot back.
    is_preempted: bool,
}

/// A request that waits for a slot.
#[derive(Debug)]
struct Waiter {
    granted: oneshot::Sender<()>,
    preemption: Arc<Notify>,
}

impl Scheduler {
    /// Creates a scheduler of `slots` free slots.
    pub(crate) fn new(slots: usize, preempt: bool) -> Self {
        Self {
            slots,
            preempt,
            running: Table::default(),
            waiting: Table::default(),
            max_running: 0,
        }
    }

    /// Returns the number of requests that hold a slot.
    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that wait for a slot.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the largest number of requests that held a slot at once.
    pub(crate) fn max_running(&self) -> usize {
        self.max_running
    }

    /// Queues a request. The returned receiver resolves when the request gets a
    /// slot; `preemption` is notified if it has to give the slot back early.
    pub(crate) fn enqueue(
        &mut self,
        position: Position,
        preemption: Arc<Notify>,
    ) -> oneshot::Receiver<()> {
        let (granted, receiver) = oneshot::channel();
        self.waiting.insert(position, Waiter { granted, preemption });
        self.grant_free_slots();
        if self.preempt {
            self.preempt_for(position);
        }
        receiver
    }

    /// Releases a request's slot or removes it from the queue.
    pub(crate) fn release(&mut self, position: Position) {
        self.waiting.remove(&position);
        self.running.remove(&position);
        self.grant_free_slots();
    }

    /// Grants free slots to the first waiting requests.
    fn grant_free_slots(&mut self) {
        while self.running.len() < self.slots {
            let Some((position, waiter)) = self.waiting.pop_first() else { return };
            if waiter.granted.send(()).is_ok() {
                let holder = Holder { preemption: waiter.preemption, is_preempted: false };
                self.running.insert(position, holder);
            }
            self.max_running = self.max_running.max(self.running.len());
        }
    }

    /// Preempts the last running request that isn't preempted yet, if the waiting
    /// request at `position` has a more urgent priority.
    fn preempt_for(&mut self, position: Position) {
        if self.waiting.value(&position).is_none() {
            return;
        }
        let preemptible =
            self.running.entries().iter().rev().find(|(_, holder)| !holder.is_preempted);
        let Some(&(last, _)) = preemptible else { return };
        if last.priority <= position.priority {
            return;
        }
        if let Some(holder) = self.running.value_mut(&last) {
            holder.is_preempted = true;
            holder.preemption.notify_one();
        }
    }
}
