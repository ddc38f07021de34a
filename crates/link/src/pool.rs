//! Idle connections by address.

use std::net::SocketAddr;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::Connection;
use crate::Failure;

/// Idle connections kept for one address; more are rarely used before they time out.
const IDLE_MOST: usize = 64;

/// Idle connections, sorted by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<Vec<(SocketAddr, Vec<Connection>)>>,
}

impl Pool {
    /// Takes the connection that was used last, or opens one.
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

    /// Takes the idle connection that was used last, if there is one.
    pub fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let index = idle.binary_search_by_key(&address, |(known, _)| *known).ok()?;
        let kept = &mut idle[index].1;
        kept.retain(|connection| !connection.is_spent(now));
        let usable = kept.iter().rposition(|connection| connection.is_usable(now))?;
        Some(kept.remove(usable))
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn put(&self, mut connection: Connection) {
        if !connection.may_be_kept() {
            return;
        }
        connection.set_reused();
        let address = connection.address();
        let mut idle = self.idle.lock();
        match idle.binary_search_by_key(&address, |(known, _)| *known) {
            Ok(index) if idle[index].1.len() < IDLE_MOST => idle[index].1.push(connection),
            Ok(_) => {}
            Err(index) => idle.insert(index, (address, vec![connection])),
        }
    }

    /// Closes idle connections whose time is over.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        for (_, kept) in idle.iter_mut() {
            kept.retain(|connection| !connection.is_spent(now));
        }
        idle.retain(|(_, kept)| !kept.is_empty());
    }
}
