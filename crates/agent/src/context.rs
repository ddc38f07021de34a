//! What the agent needs of the process around it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use board::Board;
use futures_util::future::LocalBoxFuture;
use services::store::StoreFactory;
use wire::Key;
use wire::Stamp;

use crate::Backend;

/// Told of each stamp that an attempt carries, so that the control loop learns
/// of newer configurations from the attempts that pass.
pub type Notice = Arc<dyn Fn(&Stamp) + Send + Sync>;

/// Makes an engine client for the worker that calls it.
pub type EngineFactory = Arc<
    dyn Fn() -> LocalBoxFuture<'static, Result<Rc<dyn backend::Engine>, backend::engine::Error>>
        + Send
        + Sync,
>;

/// Settings of the agent and what it shares with other parts of the process.
#[derive(Clone)]
pub struct Context {
    /// What the process knows.
    pub board: Arc<Board>,
    /// The cluster, which scopes keys in the key-value service.
    pub cluster: String,
    /// Where attempts are taken.
    pub listen: SocketAddr,
    /// The engine that the agent stands beside.
    pub engine: Backend,
    /// Threads that serve attempts.
    pub workers: usize,
    /// The largest attempt taken, in bytes.
    pub body_bytes: usize,
    /// How long running work may go on once the agent is told to stop.
    pub stop_grace: Duration,
    /// How long an answer runs on whose entry broke off, so that its caller can
    /// go on through another one; zero for not at all.
    pub resume_grace: Duration,
    /// The key that entries have to show.
    pub key: Key,
    /// Told of each stamp that an attempt carries.
    pub notice: Notice,
    /// Makes clients of the key-value service.
    pub store: StoreFactory,
}
