//! State that an endpoint reports in its responses.

use std::time::Duration;

use route::Reply;

/// State that an endpoint has reported since its start. It takes precedence over the announcement
/// in the store, which may be older.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Notice {
    /// Whether the endpoint is shutting down. Only a restart resets this.
    is_leaving: bool,
    /// The endpoint accepts no requests of this gateway before this time.
    paused_until: Duration,
}

impl Notice {
    /// Records the state that a response reports. Returns whether it has changed.
    pub(crate) fn record(&mut self, reply: &Reply, now: Duration) -> bool {
        let before = *self;
        self.is_leaving |= reply.is_leaving;
        if let Some(pause) = reply.pause {
            self.paused_until = self.paused_until.max(now.saturating_add(pause));
        }
        self.is_leaving != before.is_leaving || self.paused_until != before.paused_until
    }

    /// Whether the endpoint is shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns the time until the endpoint accepts requests of this gateway; zero if it does now.
    pub(crate) fn pause(&self, now: Duration) -> Duration {
        self.paused_until.saturating_sub(now)
    }
}
