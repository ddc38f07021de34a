//! Registers a gateway in the store, and learns of the others there.

use std::net::SocketAddr;
use std::time::Duration;

use services::Store;
use services::store::Commit;
use services::store::Error;
use services::store::Lease;
use services::store::Outcome;
use services::store::Put;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::peer::Peers;

/// What the keys begin with under which gateways register.
const PREFIX: &str = "lycheeknot/gateways/";

/// Time to live of a registration, in seconds. One that is left over does no harm:
/// its address doesn't answer.
const LEASE_S: u64 = 60;

/// Time between two renewals, so that two may fail.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(20);

/// The first time between two looks at who else is there, while all of a fleet
/// start; doubled up to [`LOOK_MOST`].
const LOOK_FIRST: Duration = Duration::from_secs(2);

/// The longest time between two looks: 360 registrations of 100 bytes take 0.3 KB a
/// second then, of the 2 KB that control may take (`docs/CAPACITY.md`).
const LOOK_MOST: Duration = Duration::from_secs(120);

/// Registers a gateway where peers reach it and learns of the others, until cancelled.
pub async fn register(
    store: &dyn Store,
    peers: &Peers,
    vm: &str,
    address: SocketAddr,
    cancel: CancellationToken,
) {
    let registration = Registration { store, key: format!("{PREFIX}{vm}"), address };
    let all = async { tokio::join!(registration.keep(), registration.follow(peers)) };
    cancel.run_until_cancelled(all).await;
}

struct Registration<'a> {
    store: &'a dyn Store,
    key: String,
    address: SocketAddr,
}

impl Registration<'_> {
    async fn keep(&self) {
        let mut lease = None;
        loop {
            lease = self.renew(lease).await;
            sleep(RENEWAL_INTERVAL).await;
        }
    }

    async fn follow(&self, peers: &Peers) {
        let mut interval = LOOK_FIRST;
        loop {
            sleep(interval).await;
            match self.look(peers).await {
                Ok(()) => interval = (interval * 2).min(LOOK_MOST),
                Err(error) => log::info!("peers can't be looked up: {error}"),
            }
        }
    }

    /// Keeps the registration; the lease that it goes with, if it stands for sure.
    async fn renew(&self, lease: Option<Lease>) -> Option<Lease> {
        if let Some(lease) = lease {
            match self.store.renew(lease).await {
                Ok(true) => return Some(lease),
                Ok(false) => log::info!(key = self.key.as_str(); "the registration lapsed"),
                Err(error) => {
                    log::info!(key = self.key.as_str(); "not renewed: {error}");
                    return Some(lease);
                }
            }
        }
        let registered = self.register().await;
        registered.inspect_err(|error| log::info!("not registered: {error}")).ok()
    }

    async fn register(&self) -> Result<Lease, Error> {
        let lease = self.store.grant(LEASE_S).await?;
        let value = self.address.to_string().into_bytes();
        let put = Put { key: self.key.clone(), value, lease: Some(lease) };
        let write = Commit { puts: vec![put], ..Commit::default() };
        match self.store.commit(&write).await? {
            Outcome::Written(_) => Ok(lease),
            Outcome::Conflict => Err(Error::Protocol("the lease ended at once".to_owned())),
        }
    }

    async fn look(&self, peers: &Peers) -> Result<(), Error> {
        let entries = self.store.list(PREFIX).await?;
        let address = |value: &[u8]| std::str::from_utf8(value).ok()?.parse().ok();
        let all: Vec<SocketAddr> =
            entries.iter().filter_map(|entry| address(&entry.value)).collect();
        let others = all.into_iter().filter(|address| *address != self.address);
        peers.set_registered(others.collect());
        Ok(())
    }
}
