//! Keeps the routing table and the endpoints up to date with the store.

use std::time::Duration;

use policy::relay::Duty;
use rand::RngExt;
use route::Dialect;
use rpc::view::Cursor;
use rpc::view::Snapshot;
use services::Feed;
use services::feed::Listing;
use services::store::Change;
use services::store::Entry;
use services::store::Error;
use services::version;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::Routing;
use crate::operator;
use crate::peer;
use crate::peer::Follower;
use crate::peer::Peers;
use crate::record;

/// How long the store holds a call that waits for changes. A dead connection is noticed when
/// this time is over, which is early enough for changes to be in force everywhere in time.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);

/// The same while other gateways rely on this one to read the store. They notice that it has
/// lost the store when its call fails, so it has to make calls more often.
const RELAY_WATCH_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Pause after changes of endpoints, so that one call returns all changes of that time: each
/// call of each process is charged. The limit is that an endpoint that is leaving must get no
/// new requests two seconds later.
const BATCH_PAUSE: Duration = Duration::from_millis(400);

/// First backoff after a failed call; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Longest backoff during an outage of the store. Endpoints whose announcements lapsed
/// meanwhile have to be known again two seconds after its end.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// The same for a gateway whose relays read the store for it: they notice the end of an outage,
/// and tell it. Without the longer backoff, most calls during an outage would be useless ones.
const MAX_RELAYED_BACKOFF: Duration = Duration::from_secs(3);

/// Interval between removals of endpoints that did not announce themselves again.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between queries of peers while this process can't read the store. Changes have to
/// be in force everywhere within a few seconds.
const PEER_QUERY_INTERVAL: Duration = Duration::from_secs(1);

/// The same while the process has no configuration or endpoints yet.
const FIRST_PEER_QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Keeps the configuration and the endpoints up to date until the token is cancelled.
///
/// Reads them from the store, or from peers while the store can't be read.
pub async fn follow(
    dialect: &dyn Dialect,
    feed: &dyn Feed,
    peers: &Peers,
    cancel: CancellationToken,
) {
    let routing = peers.routing();
    let prefix = dialect.operator_prefix();
    let follower = &Follower::default();
    let operator =
        Watcher { routing, dialect, feed, peers, follower, prefix, kind: Kind::Operator };
    let endpoints =
        Watcher { prefix: dialect.endpoint_prefix(), kind: Kind::Endpoints, ..operator.clone() };
    let sweep = async {
        loop {
            sleep(SWEEP_INTERVAL).await;
            routing.remove_missing();
            routing.with_directory(|directory, now| directory.settle_evacuations(now));
        }
    };
    let query = query_peers(&operator, &endpoints);
    let all = async { tokio::join!(operator.run(), endpoints.run(), sweep, query) };
    cancel.run_until_cancelled(all).await;
}

/// Fetches from peers the prefixes that can't be read from the store.
async fn query_peers(operator: &Watcher<'_>, endpoints: &Watcher<'_>) {
    let (routing, peers) = (operator.routing, operator.peers);
    peers.mirror().add_prefixes(&[operator.prefix, endpoints.prefix]);
    loop {
        let is_complete = routing.is_complete();
        sleep(if is_complete { PEER_QUERY_INTERVAL } else { FIRST_PEER_QUERY_INTERVAL }).await;
        // A first read that takes long is no reason to ask: before thousands of endpoints a
        // snapshot is the largest message of all, and hundreds of gateways may start together.
        let lost = peers.mirror().lost();
        if lost.is_empty() {
            routing.with_directory(|directory, _| directory.set_readable(true));
            continue;
        }
        let (snapshots, is_current) = peer::fetch(peers, &lost).await;
        let has_lost_endpoints = lost.iter().any(|cursor| cursor.prefix == endpoints.prefix);
        let can_read = is_current || !has_lost_endpoints;
        routing.with_directory(|directory, _| directory.set_readable(can_read));
        for snapshot in snapshots {
            let watcher = if snapshot.prefix == operator.prefix { operator } else { endpoints };
            watcher.adopt(&snapshot);
        }
    }
}

/// What the keys under a prefix describe.
#[derive(Clone, Copy)]
enum Kind {
    /// The configuration and evacuations.
    Operator,
    Endpoints,
}

/// Why a watch ended.
#[derive(Debug, Clone, Copy)]
enum End {
    /// It failed before its answer was due. The store may work all the while: it is an outage only if
    /// the next call fails as well.
    Cut,
    /// The store was away, or came back from a copy. Announcements may have lapsed.
    Outage,
    /// The store no longer has the changes that were asked for.
    Compacted,
}

/// Reads the keys under one prefix and applies their changes.
#[derive(Clone)]
struct Watcher<'a> {
    routing: &'a Routing,
    dialect: &'a dyn Dialect,
    feed: &'a dyn Feed,
    peers: &'a Peers,
    follower: &'a Follower,
    prefix: &'a str,
    kind: Kind,
}

impl Watcher<'_> {
    /// Reads all keys and watches them for changes, again and again.
    async fn run(&self) {
        let mut backoff = MIN_BACKOFF;
        let mut after_outage = false;
        let mut was_older = false;
        let mut is_first = true;
        loop {
            // The changes after the listing follow at once, so the first one may be a little old.
            let listing = match is_first {
                true => self.feed.scan_cached(self.prefix).await,
                false => self.feed.scan(self.prefix).await,
            };
            is_first = false;
            let mut has_failed = true;
            let is_older = listing.as_ref().is_ok_and(|listing| self.is_older(listing));
            match listing {
                // A peer's newer snapshot may have been adopted during the call. If a second
                // listing is older too, the store itself went back, and it is applied.
                Ok(listing) if is_older && !was_older => {
                    log::warn!(prefix = self.prefix, version = listing.version;
                        "the store's listing is older than the snapshot of a peer");
                    after_outage = true;
                }
                Ok(listing) => {
                    log::info!(prefix = self.prefix, version = listing.version,
                        keys = listing.entries.len(), after_outage; "read from the store");
                    self.apply_listing(&listing, after_outage);
                    let version = listing.version;
                    let now = self.routing.now();
                    self.peers.update_mirror(|mirror| mirror.replace(self.prefix, listing, now));
                    let start = Instant::now();
                    let end = self.watch(version).await;
                    self.suspend();
                    if start.elapsed() >= WATCH_TIMEOUT {
                        backoff = MIN_BACKOFF;
                    }
                    after_outage = matches!(end, End::Outage);
                    has_failed = !matches!(end, End::Compacted);
                }
                Err(error) => {
                    log::warn!(prefix = self.prefix; "the store can't be read: {error}");
                    self.peers.update_mirror(|mirror| mirror.set_lost(self.prefix));
                    after_outage = true;
                }
            }
            was_older = is_older;
            if has_failed {
                let is_relayed = self.peers.has_relay(Duty::Store);
                back_off(&mut backoff, if is_relayed { MAX_RELAYED_BACKOFF } else { MAX_BACKOFF })
                    .await;
            }
        }
    }

    /// Whether a listing is older than the keys that are known already.
    fn is_older(&self, listing: &Listing) -> bool {
        listing.version < self.peers.mirror().version(self.prefix)
    }

    /// Applies changes until a call fails.
    ///
    /// The caller has to read all keys again then, rather than watch again: a new watch may
    /// return nothing until its timeout.
    async fn watch(&self, mut version: u64) -> End {
        let mut is_relayed = false;
        loop {
            let after = Cursor { prefix: self.prefix.to_owned(), version };
            let relayed = self.follower.changes(self.peers, &after).await;
            if relayed.is_some() != is_relayed {
                is_relayed = !is_relayed;
                log::info!(prefix = self.prefix, version, is_relayed; "source of changes");
            }
            record::changes(is_relayed);
            if let Some(relayed) = relayed {
                version = relayed.change.version.max(version);
                self.apply(&relayed.change, relayed.age);
                continue;
            }
            let wait = self.watch_timeout();
            let start = Instant::now();
            match self.feed.changes(self.prefix, version, wait).await {
                Ok(change) => {
                    version = change.version.max(version);
                    self.apply(&change, Duration::ZERO);
                    if matches!(self.kind, Kind::Endpoints) && !change.is_empty() {
                        sleep(BATCH_PAUSE).await;
                    }
                }
                Err(Error::Restored) => {
                    log::warn!(prefix = self.prefix, version; "the store was restored from a copy");
                    return End::Outage;
                }
                Err(Error::Compacted) => {
                    log::warn!(prefix = self.prefix, version; "the store dropped its history");
                    return End::Compacted;
                }
                Err(error) => {
                    let is_overdue = start.elapsed() >= wait;
                    log::warn!(prefix = self.prefix, version, is_overdue; "the store is lost: {error}");
                    self.peers.update_mirror(|mirror| mirror.set_lost(self.prefix));
                    return if is_overdue { End::Outage } else { End::Cut };
                }
            }
        }
    }

    /// Returns how long the store may hold a call that waits for changes.
    fn watch_timeout(&self) -> Duration {
        if self.peers.is_relay(Duty::Store) { RELAY_WATCH_TIMEOUT } else { WATCH_TIMEOUT }
    }

    /// Applies changes that the store reported some time ago.
    fn apply(&self, change: &Change, age: Duration) {
        self.apply_change(change, age);
        let answered_at = self.routing.now().saturating_sub(age);
        self.peers.update_mirror(|mirror| mirror.apply(self.prefix, change, answered_at));
    }

    /// Applies a peer's snapshot if the keys are stale here and it is newer. Endpoints that it
    /// lacks are kept for a while, since their announcements may have lapsed during an outage
    /// of the store.
    fn adopt(&self, snapshot: &Snapshot) {
        let mut is_adopted = false;
        self.peers.update_mirror(|mirror| is_adopted = mirror.adopt(snapshot));
        if !is_adopted {
            return;
        }
        let Listing { entries, version } = &snapshot.listing;
        log::info!(prefix = self.prefix, version, keys = entries.len();
            "snapshot adopted from a peer");
        self.apply_listing(&snapshot.listing, true);
    }

    /// Applies all keys under the prefix.
    fn apply_listing(&self, listing: &Listing, after_outage: bool) {
        let Listing { entries, version } = listing;
        match self.kind {
            Kind::Operator => {
                operator::apply_listing(self.routing, self.dialect, listing, after_outage);
            }
            Kind::Endpoints => {
                let announced = entries.iter().filter_map(|entry| self.endpoint(entry));
                let restores = version::restores(*version);
                self.routing.set_endpoints(announced.collect(), restores, after_outage);
            }
        }
    }

    /// Applies changes of keys that the store reported some time ago.
    fn apply_change(&self, change: &Change, age: Duration) {
        match self.kind {
            Kind::Operator => operator::apply_change(self.routing, self.dialect, change, age),
            Kind::Endpoints => {
                change.entries.iter().for_each(|entry| self.apply_endpoint(entry));
                change.removed.iter().for_each(|key| self.remove_endpoint(key));
            }
        }
    }

    /// Records that a watch has ended: until all keys are read again, no evacuation ends.
    fn suspend(&self) {
        if matches!(self.kind, Kind::Operator) {
            self.routing.with_directory(|directory, _| directory.evacuations.suspend());
        }
    }

    /// Adds or updates an announced endpoint.
    fn apply_endpoint(&self, entry: &Entry) {
        match self.endpoint(entry) {
            Some(endpoint) => {
                log::debug!(endpoint:? = endpoint, revision = entry.version; "endpoint");
                self.routing.set_endpoint(endpoint);
            }
            // An endpoint whose announcement can't be decoded must get no requests.
            None => {
                if let Some(id) = entry.key.strip_prefix(self.prefix) {
                    self.routing.remove_endpoint_now(id);
                }
            }
        }
    }

    fn remove_endpoint(&self, key: &str) {
        if let Some(id) = key.strip_prefix(self.prefix) {
            log::info!(endpoint = id; "endpoint is gone");
            self.routing.remove_endpoint(id);
        }
    }

    /// Decodes an announcement; `None` if that fails.
    fn endpoint(&self, entry: &Entry) -> Option<route::Endpoint> {
        let decoded = self.dialect.endpoint(&entry.key, &entry.value);
        decoded.inspect_err(|error| log::warn!("{error}")).ok()
    }
}

/// Waits before the next call, with exponential backoff. The jitter keeps processes from
/// calling in step.
async fn back_off(backoff: &mut Duration, max: Duration) {
    let jitter = rand::rng().random_range(0.75..1.25);
    sleep(backoff.mul_f64(jitter)).await;
    *backoff = (*backoff * 2).min(max);
}
