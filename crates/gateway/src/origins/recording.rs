//! The last streams that the store and other gateways have.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use policy::origin::Custody;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::origins::progress::Progress;

/// Longest time for which the first events of a stream are held back until both the store and another
/// gateway have its version. It is short against the time to a first token.
const HOLD_TIMEOUT: Duration = Duration::from_millis(60);

/// Longest time after that until one of them has it. A client that waits longer does better to begin
/// the stream at another gateway.
const SECURE_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for which another gateway waits until its streams are stored here: a write that takes longer
/// counts as failing.
const PERSIST_TIMEOUT: Duration = Duration::from_millis(210);

/// Time after a stream could not be recorded in which no other one begins: the store is tried again
/// once a second.
const UNSECURED_PAUSE: Duration = Duration::from_millis(1_000);

/// The last streams that are recorded in the store, and at other gateways. The first events of a stream
/// are held back until it is among them, if others can't tell its version otherwise. See
/// `docs/decisions/versions.md`.
#[derive(Debug, Default)]
pub(crate) struct Recording {
    /// Number of the last stream.
    last: AtomicU64,
    /// The last stream that the store has.
    pub(crate) stored: Progress,
    /// The last stream that another gateway has.
    pub(crate) replicated: Progress,
    /// The last stream that another gateway has stored for this one.
    pub(crate) persisted: Progress,
    /// The last stream of which another gateway has a replica, whose journal names its version.
    pub(crate) named: Progress,
    /// The last stream of which another gateway has a replica while none can write to the store.
    pub(crate) unstorable: Progress,
    /// Whether tasks store and replicate streams. Where none does, streams don't wait for them.
    is_kept: AtomicBool,
    /// Whether the last write of streams failed, or takes long.
    is_failing: AtomicBool,
    /// Until this time no stream begins that has to be recorded.
    paused_until: Mutex<Duration>,
    /// The same for those that need a row.
    rows_paused_until: Mutex<Duration>,
    /// Signals that there is something to replicate.
    pub(crate) has_recent: Notify,
}

impl Recording {
    /// Numbers a stream that has to be recorded.
    pub(crate) fn add(&self) -> u64 {
        let number = self.last.fetch_add(1, Ordering::SeqCst) + 1;
        self.has_recent.notify_one();
        number
    }

    /// Returns the number of the last stream.
    pub(crate) fn last(&self) -> u64 {
        self.last.load(Ordering::SeqCst)
    }

    /// Waits until a stream is recorded elsewhere, so that its first event may be sent. `custody` has what
    /// is known before. Returns whether it is; if not, no other such stream begins for a while.
    pub(crate) async fn wait(&self, number: u64, custody: Custody, now: Duration) -> bool {
        let tried = async {
            self.stored.wait_tried(number).await;
            self.replicated.wait_tried(number).await;
        };
        let _ = timeout(HOLD_TIMEOUT, tried).await;
        if !self.is_kept.load(Ordering::SeqCst) {
            return true;
        }
        let done = async {
            while !self.custody(number, custody).is_safe() {
                tokio::select! {
                    () = self.stored.wait_done(number) => {}
                    () = self.persisted.wait_done(number) => {}
                    () = self.named.wait_done(number) => {}
                    () = self.replicated.wait_done(number), if custody.is_named => {}
                    () = self.unstorable.wait_done(number), if !custody.is_mixed => {}
                }
            }
        };
        let is_done = timeout(SECURE_TIMEOUT, done).await.is_ok();
        let failed_at = now + HOLD_TIMEOUT + SECURE_TIMEOUT;
        *self.paused_until(custody.needs_row()).lock() =
            if is_done { Duration::ZERO } else { failed_at + UNSECURED_PAUSE };
        is_done
    }

    /// Waits until the store has the stream with a number. Returns whether it does; it does not if writes
    /// fail or take long.
    pub(crate) async fn wait_stored(&self, number: u64) -> bool {
        let written = async {
            tokio::select! {
                () = self.stored.wait_done(number) => true,
                () = self.stored.wait_tried(number) => self.stored.is_done(number),
            }
        };
        !self.is_failing() && timeout(PERSIST_TIMEOUT, written).await.unwrap_or_default()
    }

    /// Returns where the stream with a number is recorded, by what is known of it otherwise.
    pub(crate) fn custody(&self, number: u64, custody: Custody) -> Custody {
        let is_outage = self.unstorable.is_done(number);
        Custody {
            is_stored: self.stored.is_done(number) || self.persisted.is_done(number),
            is_replicated: self.replicated.is_done(number) || is_outage,
            is_named: custody.is_named || self.named.is_done(number),
            is_outage,
            ..custody
        }
    }

    /// Returns how long no stream begins that has to be recorded, or that needs a row, as the last one could
    /// not be; `None` if streams begin.
    pub(crate) fn paused_for(&self, needs_row: bool, now: Duration) -> Option<Duration> {
        let left = self.paused_until(needs_row).lock().saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Streams that need a row fail more often than others, which need not wait for them.
    fn paused_until(&self, needs_row: bool) -> &Mutex<Duration> {
        if needs_row { &self.rows_paused_until } else { &self.paused_until }
    }

    /// Lets streams wait for the tasks that store and replicate them.
    pub(crate) fn set_kept(&self) {
        self.is_kept.store(true, Ordering::SeqCst);
    }

    /// Sets whether the last write of streams failed, or takes long. If so, those that were replicated
    /// lately are replicated once more, as others have to store them.
    pub(crate) fn set_failing(&self, is_failing: bool) {
        if !self.is_failing.swap(is_failing, Ordering::SeqCst) && is_failing {
            self.has_recent.notify_one();
        }
    }

    /// Whether the last write of streams failed, or takes long, so that others have to store them.
    pub(crate) fn is_failing(&self) -> bool {
        self.is_failing.load(Ordering::SeqCst)
    }
}
