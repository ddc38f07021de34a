//! Configuration and shared state that an entry is started with.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use board::Board;
use policy::placement;
use wire::Key;
use wire::Stamp;

/// Callback for the stamp of each agent report, by which the control loop learns of newer
/// configurations.
pub type OnStamp = Arc<dyn Fn(&Stamp) + Send + Sync>;

/// Shared state, limits and callbacks of one entry.
#[derive(Clone)]
pub struct Context {
    /// The state that the parts of the process share.
    pub board: Arc<Board>,
    /// The address on which callers' requests are accepted.
    pub listen: SocketAddr,
    /// Number of worker threads that serve requests.
    pub workers: usize,
    /// Largest size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time within which the head of a request has to arrive, and the first bytes of its
    /// body. The time that callers may pause in reading an answer is a small multiple of
    /// it.
    pub header_timeout: Duration,
    /// Largest number of callers' connections open at once, over all workers.
    pub connections: usize,
    /// Time that a graceful stop gives running answers to end.
    pub stop_grace: Duration,
    /// Called with the stamp of each agent report.
    pub on_stamp: OnStamp,
    /// The key by which the entry authenticates to agents; it also authenticates handles
    /// of answers.
    pub key: Key,
    /// The placement algorithm; other than the default only for measurements.
    pub placement: placement::Kind,
}

impl fmt::Debug for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Context").field("listen", &self.listen).finish_non_exhaustive()
    }
}
