//! The account of the memory that bodies of requests and responses take.
//!
//! [`policy::memory`] decides what is granted; see `docs/design/memory.md`.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use bytes::Bytes;
use metrics::gauge;
use policy::memory::Account;
use policy::memory::Decision;
use policy::memory::Id;
use policy::memory::Limits;
use policy::memory::Purpose;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// First capacity of a buffer whose length is not known, in bytes.
const FIRST_CAPACITY_BYTES: usize = 1024;

/// Factor by which such a buffer grows. A reservation is at most this many times the bytes that have
/// arrived; pages that were not written take no resident memory.
const GROWTH: usize = 4;

/// The account of a worker. Clones share it.
#[derive(Clone)]
pub(crate) struct Memory {
    state: Rc<RefCell<State>>,
    start: Instant,
}

struct State {
    account: Account,
    /// Cancelled when a reservation is evicted, sorted by id.
    evictions: Vec<(Id, CancellationToken)>,
}

/// A reservation. Its bytes are free again when it is dropped.
pub(crate) struct Held {
    memory: Memory,
    id: Id,
    evicted: CancellationToken,
}

/// Bytes that are collected within a reservation.
#[derive(Debug)]
pub(crate) struct Buffer {
    bytes: Vec<u8>,
    held: Held,
    max_bytes: usize,
}

impl Memory {
    /// Creates an account without reservations.
    pub(crate) fn new(limits: Limits) -> Memory {
        let state = State { account: Account::new(limits), evictions: Vec::new() };
        Memory { state: Rc::new(RefCell::new(state)), start: Instant::now() }
    }

    /// Opens a reservation of no bytes.
    pub(crate) fn hold(&self, purpose: Purpose) -> Held {
        let mut state = self.state.borrow_mut();
        let id = state.account.open(purpose, self.start.elapsed());
        let evicted = CancellationToken::new();
        state.evictions.push((id, evicted.clone()));
        Held { memory: self.clone(), id, evicted }
    }

    /// Sets the gauges of the bytes that are held.
    pub(crate) fn record(&self) {
        let state = self.state.borrow();
        let parts =
            [("requests", state.account.requests()), ("responses", state.account.responses())];
        for (part, bytes) in parts {
            gauge!("lycheeknot_gateway_memory_bytes", "part" => part).set(bytes as f64);
        }
    }
}

impl State {
    /// Removes the eviction token of a reservation.
    fn take_eviction(&mut self, id: Id) -> Option<CancellationToken> {
        let index = self.evictions.binary_search_by_key(&id, |(id, _)| *id).ok()?;
        Some(self.evictions.remove(index).1)
    }
}

impl Held {
    /// Reserves further bytes. Returns whether there is room for them.
    pub(crate) fn grow(&self, bytes: usize) -> bool {
        let now = self.memory.start.elapsed();
        let mut state = self.memory.state.borrow_mut();
        let Decision::Granted(victims) = state.account.grow(self.id, bytes, now) else {
            return false;
        };
        for victim in victims {
            if let Some(evicted) = state.take_eviction(victim) {
                evicted.cancel();
            }
        }
        true
    }

    /// Replaces what is reserved by bytes that are held already and can't be refused.
    pub(crate) fn set(&self, bytes: usize) {
        let account = &mut self.memory.state.borrow_mut().account;
        account.shrink(self.id, usize::MAX);
        account.charge(self.id, bytes);
    }

    /// Waits until the body has to give way to others.
    pub(crate) async fn evicted(&self) {
        self.evicted.cancelled().await;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut state = self.memory.state.borrow_mut();
        state.account.release(self.id);
        state.take_eviction(self.id);
    }
}

impl fmt::Debug for Held {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Held").field("id", &self.id).finish_non_exhaustive()
    }
}

impl Buffer {
    /// Creates a buffer for at most `max_bytes`.
    pub(crate) fn new(held: Held, max_bytes: usize) -> Buffer {
        Buffer { bytes: Vec::new(), held, max_bytes }
    }

    /// Returns the number of bytes so far.
    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns its reservation.
    pub(crate) fn held(&self) -> &Held {
        &self.held
    }

    /// Makes the capacity at least `capacity`. Returns whether there is room for it.
    pub(crate) fn reserve(&mut self, capacity: usize) -> bool {
        let more = capacity.saturating_sub(self.bytes.capacity());
        if more == 0 {
            return true;
        }
        if !self.held.grow(more) {
            return false;
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        true
    }

    /// Appends bytes, of which the caller has checked that they don't exceed the maximum. Returns
    /// whether there is room for them.
    pub(crate) fn extend(&mut self, bytes: &[u8]) -> bool {
        let len = self.bytes.len() + bytes.len();
        if len > self.bytes.capacity() {
            let grown = (self.bytes.capacity() * GROWTH).max(FIRST_CAPACITY_BYTES).max(len);
            if !self.reserve(grown.min(self.max_bytes.max(len))) {
                return false;
            }
        }
        self.bytes.extend_from_slice(bytes);
        let now = self.held.memory.start.elapsed();
        let account = &mut self.held.memory.state.borrow_mut().account;
        account.record_progress(self.held.id, now);
        true
    }

    /// Returns the bytes, which are complete, with their reservation.
    pub(crate) fn finish(self) -> (Bytes, Held) {
        let Buffer { bytes, held, .. } = self;
        held.memory.state.borrow_mut().account.finish(held.id);
        (Bytes::from(bytes), held)
    }
}
