//! Puts the newest document that is known in force.

use std::net::SocketAddr;
use std::time::Duration;

use config::Document;
use config::layout;
use config::layout::Head;
use policy::revision::Action;
use policy::revision::Offer;
use policy::revision::Source;
use rpc::Pool;
use services::Store;
use tokio::sync::watch;
use tokio::time;
use tokio_util::sync::CancellationToken;
use wire::Digest;
use wire::Stamp;
use wire::id;

use crate::beats;
use crate::clock;
use crate::shared::Shared;

/// Time between two looks if nothing wakes the controller.
const LOOK: Duration = Duration::from_secs(1);

/// Time between two looks of a process that starts.
const STARTING_LOOK: Duration = Duration::from_millis(50);

/// Wait after the key-value service gave no document.
const BACKOFF: Duration = Duration::from_millis(500);

/// Follows what is known of newer revisions until cancelled.
pub(crate) async fn follow(
    shared: &Shared,
    store: &dyn Store,
    pool: &Pool,
    cluster: &str,
    cancel: &CancellationToken,
) {
    let mut stamps = shared.notices.subscribe();
    while !cancel.is_cancelled() {
        tokio::select! {
            () = cancel.cancelled() => return,
            () = step(shared, store, pool, cluster, cancel, &mut stamps) => (),
        }
    }
}

async fn step(
    shared: &Shared,
    store: &dyn Store,
    pool: &Pool,
    cluster: &str,
    cancel: &CancellationToken,
    stamps: &mut watch::Receiver<Option<Stamp>>,
) {
    match next(shared) {
        Action::Keep => wait(shared, LOOK, stamps).await,
        Action::Gather => wait(shared, STARTING_LOOK, stamps).await,
        Action::Pull(vm) => pull(shared, pool, vm).await,
        Action::Fetch(revision) => {
            if !fetch(shared, store, cluster, revision).await {
                clock::sleep(BACKOFF, cancel).await;
            }
        }
    }
}

fn next(shared: &Shared) -> Action {
    let now = shared.now();
    let document = shared.board.document();
    let in_force = document.revision;
    let known = shared.board.with_roster(|roster| roster.members().len().saturating_sub(1));
    shared.with(|table| {
        table.history.keep(document);
        table.tracker.accept(&Offer {
            revision: in_force,
            source: Source::Service,
            is_intact: true,
        });
        table.tracker.next_action(known, now)
    })
}

async fn wait(shared: &Shared, longest: Duration, stamps: &mut watch::Receiver<Option<Stamp>>) {
    tokio::select! {
        () = shared.wake.notified() => (),
        Ok(()) = stamps.changed() => {
            if let Some(stamp) = &*stamps.borrow_and_update() {
                shared.with(|table| table.tracker.record_peer(&stamp.vm, stamp.revision));
            }
        }
        () = time::sleep(longest) => (),
    }
}

async fn pull(shared: &Shared, pool: &Pool, vm: id::Vm) {
    let Some(address) = beats::address(shared, &vm) else {
        return shared.with(|table| table.tracker.record_peer_failure(&vm));
    };
    if let Some(document) = pull_difference(shared, pool, address).await {
        return apply(shared, document, Source::Peer(vm));
    }
    let after = shared.board.revision();
    match pool.document(address, shared.board.stamp(), after).await {
        Ok(Some(document)) => apply(shared, document, Source::Peer(vm)),
        Ok(None) => shared.with(|table| table.tracker.record_peer_failure(&vm)),
        Err(error) => {
            log::debug!("no document was pulled from {vm}: {error}");
            shared.with(|table| table.tracker.record_peer_failure(&vm));
        }
    }
}

/// Puts the later document together from the one in force; `None` if there is
/// none yet or the peer doesn't know it any more.
async fn pull_difference(shared: &Shared, pool: &Pool, address: SocketAddr) -> Option<Document> {
    let base = shared.board.document();
    if base.revision == 0 {
        return None;
    }
    let answer = pool.difference(address, shared.board.stamp(), base.revision).await;
    answer.ok()??.apply(&base)
}

/// Reads a document from the key-value service; says whether it answered.
async fn fetch(shared: &Shared, store: &dyn Store, cluster: &str, revision: id::Revision) -> bool {
    let head = shared.with(|table| table.head.clone());
    let Some(head) = head.filter(|head| head.revision == revision) else { return false };
    if let Some(document) = watched(shared, cluster, &head) {
        apply(shared, document, Source::Service);
        return true;
    }
    let entry = match store.read(&layout::document(cluster, revision)).await {
        Ok(entry) => entry,
        Err(error) => {
            log::debug!(revision = revision; "the document was not read: {error}");
            return false;
        }
    };
    match entry.and_then(|entry| read(&head, &entry.value)) {
        Some(document) => apply(shared, document, Source::Service),
        None => {
            log::error!(revision = revision; "the document is missing or differs from its digest and is not applied: confirm a new revision");
            let source = Source::Service;
            shared
                .with(|table| table.tracker.accept(&Offer { revision, source, is_intact: false }));
        }
    }
    true
}

/// The document that a watch brought together with the head.
fn watched(shared: &Shared, cluster: &str, head: &Head) -> Option<Document> {
    let key = layout::document(cluster, head.revision);
    let watched = shared.with(|table| table.watched.take_if(|entry| entry.key == key));
    read(head, &watched?.value)
}

/// Reads a document as it was confirmed; `None` if it is another one.
fn read(head: &Head, value: &[u8]) -> Option<Document> {
    if Digest::of(value) != head.digest {
        return None;
    }
    let document: Document = serde_json::from_slice(value).ok()?;
    (document.revision == head.revision).then_some(document)
}

fn apply(shared: &Shared, document: Document, source: Source) {
    let revision = document.revision;
    let origin = match &source {
        Source::Service => "the key-value service".to_owned(),
        Source::Peer(vm) => vm.clone(),
    };
    let is_newer =
        shared.with(|table| table.tracker.accept(&Offer { revision, source, is_intact: true }));
    if is_newer && shared.board.apply(document) {
        shared.with(|table| table.history.keep(shared.board.document()));
        metrics::gauge!("lycheeknot_configuration_revision").set(revision as f64);
        log::info!(revision = revision; "configuration in force, from {origin}");
    }
}
