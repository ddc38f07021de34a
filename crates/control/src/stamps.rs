//! Stamps of received messages that show a newer revision.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::watch;
use wire::Stamp;

/// A channel that carries stamps from the request path to the controller that pulls
/// documents.
#[derive(Debug, Clone, Default)]
pub struct Stamps {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    /// The highest revision recorded, so that the request path seldom takes a lock.
    highest: AtomicU64,
    latest: watch::Sender<Option<Stamp>>,
}

/// Records the stamp of a received message. A higher revision than any before
/// leads to a pull from the sender.
///
/// Cheap enough to be called for every message.
pub fn record_stamp(stamps: &Stamps, stamp: &Stamp) {
    let shared = &stamps.shared;
    let before = shared.highest.fetch_max(stamp.revision, Ordering::Relaxed);
    if stamp.revision > before {
        shared.latest.send_replace(Some(stamp.clone()));
    }
}

impl Stamps {
    /// Returns a receiver of the latest stamp whose revision was higher than any before.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<Stamp>> {
        self.shared.latest.subscribe()
    }
}
