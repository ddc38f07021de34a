//! The state of one worker thread.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use backend::Engine;
use board::Board;
use parking_lot::Mutex;
use policy::home::Directory;
use services::Store;
use wire::Key;

use crate::OnStamp;
use crate::answers::Answers;
use crate::flight::Flight;
use crate::gate::Gate;
use crate::once::LeaseCache;

/// The state of one worker thread. Clients are local to the worker; the board
/// and [`Shared`] belong to the process.
pub struct Worker {
    /// The configuration and roster as this process knows them.
    pub board: Arc<Board>,
    /// The cluster's name, which prefixes keys in the key-value service.
    pub cluster: String,
    /// The client of the engine.
    pub engine: Rc<dyn Engine>,
    /// The client of the key-value service.
    pub store: Rc<dyn Store>,
    /// The lease to which new claims are bound.
    pub lease_cache: LeaseCache,
    /// The state shared by all workers.
    pub shared: Shared,
    /// The fleet's key, which entries have to show.
    pub key: Key,
    /// Called with the stamp of each message.
    pub on_stamp: OnStamp,
    /// The number of requests that the engine runs at once.
    pub slots: u32,
    /// The longest message accepted, in bytes.
    pub body_bytes: usize,
    /// How long an answer runs on after its entry broke off.
    pub resume_grace: Duration,
}

/// The state shared by the workers of an agent. No two of its locks are held at once.
#[derive(Clone)]
pub struct Shared {
    /// The engine's gate.
    pub gate: Arc<Gate>,
    /// The answers in progress.
    pub answers: Arc<Answers>,
    /// The count of answers in flight.
    pub flight: Flight,
    /// The number of attempts so far at calls with an idempotency key, for claim nonces.
    pub serial: Arc<AtomicU64>,
    /// The chats whose home is here but whose context is at other engines.
    pub homes: Arc<Mutex<Directory>>,
}

impl Shared {
    /// Returns the shared state of idle workers behind a gate.
    pub fn new(gate: Arc<Gate>) -> Shared {
        Shared {
            gate,
            answers: Arc::default(),
            flight: Flight::default(),
            serial: Arc::default(),
            homes: Arc::default(),
        }
    }
}
