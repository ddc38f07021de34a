//! What one worker thread holds.

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

use crate::Notice;
use crate::answers::Answers;
use crate::flight::Flight;
use crate::gate::Gate;
use crate::once::Lease;

/// Clients are local to the worker; board and [`Shared`] are the process's.
pub struct Worker {
    /// What the process knows.
    pub board: Arc<Board>,
    /// The cluster, which scopes keys in the key-value service.
    pub cluster: String,
    /// The engine.
    pub engine: Rc<dyn Engine>,
    /// The key-value service.
    pub store: Rc<dyn Store>,
    /// The lease that new claims are bound to.
    pub lease: Lease,
    /// What all workers share.
    pub shared: Shared,
    /// The key that entries have to show.
    pub key: Key,
    /// Told of each stamp that an attempt carries.
    pub notice: Notice,
    /// Requests that the engine runs at once.
    pub slots: u32,
    /// The largest attempt taken, in bytes.
    pub body_bytes: usize,
    /// How long an answer runs on whose entry broke off.
    pub resume_grace: Duration,
}

/// What the workers of an agent share. No two of its locks are held at once.
#[derive(Clone)]
pub struct Shared {
    /// The engine's gate.
    pub gate: Arc<Gate>,
    /// Answers under way.
    pub answers: Arc<Answers>,
    /// Answers that are being sent.
    pub flight: Flight,
    /// Counts tries of calls that must not run twice.
    pub serial: Arc<AtomicU64>,
    /// Chats of this home that lie at other engines.
    pub homes: Arc<Mutex<Directory>>,
}

impl Shared {
    /// What is shared around a gate.
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
