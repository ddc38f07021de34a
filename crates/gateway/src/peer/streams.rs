//! Streams in the store, with the versions that began them, so that they are known at each gateway
//! and outlive the processes of all.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use policy::origin::Segment;
use policy::origin::Signal;
use rand::RngExt;
use serde::Serialize;
use services::Store;
use services::store::Commit;
use services::store::Error;
use services::store::Lease;
use services::store::Outcome;
use services::store::Put;
use services::version;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::origins::InUse;
use crate::origins::Origins;
use crate::origins::Reading;
use crate::origins::Stored;
use crate::peer::Finder;
use crate::peer::Peers;
use crate::peer::Replicator;
use crate::peer::Restores;
use crate::peer::Returns;
use crate::peer::journals;
use crate::peer::journals::IN_USE;
use crate::peer::journals::ORPHANS;
use crate::peer::journals::PREFIX;

/// Time to live of what a process stores, in seconds. After its end it is kept for longer than
/// clients take to come back for a stream.
const LEASE_TTL_S: u64 = 60;

/// Interval between renewals of the lease. One may fail.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(20);

/// Time after the store has lost streams for which replicated ones are stored as well: longer than
/// clients take to come back for them.
const REPLICAS_TIME: Duration = Duration::from_secs(60);

/// Interval between checks for versions that are no longer in use.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest interval between writes, for which the first events of streams are held back.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(25);

/// Time after which a write counts as failing, so that other gateways store the streams as well.
const SLOW_WRITE: Duration = Duration::from_millis(200);

/// Share of the writes that the store allows which all gateways may use together.
const WRITE_SHARE: f64 = 0.5;

/// Pause after a read, in which clients that come back together wait for the same next one.
const READ_PAUSE: Duration = Duration::from_millis(20);

/// Time limit of a read, within which clients wait for it. Many gateways that start together read at
/// the same time.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Reads what all gateways have stored each time that a request wants it, and looks up at other
/// gateways what they have not.
pub(crate) async fn keep_read(store: &dyn Store, peers: &Peers) {
    let origins = peers.routing().origins();
    let finder = Finder::new(peers);
    let mut wanted = origins.lookup.wanted();
    while wanted.changed().await.is_ok() {
        wanted.mark_unchanged();
        let (number, asked) = origins.lookup.take();
        let (mut stored, mut answered) = tokio::join!(read(store, origins), finder.find(&asked));
        if let Some(stored) = &mut stored {
            let unresolved =
                stored.unresolved(&asked, |service, stream| origins.knows(service, stream));
            if !unresolved.rows.is_empty() {
                answered.extend(finder.exclude(&unresolved, stored, &answered).await);
            }
            answered.push(origins.journal.process());
            answered.sort_unstable();
            let has_answered = |process| answered.binary_search(process).is_ok();
            for journal in &mut stored.journals {
                journal.is_excluded = has_answered(&journal.process);
            }
            stored.asked = asked;
        }
        origins.lookup.finish(Reading { number, stored: stored.map(Arc::new) });
        sleep(READ_PAUSE).await;
    }
}

/// Reads what all gateways have stored; `None` if that fails or takes too long.
async fn read(store: &dyn Store, origins: &Origins) -> Option<Stored> {
    match timeout(READ_TIMEOUT, store.list(PREFIX)).await {
        Ok(Ok(entries)) => {
            if origins.journal.check(&entries) {
                origins.changed.notify_one();
            }
            Some(journals::decode(&entries))
        }
        Ok(Err(error)) => {
            log::warn!("the streams of other gateways can't be read: {error}");
            None
        }
        Err(_) => {
            log::warn!("the streams of other gateways were not read in time");
            None
        }
    }
}

/// Stores the versions that this gateway may use, and the streams that it begins while there are
/// several of them.
pub(crate) async fn keep_written(store: &dyn Store, peers: &Peers) {
    let process = format!("{}/{:x}", peers.own().vm, rand::rng().random::<u32>());
    peers.routing().origins().journal.set_process(&process);
    let process = format!("{PREFIX}{process}");
    let (mut restores, mut returns) = (Restores::new(peers), Returns::new(peers));
    let mut writer = Writer {
        store,
        process,
        restores: restores.known(),
        lost: None,
        lease: None,
        is_doubtful: false,
        written: Vec::new(),
        in_use: InUse::default(),
    };
    let origins = peers.routing().origins();
    let (mut knows_others, mut lost, mut away_since) = (false, None, None);
    loop {
        let routing = peers.routing();
        let _ = timeout(IDLE_INTERVAL, origins.changed.notified()).await;
        if restores.has_restored() {
            // The copy may lack what was written, and its lease may be another gateway's.
            writer.set_restores(restores.known().unwrap_or_default(), routing.now());
        }
        if returns.has_returned() {
            away_since = peers.presence().last_away();
            // Leases may have ended while the store was away. Not all gateways ask at the same time.
            writer.is_doubtful = true;
            sleep(write_interval(peers).mul_f64(rand::rng().random())).await;
        }
        writer.is_doubtful |= origins.journal.take_doubt();
        origins.announce(&routing.endpoints(), routing.now());
        if !knows_others && let Some(stored) = read(store, origins).await {
            // A process that starts late in a rollout knows only the newer version otherwise.
            origins.learn_versions(&stored, routing.now());
            knows_others = true;
        }
        let number = origins.recording.last();
        let (versions, segments, orphans) = origins.to_store(routing.now());
        let replicas = origins.replicas.to_store(writer.has_lost(routing.now()), routing.now());
        if versions.rows.is_empty() {
            continue;
        }
        let in_use = knows_others
            .then(|| InUse { writer: origins.journal.process(), versions: versions.clone() });
        let content = Content {
            versions: &versions,
            segments: &segments,
            replicas: &replicas,
            orphans: &orphans,
            in_use: in_use.as_ref(),
        };
        let write = writer.write(content, routing.now());
        let set_failing = |is_failing| {
            origins.recording.set_failing(is_failing);
            origins.set_away(Signal::Writes, is_failing, routing.now());
        };
        let outcome = watch(write, || set_failing(true)).await;
        set_failing(outcome.is_err());
        origins.recording.stored.set(number, outcome.is_ok());
        if writer.lost > lost {
            lost = writer.lost;
            origins.set_lost(away_since.unwrap_or(routing.now()), routing.now());
        }
        if !writer.is_doubtful {
            away_since = None;
        }
        match outcome {
            Ok(history) => {
                writer.set_restores(history, routing.now());
                let valid_until = writer.valid_until();
                origins.set_stored(&writer.process, &versions, knows_others, valid_until);
            }
            Err(error) => log::info!("the streams of this gateway were not stored: {error}"),
        }
        sleep(write_interval(peers)).await;
    }
}

/// Waits for a write, and calls `on_slow` if it takes long.
async fn watch<T>(write: impl Future<Output = T>, on_slow: impl FnOnce()) -> T {
    let mut write = pin!(write);
    if let Ok(outcome) = timeout(SLOW_WRITE, &mut write).await {
        return outcome;
    }
    on_slow();
    write.await
}

/// Replicates the streams that this gateway begins, as often as it stores them. A slow store doesn't
/// delay that.
pub(crate) async fn keep_replicated(peers: &Peers) {
    let replicator = Replicator::new(peers);
    let origins = peers.routing().origins();
    loop {
        origins.recording.has_recent.notified().await;
        let number = origins.recording.last();
        let places = replicator.replicate().await;
        let is_done = places.is_replicated;
        origins.recording.replicated.set(number, is_done);
        origins.recording.persisted.set(number, places.is_stored);
        origins.recording.named.set(number, places.is_named);
        origins.recording.unstorable.set(number, is_done && places.is_outage);
        if !is_done {
            // The streams wait for another attempt.
            origins.recording.has_recent.notify_one();
        }
        sleep(write_interval(peers)).await;
    }
}

/// Returns the interval between writes with which all gateways keep within what the store allows.
fn write_interval(peers: &Peers) -> Duration {
    let gateways = f64::from(peers.routing().gateways().max(1));
    let seconds = gateways / (peers.writes_per_s() * WRITE_SHARE);
    MIN_WRITE_INTERVAL.max(Duration::try_from_secs_f64(seconds).unwrap_or(IDLE_INTERVAL))
}

/// What a process has to store.
#[derive(Clone, Copy)]
struct Content<'a> {
    versions: &'a Segment,
    /// Its streams, with the places of the segments in a ring.
    segments: &'a [(u64, Segment)],
    /// Streams of other processes, in the same way.
    replicas: &'a [(u64, Segment)],
    /// Versions of streams without a journal.
    orphans: &'a Segment,
    /// The versions in use; `None` while this process may not know all.
    in_use: Option<&'a InUse>,
}

/// Writes the segments of one process.
struct Writer<'a> {
    store: &'a dyn Store,
    /// Common prefix of the keys of this process.
    process: String,
    /// Number of restores of the store before its present history, which is part of the keys: what
    /// was written before a restore may be incomplete. `None` while the store has not told it.
    restores: Option<u64>,
    /// Time at which the store had last lost what was written; `None` if it never has.
    lost: Option<Duration>,
    /// With the time of its last renewal.
    lease: Option<(Lease, Instant)>,
    /// Whether the lease may have ended although it was renewed in time.
    is_doubtful: bool,
    /// Keys and values as the store has them.
    written: Vec<(String, Vec<u8>)>,
    /// The versions in use, as they were last written.
    in_use: InUse,
}

impl Writer<'_> {
    /// Begins to write in another history of the store. The number never decreases. If none was known
    /// before, nothing is lost, but the keys have another number from now on.
    fn set_restores(&mut self, restores: u64, now: Duration) {
        let known = self.restores.unwrap_or_default();
        if restores > known {
            let lost = self.lost;
            self.forget(now);
            if self.restores.is_none() {
                self.lost = lost;
            }
        }
        self.restores = Some(restores.max(known));
    }

    /// Whether the store has lately lost what was written, and may lack streams of gateways that have
    /// ended since.
    fn has_lost(&self, now: Duration) -> bool {
        self.lost.is_some_and(|at| now.saturating_sub(at) < REPLICAS_TIME)
    }

    /// Forgets what was written, so that all of it is written again under another lease.
    fn forget(&mut self, now: Duration) {
        self.lease = None;
        self.written.clear();
        self.in_use = InUse::default();
        self.lost = Some(now);
    }

    /// Writes what has changed, and removes what is over. Returns the number of restores before the
    /// history of the store in which that is written.
    async fn write(&mut self, content: Content<'_>, now: Duration) -> Result<u64, Error> {
        let Content { versions, segments, replicas, orphans, in_use } = content;
        let lease = self.lease(now).await?;
        let restores = self.restores.unwrap_or_default();
        let prefix = format!("{}.{restores}/", self.process);
        let mut current = vec![(format!("{prefix}versions"), encode(versions)?)];
        for (place, segment) in segments {
            current.push((format!("{prefix}{place}"), encode(segment)?));
        }
        for (place, segment) in replicas {
            current.push((format!("{prefix}replica-{place}"), encode(segment)?));
        }
        if !orphans.rows.is_empty() {
            current.push((format!("{prefix}{ORPHANS}"), encode(orphans)?));
        }
        let is_new = |row: &&(String, Vec<u8>)| !self.written.contains(row);
        let puts = current.iter().filter(is_new).map(|(key, value)| Put {
            key: key.clone(),
            value: value.clone(),
            lease: Some(lease),
        });
        let mut puts: Vec<Put> = puts.collect();
        let in_use = in_use.filter(|in_use| **in_use != self.in_use);
        if let Some(in_use) = in_use {
            puts.push(Put { key: IN_USE.to_owned(), value: encode(in_use)?, lease: None });
        }
        let is_over = |key: &&String| current.iter().all(|(other, _)| other != *key);
        let removes = self.written.iter().map(|(key, _)| key).filter(is_over).cloned();
        let commit = Commit { puts, removes: removes.collect(), ..Commit::default() };
        if commit.puts.is_empty() && commit.removes.is_empty() {
            return Ok(restores);
        }
        match self.store.commit(&commit).await {
            Ok(Outcome::Written(version)) => {
                self.written = current;
                if let Some(in_use) = in_use {
                    self.in_use.clone_from(in_use);
                }
                Ok(version::restores(version))
            }
            Ok(Outcome::Conflict) => {
                self.forget(now);
                Err(Error::Protocol("the lease of the streams has ended".to_owned()))
            }
            Err(error) => {
                self.is_doubtful = true;
                Err(error)
            }
        }
    }

    /// Returns the time until which the store keeps what was written, unless it goes away.
    fn valid_until(&self) -> Instant {
        let renewed = self.lease.map_or_else(Instant::now, |(_, renewed)| renewed);
        renewed + Duration::from_secs(LEASE_TTL_S)
    }

    /// Returns the lease, which is granted, or renewed if that is due or it may have ended.
    async fn lease(&mut self, now: Duration) -> Result<Lease, Error> {
        if let Some((lease, renewed)) = self.lease {
            if renewed.elapsed() < RENEWAL_INTERVAL && !self.is_doubtful {
                return Ok(lease);
            }
            let asked_at = Instant::now();
            if self.store.renew(lease).await? {
                self.lease = Some((lease, asked_at));
                self.is_doubtful = false;
                return Ok(lease);
            }
            self.forget(now);
        }
        let asked_at = Instant::now();
        let lease = self.store.grant(LEASE_TTL_S).await?;
        self.lease = Some((lease, asked_at));
        self.is_doubtful = false;
        Ok(lease)
    }
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, Error> {
    postcard::to_stdvec(value)
        .map_err(|error| Error::Protocol(format!("a segment of streams can't be encoded: {error}")))
}
