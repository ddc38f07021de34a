//! Registers a gateway in the store and looks up the other gateways there.

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

/// Prefix of the keys of registrations.
const KEY_PREFIX: &str = "lycheeknot/gateways/";

/// Time to live of a registration, in seconds. The registration of a gateway that no longer
/// runs does no harm until then: its address just doesn't answer.
const LEASE_TTL_S: u64 = 60;

/// Interval between renewals of the lease. Two in a row may fail before it expires.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(20);

/// First interval between lookups of the other gateways, while the whole fleet may be starting.
/// It doubles up to [`MAX_LOOKUP_INTERVAL`].
const MIN_LOOKUP_INTERVAL: Duration = Duration::from_secs(2);

/// Longest interval between lookups. With 360 registrations of 100 bytes they take 0.3 KB per
/// second, of the 2 KB per second allowed for control traffic (`docs/CAPACITY.md`).
const MAX_LOOKUP_INTERVAL: Duration = Duration::from_secs(120);

/// Keeps a gateway registered in the store and looks up the other gateways until cancelled.
///
/// `vm` names the gateway; `address` is the one at which peers can query it.
pub async fn register(
    store: &dyn Store,
    peers: &Peers,
    vm: &str,
    address: SocketAddr,
    cancel: CancellationToken,
) {
    let registration = Registration { store, key: format!("{KEY_PREFIX}{vm}"), address };
    let all = async { tokio::join!(registration.keep_renewed(), registration.follow_peers(peers)) };
    cancel.run_until_cancelled(all).await;
}

/// The registration of this gateway in the store.
struct Registration<'a> {
    store: &'a dyn Store,
    key: String,
    address: SocketAddr,
}

impl Registration<'_> {
    /// Renews the registration at regular intervals.
    async fn keep_renewed(&self) {
        let mut lease = None;
        loop {
            lease = self.renew(lease).await;
            sleep(RENEWAL_INTERVAL).await;
        }
    }

    /// Looks up the other gateways at increasing intervals.
    async fn follow_peers(&self, peers: &Peers) {
        let mut interval = MIN_LOOKUP_INTERVAL;
        loop {
            sleep(interval).await;
            match self.look_up(peers).await {
                Ok(()) => interval = (interval * 2).min(MAX_LOOKUP_INTERVAL),
                Err(error) => log::info!("peers can't be looked up: {error}"),
            }
        }
    }

    /// Renews the lease of the registration, or registers again if there is none or it expired.
    ///
    /// Returns the lease; `None` if the registration failed. If the store doesn't answer a
    /// renewal, the lease may still be valid and is returned.
    async fn renew(&self, lease: Option<Lease>) -> Option<Lease> {
        if let Some(lease) = lease {
            match self.store.renew(lease).await {
                Ok(true) => return Some(lease),
                Ok(false) => log::info!(key = self.key.as_str(); "the registration expired"),
                Err(error) => {
                    log::info!(key = self.key.as_str();
                        "the registration was not renewed: {error}");
                    return Some(lease);
                }
            }
        }
        let registered = self.register().await;
        registered.inspect_err(|error| log::info!("the gateway was not registered: {error}")).ok()
    }

    /// Writes the registration under a new lease.
    async fn register(&self) -> Result<Lease, Error> {
        let lease = self.store.grant(LEASE_TTL_S).await?;
        let value = self.address.to_string().into_bytes();
        let put = Put { key: self.key.clone(), value, lease: Some(lease) };
        let write = Commit { puts: vec![put], ..Commit::default() };
        match self.store.commit(&write).await? {
            Outcome::Written(_) => Ok(lease),
            Outcome::Conflict => Err(Error::Protocol(
                "the lease ended before the registration was written".to_owned(),
            )),
        }
    }

    /// Reads the addresses of the other gateways.
    async fn look_up(&self, peers: &Peers) -> Result<(), Error> {
        let entries = self.store.list(KEY_PREFIX).await?;
        let address = |value: &[u8]| std::str::from_utf8(value).ok()?.parse().ok();
        let all: Vec<SocketAddr> =
            entries.iter().filter_map(|entry| address(&entry.value)).collect();
        let others = all.into_iter().filter(|address| *address != self.address);
        peers.set_registered(others.collect());
        Ok(())
    }
}
