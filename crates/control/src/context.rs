//! Settings and shared objects of the controllers.

use std::net::SocketAddr;
use std::sync::Arc;

use board::Board;
use rpc::Keys;
use services::store::StoreFactory;

use crate::Stamps;

/// Settings and shared objects of the controllers.
///
/// It holds a secret, so it has no `Debug` and must not be printed.
#[derive(Clone)]
pub struct Context {
    /// The blackboard of the process.
    pub board: Arc<Board>,
    /// Name of the fleet in the key-value service.
    pub cluster: String,
    /// Address that the server of control calls listens on.
    pub listen: SocketAddr,
    /// Keys that authenticate outgoing and incoming control calls.
    pub keys: Keys,
    /// Creates a client of the key-value service on the calling thread.
    pub store: StoreFactory,
    /// Address of the VM list, such as `http://10.0.0.1:8080`.
    pub vms: String,
    /// Receives the stamps of messages, which show newer revisions.
    pub stamps: Stamps,
}
