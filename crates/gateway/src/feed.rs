//! Keeps the knowledge of a gateway current with the store.

use std::time::Duration;

use rand::RngExt;
use route::Dialect;
use rpc::view::Snapshot;
use services::Feed;
use services::feed::Listing;
use services::store::Change;
use services::store::Entry;
use services::store::Error;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::Knowledge;
use crate::peer;
use crate::peer::Peers;

/// How long the store holds a call that waits for changes. A connection that went
/// silent is seen at its end at the latest, before a change is due everywhere.
const WATCH_WAIT: Duration = Duration::from_secs(3);

/// The pause after changes of endpoints, so that one call tells of those that come
/// together: each call of each process is charged, and an endpoint that leaves must
/// get nothing new two seconds later.
const BATCH: Duration = Duration::from_millis(400);

/// The first pause after a failed call, doubled up to [`PAUSE_MOST`].
const PAUSE: Duration = Duration::from_millis(50);

/// The longest pause between calls while the store is away: endpoints that have
/// lapsed meanwhile are due two seconds after its return.
const PAUSE_MOST: Duration = Duration::from_millis(500);

/// How often endpoints that did not return are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);

/// How often peers are asked while the store turns this process away: changes are
/// to be in force everywhere within a few seconds.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// The same for a process that knows nothing yet. The first read takes some 40 ms
/// where the store answers.
const FIRST_ASK_INTERVAL: Duration = Duration::from_millis(100);

/// Follows configuration and endpoints until the token is cancelled.
pub async fn follow(
    dialect: &dyn Dialect,
    feed: &dyn Feed,
    peers: &Peers,
    cancel: CancellationToken,
) {
    let knowledge = peers.knowledge();
    let prefix = dialect.table_prefix();
    let table = Topic { knowledge, dialect, feed, peers, prefix, part: Part::Table };
    let endpoints =
        Topic { prefix: dialect.endpoint_prefix(), part: Part::Endpoints, ..table.clone() };
    let sweep = async {
        loop {
            sleep(SWEEP_INTERVAL).await;
            knowledge.forget_missing();
        }
    };
    let ask = ask_peers(&table, &endpoints);
    let all = async { tokio::join!(table.follow(), endpoints.follow(), sweep, ask) };
    cancel.run_until_cancelled(all).await;
}

/// Learns from peers what the store doesn't tell.
async fn ask_peers(table: &Topic<'_>, endpoints: &Topic<'_>) {
    let (knowledge, peers) = (table.knowledge, table.peers);
    peers.mirror().follow(&[table.prefix, endpoints.prefix]);
    loop {
        let is_known = knowledge.is_complete();
        sleep(if is_known { ASK_INTERVAL } else { FIRST_ASK_INTERVAL }).await;
        let missed = peers.mirror().missed();
        if missed.is_empty() {
            continue;
        }
        for snapshot in peer::ask(peers, &missed).await {
            let topic = if snapshot.prefix == table.prefix { table } else { endpoints };
            topic.adopt(&snapshot);
        }
    }
}

#[derive(Clone, Copy)]
enum Part {
    Table,
    Endpoints,
}

#[derive(Clone)]
struct Topic<'a> {
    knowledge: &'a Knowledge,
    dialect: &'a dyn Dialect,
    feed: &'a dyn Feed,
    peers: &'a Peers,
    prefix: &'a str,
    part: Part,
}

impl Topic<'_> {
    async fn follow(&self) {
        let mut pause = PAUSE;
        let mut after_outage = false;
        let mut was_older = false;
        loop {
            let listing = self.feed.scan(self.prefix).await;
            let is_older = listing.as_ref().is_ok_and(|listing| self.is_older(listing));
            match listing {
                // It was on its way while a peer told more; a second one is what there is.
                Ok(listing) if is_older && !was_older => {
                    log::warn!(prefix = self.prefix, version = listing.version;
                        "the store's answer is older than what a peer told");
                    after_outage = true;
                }
                Ok(listing) => {
                    log::info!(prefix = self.prefix, version = listing.version,
                        keys = listing.entries.len(), after_outage; "read from the store");
                    self.take_all(&listing.entries, after_outage);
                    let version = listing.version;
                    self.peers.mirror().read(self.prefix, listing, self.knowledge.now());
                    let start = Instant::now();
                    after_outage = self.watch(version).await;
                    if start.elapsed() >= WATCH_WAIT {
                        pause = PAUSE;
                    }
                }
                Err(error) => {
                    log::warn!(prefix = self.prefix; "the store can't be read: {error}");
                    self.peers.mirror().lost(self.prefix);
                    after_outage = true;
                }
            }
            was_older = is_older;
            if after_outage {
                rest(&mut pause).await;
            }
        }
    }

    fn is_older(&self, listing: &Listing) -> bool {
        listing.version < self.peers.mirror().version(self.prefix)
    }

    /// Takes in changes until a call fails; says whether the store was away. All is
    /// read anew then: another watch may hear nothing until its time is over.
    async fn watch(&self, mut version: u64) -> bool {
        loop {
            match self.feed.changes(self.prefix, version, WATCH_WAIT).await {
                Ok(change) => {
                    version = change.version.max(version);
                    self.take(&change);
                    self.peers.mirror().changed(self.prefix, &change, self.knowledge.now());
                    if matches!(self.part, Part::Endpoints) && !change.is_empty() {
                        sleep(BATCH).await;
                    }
                }
                Err(Error::Compacted) => {
                    log::warn!(prefix = self.prefix, version; "the store dropped its history");
                    return false;
                }
                Err(error) => {
                    log::warn!(prefix = self.prefix, version; "the store is lost: {error}");
                    self.peers.mirror().lost(self.prefix);
                    return true;
                }
            }
        }
    }

    /// Takes in what a peer knows. What is missing there may have lapsed with the store.
    fn adopt(&self, snapshot: &Snapshot) {
        if !self.peers.mirror().adopt(snapshot) {
            return;
        }
        let Listing { entries, version } = &snapshot.listing;
        log::info!(prefix = self.prefix, version, keys = entries.len(); "learnt from a peer");
        self.take_all(entries, true);
    }

    fn take_all(&self, entries: &[Entry], after_outage: bool) {
        match self.part {
            Part::Table => entries.iter().for_each(|entry| self.take_table(entry)),
            Part::Endpoints => {
                let told = entries.iter().filter_map(|entry| self.endpoint(entry));
                self.knowledge.set_endpoints(told.collect(), after_outage);
            }
        }
    }

    fn take(&self, change: &Change) {
        for entry in &change.entries {
            match self.part {
                Part::Table => self.take_table(entry),
                Part::Endpoints => self.take_endpoint(entry),
            }
        }
        for key in &change.removed {
            match self.part {
                Part::Table => {
                    log::warn!(key = key.as_str(); "the configuration was removed; the last one stays")
                }
                Part::Endpoints => self.remove_endpoint(key),
            }
        }
    }

    fn take_table(&self, entry: &Entry) {
        if entry.key != self.prefix {
            return;
        }
        match self.dialect.table(&entry.value) {
            Ok(table) => {
                let (version, routes) = (table.version(), table.len());
                let is_newer = self.knowledge.set_table(table);
                log::info!(version, routes, revision = entry.version, is_newer; "configuration");
            }
            Err(error) => log::error!(revision = entry.version; "{error}"),
        }
    }

    fn take_endpoint(&self, entry: &Entry) {
        match self.endpoint(entry) {
            Some(endpoint) => {
                log::debug!(endpoint:? = endpoint, revision = entry.version; "endpoint");
                self.knowledge.set_endpoint(endpoint);
            }
            // What can't be read names no endpoint to use.
            None => {
                if let Some(id) = entry.key.strip_prefix(self.prefix) {
                    self.knowledge.drop_endpoint(id);
                }
            }
        }
    }

    fn remove_endpoint(&self, key: &str) {
        if let Some(id) = key.strip_prefix(self.prefix) {
            log::info!(endpoint = id; "endpoint is gone");
            self.knowledge.remove_endpoint(id);
        }
    }

    fn endpoint(&self, entry: &Entry) -> Option<route::Endpoint> {
        let decoded = self.dialect.endpoint(&entry.key, &entry.value);
        decoded.inspect_err(|error| log::warn!("{error}")).ok()
    }
}

/// Waits before the next call, longer each time, and not in step with other processes.
async fn rest(pause: &mut Duration) {
    let jitter = rand::rng().random_range(0.75..1.25);
    sleep(pause.mul_f64(jitter)).await;
    *pause = (*pause * 2).min(PAUSE_MOST);
}
