//! Follows the changes of the store's keys that relays report.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use policy::relay::Duty;
use policy::relay::MAX_AGE;
use rpc::Error;
use rpc::view::Client;
use rpc::view::Cursor;
use rpc::view::Delta;
use services::store::Change;

use crate::peer::Member;
use crate::peer::Peers;

/// How long a relay may hold a call that waits for changes. A relay that lost power is noticed
/// when this time and [`ANSWER_TIMEOUT`] are over.
const WAIT: Duration = Duration::from_secs(1);

/// Time limit for a relay's answer, besides [`WAIT`]: several round trips between data centres,
/// with some margin for a busy VM.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Changes that a relay reported.
#[derive(Debug)]
pub(crate) struct Relayed {
    /// The changes, which may be none.
    pub(crate) change: Change,
    /// Time since the store last answered the relay.
    pub(crate) age: Duration,
}

/// Follows the relays of this gateway, over the connection to the one that was asked last.
#[derive(Debug, Default)]
pub(crate) struct Follower {
    connection: Mutex<Option<(String, Arc<Client>)>>,
}

impl Follower {
    /// Asks the relays of this gateway for changes under a prefix after a version, one after the
    /// other. Returns the answer of the first one whose view of the store is current.
    ///
    /// `None` if there is none, so that the store has to be read.
    pub(crate) async fn changes(&self, peers: &Peers, after: &Cursor) -> Option<Relayed> {
        for relay in peers.relays(Duty::Store) {
            match self.ask(&relay, after).await {
                Ok(Delta::Changes { change, age }) if age <= MAX_AGE => {
                    return Some(Relayed { change, age });
                }
                Ok(Delta::Unknown) => {
                    log::info!(relay = relay.vm.as_str(), prefix = after.prefix.as_str(),
                        version = after.version; "the relay doesn't know what changed since");
                    return None;
                }
                Ok(Delta::Changes { age, .. }) => {
                    log::info!(relay = relay.vm.as_str(), prefix = after.prefix.as_str(),
                        age_ms = age.as_millis() as u64; "the relay's view of the store is too old");
                    peers.relay_failed(Duty::Store, &relay.vm);
                }
                Ok(Delta::Lost) => {
                    log::info!(relay = relay.vm.as_str(), prefix = after.prefix.as_str();
                        "the relay has lost the store");
                    peers.presence().set(true, peers.routing().now());
                    peers.relay_failed(Duty::Store, &relay.vm);
                }
                Err(error) => {
                    log::info!(relay = relay.vm.as_str(), prefix = after.prefix.as_str();
                        "the relay is lost: {error}");
                    self.connection.lock().take();
                    peers.relay_failed(Duty::Store, &relay.vm);
                }
            }
        }
        None
    }

    /// Asks one relay.
    async fn ask(&self, relay: &Member, after: &Cursor) -> Result<Delta, Error> {
        let client = self.client(relay).await?;
        client.changes(after, WAIT, ANSWER_TIMEOUT).await
    }

    /// Returns the open connection to a relay, or opens one.
    async fn client(&self, relay: &Member) -> Result<Arc<Client>, Error> {
        let open = self.connection.lock().clone();
        if let Some((vm, client)) = open
            && vm == relay.vm
            && client.is_connected()
        {
            return Ok(client);
        }
        let client = Arc::new(Client::connect(relay.address, ANSWER_TIMEOUT).await?);
        *self.connection.lock() = Some((relay.vm.clone(), Arc::clone(&client)));
        Ok(client)
    }
}
