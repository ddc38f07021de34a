//! Fetches the newest configuration document and puts it in force.

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

/// Time between two checks if nothing wakes the controller.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two checks while a starting process gathers revisions from its peers.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Delay after the key-value service returned no document.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Puts newer documents in force as their revisions become known, until cancelled.
pub(crate) async fn follow(
    shared: &Shared,
    store: &dyn Store,
    pool: &Pool,
    cluster: &str,
    cancel: &CancellationToken,
) {
    let mut stamps = shared.stamps.subscribe();
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
    match next_action(shared) {
        Action::Keep => wait(shared, POLL_INTERVAL, stamps).await,
        Action::Gather => wait(shared, STARTUP_POLL_INTERVAL, stamps).await,
        Action::Pull(vm) => pull(shared, pool, vm).await,
        Action::Fetch(revision) => {
            if !fetch(shared, store, cluster, revision).await {
                clock::sleep(FETCH_RETRY_DELAY, cancel).await;
            }
        }
    }
}

fn next_action(shared: &Shared) -> Action {
    let now = shared.now();
    let document = shared.board.document();
    let in_force = document.revision;
    let known = shared.board.with_roster(|roster| roster.members().len().saturating_sub(1));
    shared.with(|table| {
        table.history.push(document);
        table.tracker.accept(&Offer {
            revision: in_force,
            source: Source::Service,
            is_intact: true,
        });
        table.tracker.next_action(known, now)
    })
}

/// Waits for a wake-up, a stamp with a newer revision, or the timeout.
async fn wait(shared: &Shared, timeout: Duration, stamps: &mut watch::Receiver<Option<Stamp>>) {
    tokio::select! {
        () = shared.wake.notified() => (),
        Ok(()) = stamps.changed() => {
            if let Some(stamp) = &*stamps.borrow_and_update() {
                shared.with(|table| table.tracker.record_peer(&stamp.vm, stamp.revision));
            }
        }
        () = time::sleep(timeout) => (),
    }
}

/// Pulls the newer document from a peer, as a difference if possible and else whole.
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
            log::debug!("pulling the document from {vm} failed: {error}");
            shared.with(|table| table.tracker.record_peer_failure(&vm));
        }
    }
}

/// Pulls the changes since the document in force and applies them to it.
///
/// Returns `None` if no document is in force yet, the call failed, the peer no
/// longer keeps that revision, or the result doesn't match its digest.
async fn pull_difference(shared: &Shared, pool: &Pool, address: SocketAddr) -> Option<Document> {
    let base = shared.board.document();
    if base.revision == 0 {
        return None;
    }
    let answer = pool.difference(address, shared.board.stamp(), base.revision).await;
    answer.ok()??.apply(&base)
}

/// Puts a document in force that a watch delivered or the key-value service returns.
///
/// Returns `false` if the head is of another revision or the service didn't answer.
async fn fetch(shared: &Shared, store: &dyn Store, cluster: &str, revision: id::Revision) -> bool {
    let head = shared.with(|table| table.head.clone());
    let Some(head) = head.filter(|head| head.revision == revision) else { return false };
    if let Some(document) = take_watched(shared, cluster, &head) {
        apply(shared, document, Source::Service);
        return true;
    }
    let entry = match store.read(&layout::document(cluster, revision)).await {
        Ok(entry) => entry,
        Err(error) => {
            log::debug!(revision = revision; "reading the document failed: {error}");
            return false;
        }
    };
    match entry.and_then(|entry| decode(&head, &entry.value)) {
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

/// Takes the document that a watch delivered together with the head.
fn take_watched(shared: &Shared, cluster: &str, head: &Head) -> Option<Document> {
    let key = layout::document(cluster, head.revision);
    let watched = shared.with(|table| table.watched.take_if(|entry| entry.key == key));
    decode(head, &watched?.value)
}

/// Decodes a document. Returns `None` if its digest or revision differs from the head's.
fn decode(head: &Head, value: &[u8]) -> Option<Document> {
    if Digest::of(value) != head.digest {
        return None;
    }
    let document: Document = serde_json::from_slice(value).ok()?;
    (document.revision == head.revision).then_some(document)
}

/// Puts a document in force if its revision is newer.
fn apply(shared: &Shared, document: Document, source: Source) {
    let revision = document.revision;
    let origin = match &source {
        Source::Service => "the key-value service".to_owned(),
        Source::Peer(vm) => vm.clone(),
    };
    let is_newer =
        shared.with(|table| table.tracker.accept(&Offer { revision, source, is_intact: true }));
    if is_newer && shared.board.apply(document) {
        shared.with(|table| table.history.push(shared.board.document()));
        metrics::gauge!("lycheeknot_configuration_revision").set(revision as f64);
        log::info!(revision = revision; "configuration in force, from {origin}");
    }
}
