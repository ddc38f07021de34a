//! What the controllers are given.

use std::net::SocketAddr;
use std::sync::Arc;

use board::Board;
use rpc::Keys;
use services::store::StoreFactory;

use crate::Notices;

/// Settings and tables of the controllers; it holds a secret and is never printed.
#[derive(Clone)]
pub struct Context {
    /// What the process knows.
    pub board: Arc<Board>,
    /// Names the fleet in the key-value service.
    pub cluster: String,
    /// Where control calls are taken.
    pub listen: SocketAddr,
    /// The keys that calls are made and taken under.
    pub keys: Keys,
    /// Opens the key-value service on the thread that calls it.
    pub store: StoreFactory,
    /// Address of the VM list, such as `http://10.0.0.1:8080`.
    pub vms: String,
    /// Tells of newer revisions that were seen on messages.
    pub notices: Notices,
}
