//! Whether the known start of an endpoint still runs.

use std::time::Duration;

/// How long an endpoint that listens again may take until its start is known here. Endpoints announce
/// a start at once, and changes are in force everywhere two seconds later.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Whether the start of an endpoint that is known still runs, as far as connections tell.
///
/// Nothing listens at the address of a process that has ended. What listens there later may be
/// another start with another software version. Only its announcement tells that, as its responses
/// name the id alone. See `docs/decisions/versions.md`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Liveness {
    /// It runs, as far as is known.
    #[default]
    Running,
    /// A request broke off there, and a check whether it has ended is not complete.
    Doubtful,
    /// Nothing listens at its address.
    Ended,
    /// Something listens there again. Unless another start is announced until this time, the address
    /// was merely out of reach.
    Unannounced(Duration),
}

impl Liveness {
    /// Records that a request broke off. Returns whether a check has to be started.
    pub fn doubt(&mut self) -> bool {
        let is_new = *self == Liveness::Running;
        if is_new {
            *self = Liveness::Doubtful;
        }
        is_new
    }

    /// Records that the check hasn't shown that it ended.
    pub fn clear_doubt(&mut self) {
        if *self == Liveness::Doubtful {
            *self = Liveness::Running;
        }
    }

    /// Records that nothing listens at the address. Returns whether that is news.
    pub fn end(&mut self) -> bool {
        let is_new = *self != Liveness::Ended;
        *self = Liveness::Ended;
        is_new
    }

    /// Records that something listens at the address again. No announcement is awaited while none can
    /// be read.
    pub fn listen(&mut self, can_read: bool, now: Duration) {
        if *self == Liveness::Ended {
            *self = match can_read {
                true => Liveness::Unannounced(now + ANNOUNCE_TIMEOUT),
                false => Liveness::Running,
            };
        }
    }

    /// Awaits no announcement any more, as none can be read.
    pub fn stop_waiting(&mut self) {
        if matches!(self, Liveness::Unannounced(_)) {
            *self = Liveness::Running;
        }
    }

    /// Whether a request would reach the start that is known.
    pub fn is_running(self, now: Duration) -> bool {
        match self {
            Liveness::Running | Liveness::Doubtful => true,
            Liveness::Ended => false,
            Liveness::Unannounced(until) => now >= until,
        }
    }
}
