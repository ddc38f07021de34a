//! The transport to the agents, as traits that tests implement themselves.

use std::future::ready;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use displaydoc::Display;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::LocalBoxStream;
use wire::Attempt;
use wire::Cancel;
use wire::Frame;
use wire::Notes;

/// The frames of one answer as they arrive, not yet checked against the attempt.
pub type Frames = LocalBoxStream<'static, Result<Frame, Fault>>;

/// Sends messages to agents. Each worker has its own, because the HTTP client is local to
/// a thread.
pub trait Transport {
    /// Sends an attempt to the agent at a data address.
    ///
    /// Dropping the future or the frames closes the connection, by which the agent learns
    /// that nobody reads the answer here. A chat runs on for a while even so; see
    /// [`Transport::cancel`].
    ///
    /// # Errors
    ///
    /// See [`Fault`]; [`Fault::Connect`] alone means that nothing was sent.
    fn send(
        &self,
        agent: SocketAddr,
        attempt: Attempt,
    ) -> LocalBoxFuture<'static, Result<Frames, Fault>>;

    /// Tells an agent which other engines serve chats whose home is its engine.
    ///
    /// # Errors
    ///
    /// See [`Fault`].
    fn note(&self, agent: SocketAddr, notes: Notes) -> LocalBoxFuture<'static, Result<(), Fault>>;

    /// Tells an agent that nobody waits for the answer to an attempt any more.
    ///
    /// # Errors
    ///
    /// See [`Fault`].
    fn cancel(
        &self,
        agent: SocketAddr,
        cancel: Cancel,
    ) -> LocalBoxFuture<'static, Result<(), Fault>>;
}

/// Creates the [`Transport`] of each worker.
pub trait Factory: Send + Sync {
    /// Creates the transport of the current thread's worker; called once on each.
    ///
    /// # Errors
    ///
    /// The transport can't be created; the worker then reaches no agent.
    fn create(&self) -> LocalBoxFuture<'static, io::Result<Rc<dyn Transport>>>;
}

/// The cause by which an attempt failed or its answer was cut off.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Fault {
    /// the agent can't be reached ({0}), so nothing was sent: check the agent and the network to it
    Connect(String),
    /// the connection to the agent broke ({0}): check the agent's log for a stop or a crash
    Disconnected(String),
    /// the agent sent nothing in time: check whether its VM is paused or overloaded
    TimedOut,
    /// the caller took nothing of the answer for too long: read it without such pauses
    Stalled,
    /// the agent's answer can't be used ({0}): check that both processes run the same release
    Invalid(String),
}

impl std::error::Error for Fault {}

/// Returns a transport that reaches no agent, for a worker that could not create its own.
pub(crate) fn unavailable() -> Rc<dyn Transport> {
    Rc::new(Unavailable)
}

struct Unavailable;

impl Transport for Unavailable {
    fn send(&self, _: SocketAddr, _: Attempt) -> LocalBoxFuture<'static, Result<Frames, Fault>> {
        Box::pin(ready(Err(no_client())))
    }

    fn note(&self, _: SocketAddr, _: Notes) -> LocalBoxFuture<'static, Result<(), Fault>> {
        Box::pin(ready(Err(no_client())))
    }

    fn cancel(&self, _: SocketAddr, _: Cancel) -> LocalBoxFuture<'static, Result<(), Fault>> {
        Box::pin(ready(Err(no_client())))
    }
}

fn no_client() -> Fault {
    Fault::Connect("this worker has no HTTP client".to_owned())
}
