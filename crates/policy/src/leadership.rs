//! Leader election per scope with a leader lease and fencing tokens.
//!
//! The leader creates a key bound to a lease in the key-value service. The store's
//! version at the key's creation is the fencing token: versions only grow, so a new
//! leader has a higher token. A leader acts only while its own clock says that the
//! lease can't have expired, counted from before the call that granted or renewed
//! it; a process that was paused thereby detects the expiry before it acts. See
//! `docs/decisions/configuration.md`.

use std::time::Duration;

use wire::id;

/// The id of a lease in the key-value service.
pub type Lease = i64;

/// Safety margin at the end of the lease's time to live, in which its holder no longer
/// acts: clocks may run at slightly different speeds, and an order takes time to arrive.
const SAFETY_MARGIN_PERCENT: u32 = 20;

/// Percentage of the lease's time to live after which it is renewed.
const RENEW_AFTER_PERCENT: u32 = 33;

/// State machine of one process that competes for the leadership of a scope.
#[derive(Debug, Clone)]
pub struct Leadership {
    /// Time to live of the lease.
    ttl: Duration,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Another process may be the leader; no attempt is made before `until`.
    Idle { until: Duration },
    /// A lease was granted; the key isn't created yet, or the outcome isn't known.
    Leased { lease: Lease, since: Duration },
    /// This process is the leader.
    Held { lease: Lease, fence: id::Fence, since: Duration },
}

/// The next call to the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Request a lease.
    Grant,
    /// Create the key bound to this lease unless it exists.
    Claim(Lease),
    /// Renew this lease.
    Renew(Lease),
    /// Make no call until this time.
    Wait(Duration),
}

/// Permission to act as the leader of a scope.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// The fencing token to send with every order.
    pub fence: id::Fence,
    /// Time from which on no order may be sent.
    pub until: Duration,
}

impl Leadership {
    /// Returns the state of a process without a lease; `ttl` is the time to live of the
    /// leases that it requests.
    pub fn new(ttl: Duration) -> Leadership {
        Leadership { ttl, state: State::Idle { until: Duration::ZERO } }
    }

    /// Returns the next call to make.
    pub fn next_action(&self, now: Duration) -> Action {
        match self.state {
            State::Idle { until } if now < until => Action::Wait(until),
            State::Idle { .. } => Action::Grant,
            State::Leased { since, .. } | State::Held { since, .. }
                if now >= self.trusted_until(since) =>
            {
                Action::Grant
            }
            State::Leased { lease, .. } => Action::Claim(lease),
            State::Held { lease, since, .. } => {
                let due = since + self.ttl * RENEW_AFTER_PERCENT / 100;
                if now >= due { Action::Renew(lease) } else { Action::Wait(due) }
            }
        }
    }

    /// Returns the permission to act at `now`, or `None` if this process isn't the leader.
    pub fn permit(&self, now: Duration) -> Option<Permit> {
        let State::Held { fence, since, .. } = self.state else { return None };
        let until = self.trusted_until(since);
        (now < until).then_some(Permit { fence, until })
    }

    /// Records a granted lease; `asked` is the time before the call.
    pub fn record_grant(&mut self, lease: Lease, asked: Duration) {
        self.state = State::Leased { lease, since: asked };
    }

    /// Records the holder of the key: the lease to which the key is bound and the store's
    /// version at its creation, from the answer to a claim or from a read.
    ///
    /// A read also resolves a claim whose answer was lost: this process created the key
    /// if it is bound to its lease. If another process holds the key, the next attempt
    /// is delayed, so that waiting costs the service few calls.
    pub fn record_holder(&mut self, holder: Lease, fence: id::Fence, now: Duration) {
        match self.state {
            State::Leased { lease, since } if lease == holder => {
                self.state = State::Held { lease, fence, since };
            }
            State::Held { lease, fence: own, .. } if lease == holder && own == fence => (),
            _ => self.state = State::Idle { until: now + self.ttl * RENEW_AFTER_PERCENT / 100 },
        }
    }

    /// Records that the key no longer exists, so that any process may claim it.
    pub fn record_key_removed(&mut self) {
        if !matches!(self.state, State::Leased { .. }) {
            self.resign();
        }
    }

    /// Records the answer to a renewal: whether the lease still exists; `asked` is the
    /// time before the call.
    ///
    /// A renewal requested after the lease's end by the local clock is ignored and the
    /// leadership given up: another process may have held the key in between.
    pub fn record_renewal(&mut self, is_alive: bool, asked: Duration) {
        let State::Held { lease, fence, since } = self.state else { return };
        if !is_alive || asked >= self.trusted_until(since) {
            self.resign();
            return;
        }
        self.state = State::Held { lease, fence, since: since.max(asked) };
    }

    /// Gives up the leadership.
    pub fn resign(&mut self) {
        self.state = State::Idle { until: Duration::ZERO };
    }

    /// Returns the time from which on a lease requested at `since` is no longer trusted.
    fn trusted_until(&self, since: Duration) -> Duration {
        since + self.ttl * (100 - SAFETY_MARGIN_PERCENT) / 100
    }
}

/// Fencing check of a receiver of orders: the highest token that it has seen in a scope.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fencing {
    highest: Option<id::Fence>,
}

impl Fencing {
    /// Records the token in force, which has to be known before the first order.
    pub fn observe(&mut self, fence: id::Fence) {
        self.highest = Some(self.highest.unwrap_or_default().max(fence));
    }

    /// Returns whether an order with this token is to be executed, and records the token
    /// if it is.
    ///
    /// Rejects every order before [`Fencing::observe`] was called: a starting process
    /// can't tell which tokens are out of date.
    pub fn admit(&mut self, fence: id::Fence) -> bool {
        let Some(highest) = self.highest else { return false };
        if fence < highest {
            return false;
        }
        self.highest = Some(fence);
        true
    }
}
