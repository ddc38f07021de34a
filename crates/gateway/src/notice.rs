//! What an endpoint said of itself in its responses.

use std::time::Duration;

use route::Reply;

/// What one start of an endpoint said of itself. It holds for this gateway whatever the store says.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Notice {
    /// Whether it leaves. There is no way back but another start.
    is_leaving: bool,
    /// Until when it wants no requests from this gateway.
    paused_until: Duration,
}

impl Notice {
    /// Records what a response says. Returns whether that is new.
    pub(crate) fn record(&mut self, reply: &Reply, now: Duration) -> bool {
        let before = *self;
        self.is_leaving |= reply.is_leaving;
        if let Some(pause) = reply.pause {
            self.paused_until = self.paused_until.max(now.saturating_add(pause));
        }
        self.is_leaving != before.is_leaving || self.paused_until != before.paused_until
    }

    /// Whether it has said that it leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns for how long it wants no requests from this gateway; zero if it takes some.
    pub(crate) fn pause(&self, now: Duration) -> Duration {
        self.paused_until.saturating_sub(now)
    }
}
