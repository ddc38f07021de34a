//! Pool of idle connections.

use std::net::SocketAddr;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::Connection;
use crate::Failure;

/// Most idle connections per address; further ones would rarely be used before they time out.
const IDLE_MAX_PER_ADDRESS: usize = 64;

/// Pool of idle connections, by address.
#[derive(Debug, Default)]
pub struct Pool {
    /// Sorted by address; the connection that was used last is the last one.
    idle: Mutex<Vec<(SocketAddr, Vec<Connection>)>>,
}

impl Pool {
    /// Takes the idle connection to an address that was used last, or opens a new one.
    ///
    /// # Errors
    ///
    /// See [`Connection::open`].
    pub async fn take(&self, address: SocketAddr) -> Result<Connection, Failure> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => Connection::open(address).await,
        }
    }

    /// Takes the idle connection to an address that was used last, if there is one.
    pub fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let index = idle.binary_search_by_key(&address, |(known, _)| *known).ok()?;
        let kept = &mut idle[index].1;
        kept.retain(|connection| !connection.is_expired(now));
        let usable = kept.iter().rposition(|connection| connection.is_usable(now))?;
        Some(kept.remove(usable))
    }

    /// Returns a connection to the pool. Its last response must have been read completely.
    pub fn put(&self, mut connection: Connection) {
        if !connection.can_be_kept() {
            return;
        }
        connection.set_reused();
        let address = connection.address();
        let mut idle = self.idle.lock();
        match idle.binary_search_by_key(&address, |(known, _)| *known) {
            Ok(index) if idle[index].1.len() < IDLE_MAX_PER_ADDRESS => {
                idle[index].1.push(connection)
            }
            Ok(_) => {}
            Err(index) => idle.insert(index, (address, vec![connection])),
        }
    }

    /// Closes idle connections that have expired.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        for (_, kept) in idle.iter_mut() {
            kept.retain(|connection| !connection.is_expired(now));
        }
        idle.retain(|(_, kept)| !kept.is_empty());
    }
}
