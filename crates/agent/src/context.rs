//! The agent's settings and its dependencies on the rest of the process.

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

/// Called with the stamp of each message, so that the control loop learns of
/// newer configurations from data traffic.
pub type OnStamp = Arc<dyn Fn(&Stamp) + Send + Sync>;

/// Creates an engine client on the worker thread that calls it.
pub type EngineFactory = Arc<
    dyn Fn() -> LocalBoxFuture<'static, Result<Rc<dyn backend::Engine>, backend::engine::Error>>
        + Send
        + Sync,
>;

/// The agent's settings and what it shares with other parts of the process.
#[derive(Clone)]
pub struct Context {
    /// The configuration and roster as this process knows them.
    pub board: Arc<Board>,
    /// The cluster's name, which prefixes keys in the key-value service.
    pub cluster: String,
    /// The address where the agent listens for attempts.
    pub listen: SocketAddr,
    /// The agent's engine.
    pub engine: Backend,
    /// The number of worker threads that serve attempts.
    pub workers: usize,
    /// The longest message accepted, in bytes.
    pub body_bytes: usize,
    /// How long running work may continue once the agent is told to stop.
    pub stop_grace: Duration,
    /// How long an answer runs on after its entry broke off, so that its caller can
    /// resume it through another one; zero to cancel it at once.
    pub resume_grace: Duration,
    /// The fleet's key, which entries have to show.
    pub key: Key,
    /// Called with the stamp of each message.
    pub on_stamp: OnStamp,
    /// Creates clients of the key-value service.
    pub store: StoreFactory,
}
