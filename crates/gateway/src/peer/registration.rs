//! Registers a gateway in the store and looks up the other gateways there.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use services::Store;
use services::store::Commit;
use services::store::Entry;
use services::store::Error;
use services::store::Lease;
use services::store::Outcome;
use services::store::Put;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::peer::Member;
use crate::peer::Peers;
use crate::peer::Restores;
use crate::peer::Returns;
use crate::peer::stored;
use crate::peer::streams;

/// Prefix of all keys of registrations.
const PREFIX: &str = "lycheeknot/";

/// Prefix of the keys that hold only an address. Builds before [`MEMBER_PREFIX`] read
/// nothing else, and would spend more retries if they counted too few gateways.
const ADDRESS_PREFIX: &str = "lycheeknot/gateways/";

/// Prefix of the keys that hold a [`Member`].
const MEMBER_PREFIX: &str = "lycheeknot/members/";

/// Time to live of a registration, in seconds. The registration of a gateway that no longer
/// runs does no harm until then: its address just doesn't answer.
const LEASE_TTL_S: u64 = 60;

/// Interval between renewals of the lease. Two in a row may fail before it expires.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(20);

/// Interval between attempts to register while they fail.
const RETRY_INTERVAL: Duration = Duration::from_secs(3);

/// Time over which gateways spread their registrations after the store was away, or has come back from a
/// copy.
const RETURN_SPREAD: Duration = Duration::from_millis(1_000);

/// Pause before the next lookup of the other gateways after that. Until they have noticed it and
/// registered again, within [`RETURN_SPREAD`], a lookup would find too few of them.
const RETURN_PAUSE: Duration = Duration::from_millis(3_000);

/// Interval between the first lookups of the other gateways, while the whole fleet may be
/// starting. It doubles up to [`MAX_LOOKUP_INTERVAL`].
const MIN_LOOKUP_INTERVAL: Duration = Duration::from_secs(1);

/// Longest interval between lookups. With 360 registrations of 250 bytes they take 1.5 KB per
/// second, of the 2 KB per second allowed for control traffic (`docs/CAPACITY.md`).
const MAX_LOOKUP_INTERVAL: Duration = Duration::from_secs(60);

/// Keeps a gateway registered in the store and looks up the other gateways until cancelled.
pub async fn register(store: &dyn Store, peers: &Peers, cancel: CancellationToken) {
    let registration = Registration { store, member: peers.own() };
    peers.routing().origins().set_kept();
    let all = async {
        tokio::join!(
            registration.keep_renewed(peers),
            registration.follow_peers(peers),
            stored::keep_written(store, peers),
            streams::keep_written(store, peers),
            streams::keep_read(store, peers),
            streams::keep_replicated(peers),
        )
    };
    cancel.run_until_cancelled(all).await;
}

/// The registration of this gateway in the store.
struct Registration<'a> {
    store: &'a dyn Store,
    member: &'a Member,
}

impl Registration<'_> {
    /// Renews the registration at regular intervals, and checks it whenever the store was away, as its
    /// lease may have ended. Registers again once the store has come back from a copy: that may lack the
    /// registration, and the lease may be another gateway's.
    async fn keep_renewed(&self, peers: &Peers) {
        let (mut restores, mut returns) = (Restores::new(peers), Returns::new(peers));
        let mut lease = None;
        loop {
            let is_sure = self.renew(&mut lease).await;
            let pause = if is_sure { RENEWAL_INTERVAL } else { RETRY_INTERVAL };
            tokio::select! {
                () = sleep(pause) => continue,
                () = restores.next() => lease = None,
                () = returns.next() => {}
            }
            sleep(RETURN_SPREAD.mul_f64(rand::rng().random())).await;
        }
    }

    /// Looks up the other gateways at increasing intervals, the first time at once. While others may
    /// have lost their registrations, those that are known stay: a gateway that takes itself for the
    /// only one would spend the limits and budgets of all.
    async fn follow_peers(&self, peers: &Peers) {
        let (mut restores, mut returns) = (Restores::new(peers), Returns::new(peers));
        let mut interval = MIN_LOOKUP_INTERVAL;
        let mut was_listed = false;
        loop {
            let listed = self.store.list_cached(PREFIX).await;
            let is_listed = listed.as_ref().is_ok_and(|entries| self.is_listed(entries));
            let has_changed = restores.has_restored() | returns.has_returned();
            match listed {
                // The list may lack gateways that have not registered again.
                Ok(_) if has_changed || peers.presence().is_away() => {
                    sleep(RETURN_PAUSE).await;
                    interval = MIN_LOOKUP_INTERVAL;
                    continue;
                }
                Ok(_) if was_listed && !is_listed => {
                    log::warn!("the registration of this gateway is missing");
                    was_listed = false;
                    peers.presence().set_returned(None);
                    continue;
                }
                Ok(entries) => {
                    was_listed = is_listed;
                    set_peers(peers, &entries);
                    stored::learn(peers.routing(), &entries);
                }
                Err(error) => log::info!("peers can't be looked up: {error}"),
            }
            tokio::select! {
                () = sleep(interval) => interval = (interval * 2).min(MAX_LOOKUP_INTERVAL),
                () = restores.next() => interval = self.await_registrations().await,
                () = returns.next() => interval = self.await_registrations().await,
            }
        }
    }

    /// Waits until the other gateways have registered again, before the next lookup; returns the interval
    /// after that lookup.
    async fn await_registrations(&self) -> Duration {
        sleep(RETURN_PAUSE).await;
        MIN_LOOKUP_INTERVAL
    }

    /// Whether this gateway is registered.
    fn is_listed(&self, entries: &[Entry]) -> bool {
        let vm = |entry: &Entry| entry.key.strip_prefix(MEMBER_PREFIX) == Some(&*self.member.vm);
        entries.iter().any(vm)
    }

    /// Renews the lease of the registration, or registers again if there is none or it expired. Returns
    /// whether the gateway is registered now, as far as the store says; if it doesn't answer, the lease
    /// may still be valid and is kept.
    async fn renew(&self, lease: &mut Option<Lease>) -> bool {
        let vm = self.member.vm.as_str();
        if let Some(known) = *lease {
            match self.store.renew(known).await {
                Ok(true) => return true,
                Ok(false) => log::info!(vm; "the registration expired"),
                Err(error) => {
                    log::info!(vm; "the registration was not renewed: {error}");
                    return false;
                }
            }
        }
        let registered = self.register().await;
        *lease = registered
            .inspect_err(|error| log::info!("the gateway was not registered: {error}"))
            .ok();
        lease.is_some()
    }

    /// Writes the registration under a new lease.
    async fn register(&self) -> Result<Lease, Error> {
        let Member { vm, address, .. } = self.member;
        let member = serde_json::to_vec(self.member)
            .map_err(|error| Error::Protocol(format!("a member can't be encoded: {error}")))?;
        let lease = self.store.grant(LEASE_TTL_S).await?;
        let put =
            |prefix: &str, value| Put { key: format!("{prefix}{vm}"), value, lease: Some(lease) };
        let address = address.to_string().into_bytes();
        let puts = vec![put(ADDRESS_PREFIX, address), put(MEMBER_PREFIX, member)];
        match self.store.commit(&Commit { puts, ..Commit::default() }).await? {
            Outcome::Written(_) => Ok(lease),
            Outcome::Conflict => Err(Error::Protocol(
                "the lease ended before the registration was written".to_owned(),
            )),
        }
    }
}

/// Tells `peers` the gateways that are registered.
fn set_peers(peers: &Peers, entries: &[Entry]) {
    let own = peers.own();
    let mut members: Vec<Member> = entries.iter().filter_map(member).collect();
    members.retain(|member| member.vm != own.vm);
    let addresses = entries.iter().filter_map(address);
    let others: Vec<SocketAddr> = addresses.filter(|address| *address != own.address).collect();
    peers.set_registered(others, members);
}

/// Decodes the entry of a member; `None` if it is none or can't be decoded.
fn member(entry: &Entry) -> Option<Member> {
    entry.key.strip_prefix(MEMBER_PREFIX)?;
    let decoded = serde_json::from_slice(&entry.value);
    decoded
        .inspect_err(|error| log::warn!(key = entry.key.as_str(); "a member is malformed: {error}"))
        .ok()
}

/// Decodes the entry of an address; `None` if it is none or can't be decoded.
fn address(entry: &Entry) -> Option<SocketAddr> {
    entry.key.strip_prefix(ADDRESS_PREFIX)?;
    std::str::from_utf8(&entry.value).ok()?.parse().ok()
}
