//! Whether the store is there.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;

/// Whether the store is away, as far as this gateway or its relay knows, and how often it has come back.
/// What this gateway keeps there may have gone meanwhile. See `docs/decisions/versions.md`.
#[derive(Debug, Default)]
pub(crate) struct Presence {
    /// Since when it has been away.
    away: Mutex<Option<Duration>>,
    /// Since when it was away the last time; `None` if nothing says that it was.
    last_away: Mutex<Option<Duration>>,
    returns: watch::Sender<u64>,
}

impl Presence {
    /// Records whether the store is away now. Returns whether it has come back with that.
    pub(crate) fn set(&self, is_away: bool, now: Duration) -> bool {
        if is_away {
            self.away.lock().get_or_insert(now);
            return false;
        }
        let away = self.away.lock().take();
        if away.is_some() {
            self.set_returned(away);
        }
        away.is_some()
    }

    /// Has all tasks that keep keys in the store check whether it still has them; it has been away since
    /// this time, if that is known.
    pub(crate) fn set_returned(&self, since: Option<Duration>) {
        *self.last_away.lock() = since;
        self.returns.send_modify(|returns| *returns += 1);
    }

    /// Whether the store is away.
    pub(crate) fn is_away(&self) -> bool {
        self.away.lock().is_some()
    }

    /// Returns since when the store was away the last time; `None` if nothing says that it was.
    pub(crate) fn last_away(&self) -> Option<Duration> {
        *self.last_away.lock()
    }

    /// Subscribes to the number of times that the store has come back.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.returns.subscribe()
    }
}
