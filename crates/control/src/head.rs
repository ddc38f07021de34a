//! Follows the head key of the key-value service, which names the confirmed revision.

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

/// First backoff after a failure.
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// Longest backoff after failures in a row.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// A call that lasted at least this long before it failed resets the backoff.
const BACKOFF_RESET_AFTER: Duration = Duration::from_secs(5);

/// Time between two checks whether this process should watch, and between two
/// reads of a head that is missing.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Time after the start of this process from which a member that has never
/// described itself counts as not running.
const STARTUP_GRACE: Duration = Duration::from_secs(10);

/// Longest time that a starting process waits for the VM list.
const VM_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows the head key until cancelled.
///
/// Only the few processes that [`watchers`] selects watch it. Any other process
/// reads it at most once, at its start, unless a peer has a newer revision.
pub(crate) async fn follow(
    shared: &Shared,
    store: &dyn Store,
    cluster: &str,
    cancel: &CancellationToken,
) {
    let key = layout::head(cluster);
    wait_for_members(shared, cancel).await;
    if !is_watcher(shared) {
        read_once(shared, store, &key, cancel).await;
    }
    let documents = layout::document(cluster, 0);
    let mut watcher = Watcher { documents, version: 0, backoff: MIN_BACKOFF, warning: None };
    while !cancel.is_cancelled() {
        if !is_watcher(shared) {
            watcher.version = 0;
            clock::sleep(CHECK_INTERVAL, cancel).await;
            continue;
        }
        tokio::select! {
            () = cancel.cancelled() => return,
            () = watcher.step(shared, store, &key, cancel) => (),
        }
    }
}

/// Waits until another member is known or the timeout is over: a process that knows
/// no other member selects itself as a watcher.
async fn wait_for_members(shared: &Shared, cancel: &CancellationToken) {
    let deadline = Instant::now() + VM_LIST_TIMEOUT;
    while shared.board.with_roster(|roster| roster.members().len()) < 2 && Instant::now() < deadline
    {
        if !clock::sleep(MIN_BACKOFF / 5, cancel).await {
            return;
        }
    }
}

fn is_watcher(shared: &Shared) -> bool {
    let is_starting = shared.now() < STARTUP_GRACE;
    shared.board.with_roster(|roster| {
        let members = roster.reachable().filter(|one| is_starting || one.incarnation > 0);
        roster.own().is_some_and(|own| watchers::is_watcher(own, members))
    })
}

/// Reads the head once for a process that doesn't watch; skips the read if a peer
/// has a newer revision.
async fn read_once(shared: &Shared, store: &dyn Store, key: &str, cancel: &CancellationToken) {
    let known = shared.board.with_roster(|roster| roster.members().len());
    clock::sleep(first_read_delay(&shared.board.identity().vm, known), cancel).await;
    if shared.with(|table| table.tracker.has_newer_peer()) {
        return shared.with(|table| table.tracker.record_service_failure());
    }
    tokio::select! {
        () = cancel.cancelled() => (),
        read = store.read(key) => match read {
            Ok(entry) => record_head(shared, entry.as_ref()),
            Err(error) => {
                log::debug!("reading the head failed: {error}");
                shared.with(|table| table.tracker.record_service_failure());
            }
        },
    }
}

/// State of a process that watches the head.
struct Watcher {
    /// The lowest possible key of a document, where the watched range begins.
    documents: String,
    /// The store's version up to which changes were seen; 0 makes the next step read.
    version: u64,
    backoff: Duration,
    /// The warning logged last, so that it isn't repeated at every step.
    warning: Option<Warning>,
}

impl Watcher {
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
                self.log_warning(shared);
                self.backoff = MIN_BACKOFF;
                if self.version == 0 {
                    clock::sleep(CHECK_INTERVAL, cancel).await;
                }
            }
            Err(error) => self.handle_failure(shared, &error, start.elapsed(), cancel).await,
        }
    }

    async fn read(&mut self, shared: &Shared, store: &dyn Store, key: &str) -> Result<(), Error> {
        let entry = store.read(key).await?;
        record_head(shared, entry.as_ref());
        self.version = entry.map_or(0, |entry| entry.version);
        Ok(())
    }

    /// Waits for a new head and its document. They are written together, and both
    /// are taken from the watch: the service may fail before the document can be read.
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
            record_head(shared, Some(head));
        } else if change.removed.iter().any(|removed| removed == key) {
            record_head(shared, None);
            self.version = 0;
        }
        Ok(())
    }

    /// Backs off after a failure. The head is read before it is watched again.
    async fn handle_failure(
        &mut self,
        shared: &Shared,
        error: &Error,
        lasted: Duration,
        cancel: &CancellationToken,
    ) {
        log::debug!("following the head failed: {error}");
        shared.with(|table| table.tracker.record_service_failure());
        self.version = 0;
        if lasted >= BACKOFF_RESET_AFTER {
            self.backoff = MIN_BACKOFF;
        }
        clock::sleep(self.backoff, cancel).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Logs the current warning, if any and if it differs from the last one.
    fn log_warning(&mut self, shared: &Shared) {
        let warning = shared.with(|table| table.tracker.warning());
        if let Some(warning) = warning
            && self.warning != Some(warning)
        {
            log::warn!("{warning}");
        }
        self.warning = warning;
    }
}

/// Records the head that the service returned; `None` if the key is missing.
fn record_head(shared: &Shared, entry: Option<&Entry>) {
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
