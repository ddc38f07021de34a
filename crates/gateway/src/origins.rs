//! Which versions began the streams that clients take up, as this gateway knows it.

mod in_use;
mod lookup;
mod own_journal;
mod progress;
mod reading;
mod recording;
mod replicas;
mod stored;

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use policy::origin;
use policy::origin::Custody;
use policy::origin::Ledger;
use policy::origin::Loss;
use policy::origin::Origin;
use policy::origin::Outage;
use policy::origin::Outlook;
use policy::origin::ProcessId;
use policy::origin::Segment;
use policy::origin::Signal;
use policy::origin::StreamId;
use route::Endpoint;
use rpc::view::Attestation;
use rpc::view::Pledge;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;

pub(crate) use in_use::InUse;
pub(crate) use own_journal::OwnJournal;
pub(crate) use reading::Reading;
pub(crate) use recording::Recording;
pub(crate) use stored::Stored;

use crate::history::History;
use crate::origins::lookup::Lookup;
use crate::origins::replicas::Replicas;
use crate::record;

/// Longest time for which a request to resume a stream waits until the version that began it is
/// known: a read of the store, or what endpoints and gateways take to write again after it has come
/// back from a copy.
const FIND_TIMEOUT: Duration = Duration::from_millis(2_600);

/// Interval between reads of the store while others may still write what it lacks.
const PENDING_INTERVAL: Duration = Duration::from_millis(100);

/// The streams that began here, and those of other gateways as last read from the store.
#[derive(Debug, Default)]
pub(crate) struct Origins {
    ledger: Mutex<Ledger>,
    /// Streams that other gateways have replicated here.
    pub(crate) replicas: Replicas,
    /// The journal of this process, as far as the store has it.
    pub(crate) journal: OwnJournal,
    /// The last streams that the store and other gateways have.
    pub(crate) recording: Recording,
    /// The last time at which the store had lost journals.
    loss: Mutex<Option<Lost>>,
    /// The last time at which the store was away.
    outage: Mutex<Outage>,
    /// Looks streams up in the store and at other gateways.
    pub(crate) lookup: Lookup,
    /// Signals that there is something to store.
    pub(crate) changed: Notify,
}

impl Origins {
    /// Records the versions of all announced endpoints.
    pub(crate) fn announce(&self, endpoints: &[Arc<Endpoint>], now: Duration) {
        let mut ledger = self.ledger.lock();
        for endpoint in endpoints {
            ledger.announce(&endpoint.service, &endpoint.version, now);
        }
    }

    /// Records the endpoint that sent the first event of a stream, and waits until others know it if they
    /// can't tell its version otherwise. Returns whether they can, so that the event may be sent. If
    /// nobody else knew the stream and this process ended, the client could take it up at another version.
    /// See `docs/decisions/versions.md`.
    ///
    /// A stream that breaks off sooner has not begun for its client, which can begin it anew at any
    /// version.
    pub(crate) async fn record(
        &self,
        endpoint: &Endpoint,
        stream: StreamId,
        now: Duration,
    ) -> bool {
        self.ledger.lock().record(&endpoint.service, &endpoint.version, stream, now);
        self.secure(endpoint, stream, now).await
    }

    /// Records that a stream began at another version than was recorded, that of this endpoint, and
    /// waits as [`Origins::record`] does.
    pub(crate) async fn correct(
        &self,
        endpoint: &Endpoint,
        stream: StreamId,
        now: Duration,
    ) -> bool {
        self.ledger.lock().correct(&endpoint.service, &endpoint.version, stream, now);
        self.secure(endpoint, stream, now).await
    }

    /// Waits until others know the last stream of an endpoint. Returns whether they do, or can tell its
    /// version otherwise.
    async fn secure(&self, endpoint: &Endpoint, stream: StreamId, now: Duration) -> bool {
        let is_mixed = {
            let ledger = self.ledger.lock();
            if !ledger.is_recorded(&endpoint.service, now) {
                return true;
            }
            ledger.is_mixed(&endpoint.service, now)
        };
        let is_named = self.journal.names(&endpoint.service, &endpoint.version);
        let custody = Custody { is_named, is_mixed, ..Custody::default() };
        let number = self.recording.add();
        self.changed.notify_one();
        let is_known = self.recording.wait(number, custody, now).await;
        record::recorded(endpoint, stream, self.recording.custody(number, custody));
        if !is_known {
            record::unsecured(endpoint);
        }
        is_known
    }

    /// Returns how long streams of a service are refused, as the last one could not be recorded;
    /// `None` if they may begin at one of the endpoints.
    pub(crate) fn refused_for(
        &self,
        service: &str,
        endpoints: impl FnOnce() -> Vec<Arc<Endpoint>>,
        now: Duration,
    ) -> Option<Duration> {
        let needs_row = {
            let ledger = self.ledger.lock();
            if !ledger.is_recorded(service, now) {
                return None;
            }
            ledger.is_mixed(service, now)
        };
        let left = self.recording.paused_for(false, now);
        if left.is_some() || !needs_row {
            return left;
        }
        let left = self.recording.paused_for(true, now)?;
        let is_named =
            |endpoint: &Arc<Endpoint>| self.journal.names(&endpoint.service, &endpoint.version);
        let mut endpoints = endpoints();
        endpoints.retain(|endpoint| &*endpoint.service == service);
        // Those with a version that the journal names are preferred.
        (!endpoints.iter().any(is_named)).then_some(left)
    }

    /// Lets streams wait for the tasks that store and replicate them. Until the store has the versions
    /// of this gateway, all streams have to be recorded.
    pub(crate) fn set_kept(&self) {
        self.recording.set_kept();
        self.ledger.lock().set_unstored(true);
    }

    /// Returns the version that began a stream of a service, which may have no id; `None` if that can't
    /// be found out before the deadline. `history` returns what the endpoints were read from, and the time.
    pub(crate) async fn find(
        &self,
        service: &str,
        stream: Option<StreamId>,
        deadline: Instant,
        history: impl Fn() -> (History, Duration),
    ) -> Option<Arc<str>> {
        if let Some(version) = self.find_here(service, stream) {
            return Some(version);
        }
        let deadline = deadline.min(Instant::now() + FIND_TIMEOUT);
        loop {
            let stored = self.lookup.read(service, stream, deadline).await;
            // Other gateways may have sent what they know of it.
            if let Some(version) = self.find_here(service, stream) {
                return Some(version);
            }
            let Some(stored) = stored else {
                record::unknown_version(service, "unread", &Stored::default());
                return None;
            };
            if stream.is_some_and(|stream| !stored.asked.has(service, stream)) {
                // A later read replaced the one that looked the stream up.
                continue;
            }
            let (history, now) = history();
            let outlook = self.outlook(stored.restores, &history, now);
            match origin::resolve(&stored.journals, &outlook, service, stream) {
                Origin::Version(version) => {
                    let find = |stream| origin::find(&stored.journals, service, stream);
                    let is_stored = stream.and_then(find).is_some();
                    let source = if is_stored { "stored" } else { "inferred" };
                    record::known_version(service, stream, version, source);
                    if !is_stored {
                        record::inference(service, stream, &stored);
                    }
                    return Some(Arc::from(version));
                }
                Origin::Pending if Instant::now() + PENDING_INTERVAL < deadline => {
                    sleep(PENDING_INTERVAL).await;
                }
                Origin::Pending => {
                    record::unknown_version(service, "pending", &stored);
                    return None;
                }
                Origin::Unknown => {
                    record::unknown_version(service, "not_stored", &stored);
                    return None;
                }
            }
        }
    }

    /// Returns the version that began a stream as far as this gateway knows it without asking.
    fn find_here(&self, service: &str, stream: Option<StreamId>) -> Option<Arc<str>> {
        let (version, source) = self.known(service, stream?)?;
        record::known_version(service, stream, &version, source);
        Some(version)
    }

    /// Returns the version of a stream that began here or was replicated here, and which of both it is.
    fn known(&self, service: &str, stream: StreamId) -> Option<(Arc<str>, &'static str)> {
        let own = self.ledger.lock().find(service, stream).map(Arc::from);
        let replica = || self.replicas.find(service, stream).map(Arc::from);
        own.map(|version| (version, "own")).or_else(|| Some((replica()?, "replica")))
    }

    /// Returns what this gateway itself knows of versions, to go with what was stored when the store
    /// had come back from a copy this often.
    fn outlook(&self, restores: u64, history: &History, now: Duration) -> Outlook {
        let lost = *self.loss.lock();
        let orphans = self.orphans(now);
        let ledger = self.ledger.lock();
        let versions = ledger.versions(now);
        let loss = lost.map(|lost| Loss {
            age: now.saturating_sub(lost.at),
            versions: ledger.versions_until(lost.since, now),
        });
        // The endpoints may not have been read since the last restore.
        let is_same = history.restores == restores;
        let age = if is_same { now.saturating_sub(history.since) } else { Duration::ZERO };
        let loss = loss.filter(|loss| loss.age < Loss::MAX_AGE);
        Outlook { versions, age, is_first: is_same && history.is_first, loss, orphans }
    }

    /// Records that the store has lost journals, among them that of this gateway, since it went away. All
    /// streams have to be recorded until it has that again.
    pub(crate) fn set_lost(&self, since: Duration, now: Duration) {
        log::warn!("the store has lost the streams of this gateway; they are written again");
        *self.loss.lock() = Some(Lost { since, at: now });
        self.journal.clear();
        self.ledger.lock().set_unstored(true);
    }

    /// Records that the store has the versions of this gateway, under a common prefix of its keys. Those
    /// are all that count if those of the other gateways are known as well.
    pub(crate) fn set_stored(
        &self,
        prefix: &str,
        versions: &Segment,
        is_complete: bool,
        valid_until: Instant,
    ) {
        self.ledger.lock().set_unstored(!is_complete);
        self.journal.set(prefix, versions, valid_until);
    }

    /// Returns the content of the journal: the versions, the segments with their places in a ring, and the
    /// orphans.
    pub(crate) fn to_store(&self, now: Duration) -> (Segment, Vec<(u64, Segment)>, Segment) {
        let orphans = self.orphans(now);
        let ledger = self.ledger.lock();
        (ledger.versions(now), ledger.mixed_segments(now), orphans)
    }

    /// Records streams that another gateway has replicated and can't store, to store them for it.
    pub(crate) fn adopt(&self, streams: &Segment, now: Duration) {
        self.replicas.adopt(streams, now);
        self.changed.notify_one();
    }

    /// Records streams as [`Origins::adopt`] does, and waits until the store has them unless the journal of
    /// this process names their versions.
    pub(crate) fn persist<'a>(
        &'a self,
        streams: &Segment,
        now: Duration,
    ) -> impl Future<Output = Pledge> + use<'a> {
        self.adopt(streams, now);
        let is_named = self.journal.has_versions(streams);
        let number = self.recording.add();
        // The write that this asks for covers the number, unlike one that has begun already.
        self.changed.notify_one();
        async move {
            let is_stored = !is_named && self.recording.wait_stored(number).await;
            Pledge { is_stored, is_named }
        }
    }

    /// Records versions that other gateways may use or may have used.
    pub(crate) fn learn_versions(&self, stored: &Stored, now: Duration) {
        let segments = stored.journals.iter().flat_map(|journal| &journal.segments);
        let orphans = stored.journals.iter().map(|journal| &journal.orphans);
        let segments = segments.chain(orphans).chain([&stored.in_use.versions]);
        let versions = {
            let mut ledger = self.ledger.lock();
            for row in segments.flat_map(|segment| &segment.rows) {
                ledger.announce(&row.service, &row.version, now);
            }
            ledger.versions(now)
        };
        self.outage.lock().learn(versions, stored.has_lost_journals(), now);
    }

    /// Returns the versions that this process knows of some streams. It has its name if it can tell that
    /// it began none of the others.
    pub(crate) fn attest(&self, asked: &Segment, now: Duration) -> Attestation {
        let has_all = self.ledger.lock().has_all(now);
        let process = if has_all { self.journal.process() } else { ProcessId::default() };
        Attestation { process, streams: self.look_up(asked) }
    }

    /// Returns the versions of those streams of a segment that began here or were replicated here.
    pub(crate) fn look_up(&self, asked: &Segment) -> Segment {
        let mut found = Segment::default();
        for row in &asked.rows {
            for stream in &row.streams {
                if let Some((version, _)) = self.known(&row.service, *stream) {
                    found.add(&row.service, &version, *stream);
                }
            }
        }
        found
    }

    /// Whether a stream began here or was replicated here.
    pub(crate) fn knows(&self, service: &str, stream: StreamId) -> bool {
        self.known(service, stream).is_some()
    }

    /// Records whether calls of the store of one kind fail.
    pub(crate) fn set_away(&self, signal: Signal, is_away: bool, now: Duration) {
        let was_away = self.outage.lock().is_away();
        let versions = if was_away { self.ledger.lock().versions(now) } else { Segment::default() };
        self.outage.lock().set(signal, is_away, versions, now);
    }

    /// Returns the orphans: versions at which processes may have begun streams that ended without a journal,
    /// as the store was away.
    fn orphans(&self, now: Duration) -> Segment {
        let is_away = self.outage.lock().is_away();
        if is_away { self.ledger.lock().versions(now) } else { self.outage.lock().last(now) }
    }

    /// Returns the streams that began since a time and still have to be replicated to other gateways.
    pub(crate) fn recent_since(&self, since: Duration, now: Duration) -> Segment {
        self.ledger.lock().recent_since(since, now)
    }
}

/// A loss of journals.
#[derive(Debug, Clone, Copy)]
struct Lost {
    /// When the store went away, as far as this gateway knows.
    since: Duration,
    /// When the loss was noticed.
    at: Duration,
}
