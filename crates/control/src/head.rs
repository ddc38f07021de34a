//! Follows the confirmed revision in the key-value service.

use std::time::Duration;

use config::layout;
use config::layout::Head;
use policy::revision::Warning;
use policy::revision::first_read_delay;
use policy::revision::watchers;
use services::Store;
use services::store::Entry;
use services::store::Error;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::shared::Shared;

/// First wait after a failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);

/// Longest wait after failures in a row.
const LAST_BACKOFF: Duration = Duration::from_secs(5);

/// A call that lasted longer than this before it failed was no quick failure.
const SLOW: Duration = Duration::from_secs(5);

/// Time between two looks at whether this process is to watch.
const LOOK: Duration = Duration::from_secs(2);

/// After this time a member that never described itself is taken for one that
/// doesn't run.
const GRACE: Duration = Duration::from_secs(10);

/// Longest time that a starting process waits for the list of members.
const LIST: Duration = Duration::from_secs(1);

/// Follows the head key until cancelled.
///
/// Only the few that `watchers` chooses watch it. Any other process reads it
/// at most once, when it starts and no peer is ahead of it.
pub(crate) async fn follow(
    shared: &Shared,
    store: &dyn Store,
    cluster: &str,
    cancel: &CancellationToken,
) {
    let key = layout::head(cluster);
    await_list(shared, cancel).await;
    if !is_watcher(shared) {
        start(shared, store, &key, cancel).await;
    }
    let documents = layout::document(cluster, 0);
    let mut follower = Follower { documents, version: 0, backoff: FIRST_BACKOFF, warning: None };
    while !cancel.is_cancelled() {
        if !is_watcher(shared) {
            follower.version = 0;
            clock::sleep(LOOK, cancel).await;
            continue;
        }
        tokio::select! {
            () = cancel.cancelled() => return,
            () = follower.step(shared, store, &key, cancel) => (),
        }
    }
}

/// Waits until other members are known: who knows none takes itself for a watcher.
async fn await_list(shared: &Shared, cancel: &CancellationToken) {
    let until = Instant::now() + LIST;
    while shared.board.with_roster(|roster| roster.members().len()) < 2 && Instant::now() < until {
        if !clock::sleep(FIRST_BACKOFF / 5, cancel).await {
            return;
        }
    }
}

fn is_watcher(shared: &Shared) -> bool {
    let is_starting = shared.now() < GRACE;
    shared.board.with_roster(|roster| {
        let members = roster.reachable().filter(|one| is_starting || one.incarnation > 0);
        roster.own().is_some_and(|own| watchers::is_watcher(own, members))
    })
}

/// The one read of a process that doesn't watch; none if a peer is ahead.
async fn start(shared: &Shared, store: &dyn Store, key: &str, cancel: &CancellationToken) {
    let known = shared.board.with_roster(|roster| roster.members().len());
    clock::sleep(first_read_delay(&shared.board.identity().vm, known), cancel).await;
    if shared.with(|table| table.tracker.has_newer_peer()) {
        return shared.with(|table| table.tracker.record_service_failure());
    }
    tokio::select! {
        () = cancel.cancelled() => (),
        read = store.read(key) => match read {
            Ok(entry) => show(shared, entry.as_ref()),
            Err(error) => {
                log::debug!("the head was not read: {error}");
                shared.with(|table| table.tracker.record_service_failure());
            }
        },
    }
}

/// How far a watcher has come.
struct Follower {
    /// The first key that a document may have.
    documents: String,
    /// The store's version of the head last seen; 0 lets the next call read.
    version: u64,
    backoff: Duration,
    warning: Option<Warning>,
}

impl Follower {
    async fn step(
        &mut self,
        shared: &Shared,
        store: &dyn Store,
        key: &str,
        cancel: &CancellationToken,
    ) {
        let start = Instant::now();
        let outcome = match self.version {
            0 => self.read(shared, store, key).await,
            after => self.watch(shared, store, key, after).await,
        };
        match outcome {
            Ok(()) => {
                self.warn(shared);
                self.backoff = FIRST_BACKOFF;
                if self.version == 0 {
                    clock::sleep(LOOK, cancel).await;
                }
            }
            Err(error) => self.failed(shared, &error, start.elapsed(), cancel).await,
        }
    }

    async fn read(&mut self, shared: &Shared, store: &dyn Store, key: &str) -> Result<(), Error> {
        let entry = store.read(key).await?;
        show(shared, entry.as_ref());
        self.version = entry.map_or(0, |entry| entry.version);
        Ok(())
    }

    /// Waits for a head and its document, which are written together: the
    /// service may fail before the document could be read.
    async fn watch(
        &mut self,
        shared: &Shared,
        store: &dyn Store,
        key: &str,
        after: u64,
    ) -> Result<(), Error> {
        let change = store.watch_range(&self.documents, key, after).await?;
        self.version = change.version;
        let (heads, mut documents): (Vec<Entry>, Vec<Entry>) =
            change.entries.into_iter().partition(|entry| entry.key == key);
        if let Some(document) = documents.pop() {
            shared.with(|table| table.watched = Some(document));
        }
        if let Some(head) = heads.last() {
            show(shared, Some(head));
        } else if change.removed.iter().any(|removed| removed == key) {
            show(shared, None);
            self.version = 0;
        }
        Ok(())
    }

    /// After any failure the key is read before it is watched again.
    async fn failed(
        &mut self,
        shared: &Shared,
        error: &Error,
        lasted: Duration,
        cancel: &CancellationToken,
    ) {
        log::debug!("the head was not followed: {error}");
        shared.with(|table| table.tracker.record_service_failure());
        self.version = 0;
        if lasted >= SLOW {
            self.backoff = FIRST_BACKOFF;
        }
        clock::sleep(self.backoff, cancel).await;
        self.backoff = (self.backoff * 2).min(LAST_BACKOFF);
    }

    fn warn(&mut self, shared: &Shared) {
        let warning = shared.with(|table| table.tracker.warning());
        if let Some(warning) = warning
            && self.warning != Some(warning)
        {
            log::warn!("{warning}");
        }
        self.warning = warning;
    }
}

/// Takes in the head as the service shows it.
fn show(shared: &Shared, entry: Option<&Entry>) {
    let head = entry.and_then(|entry| parse(&entry.value));
    if entry.is_some() && head.is_none() {
        return;
    }
    shared.with(|table| {
        table.tracker.record_head(head.as_ref().map_or(0, |head| head.revision));
        table.head = head;
    });
    shared.wake.notify_one();
}

fn parse(value: &[u8]) -> Option<Head> {
    match serde_json::from_slice(value) {
        Ok(head) => Some(head),
        Err(error) => {
            log::error!(
                "the head can't be read ({error}): check that all processes run this release or a later one"
            );
            None
        }
    }
}
