//! An endpoint as this gateway sees it.

use std::sync::Arc;
use std::time::Duration;

use policy::failure_rate::Tally;
use policy::liveness::Liveness;
use policy::occupancy::Occupancy;
use policy::rate_limit::Limiter;
use policy::slow_start::Announced;
use policy::slow_start::Throttle;
use route::Endpoint;
use route::endpoint::State;

use crate::criteria::Criteria;
use crate::failures::End;
use crate::notice::Notice;
use crate::quarantine::start_id;

/// An endpoint and what this gateway has observed of it.
#[derive(Debug)]
pub(crate) struct Tracked {
    pub(crate) endpoint: Arc<Endpoint>,
    /// When this start was announced.
    pub(crate) since: Duration,
    pub(crate) occupancy: Occupancy,
    /// Set if its announcement is missing: the endpoint is removed at this time.
    pub(crate) missing_until: Option<Duration>,
    /// Whether this start still runs.
    pub(crate) liveness: Liveness,
    /// Whether another endpoint has responded at its address.
    pub(crate) is_replaced: bool,
    /// Its limit of the requests of all gateways, if it names one.
    pub(crate) limiter: Limiter,
    /// What it is sent while it is cold.
    pub(crate) throttle: Throttle,
    /// State that it has reported in its responses.
    pub(crate) notice: Notice,
    /// Whether its data centre is evacuated.
    pub(crate) is_evacuated: bool,
    /// Its requests that ended lately, with those that failed.
    pub(crate) tally: Tally,
}

impl Tracked {
    /// Creates the state of an endpoint of which nothing was observed. The seed has to be another one
    /// in each process.
    pub(crate) fn new(endpoint: Endpoint, seed: u64, now: Duration) -> Tracked {
        let mut throttle = Throttle::new(start_id(&endpoint), seed);
        throttle.announce(announced(&endpoint), now);
        Tracked {
            limiter: Limiter::new(start_id(&endpoint), seed),
            throttle,
            endpoint: Arc::new(endpoint),
            since: now,
            occupancy: Occupancy::default(),
            missing_until: None,
            liveness: Liveness::default(),
            is_replaced: false,
            notice: Notice::default(),
            is_evacuated: false,
            tally: Tally::default(),
        }
    }

    /// Records another announcement of the same start.
    pub(crate) fn update(&mut self, endpoint: Endpoint, now: Duration) {
        self.throttle.announce(announced(&endpoint), now);
        self.endpoint = Arc::new(endpoint);
        self.missing_until = None;
    }

    /// Whether its limit and, if it is cold, its slow start let a request be sent to it now.
    pub(crate) fn has_permit(&self) -> bool {
        self.limiter.allows() && self.throttle.allows()
    }

    /// Whether requests need permits to be sent to it.
    pub(crate) fn needs_permits(&self) -> bool {
        self.limiter.max_rate().is_some() || self.throttle.is_held()
    }

    /// Returns the time until there is a permit for it, and the permits per second.
    pub(crate) fn next_permit(&self, now: Duration) -> (Duration, f64) {
        match self.throttle.next_permit(now) {
            Some((wait, rate)) if self.limiter.max_rate().is_some() => {
                let (limited, max_rate) = self.limiter.next_permit();
                (wait.max(limited), rate.min(max_rate))
            }
            Some(cold) => cold,
            None => self.limiter.next_permit(),
        }
    }

    /// Counts a request that is sent to it.
    pub(crate) fn record_sent(&mut self, now: Duration) {
        self.occupancy.record_sent();
        self.limiter.record_sent(now);
        self.throttle.record_sent(now);
    }

    /// Records that its announcement is missing, and that it is removed at a time unless it is sooner.
    pub(crate) fn set_missing(&mut self, until: Duration) {
        self.missing_until = Some(self.missing_until.map_or(until, |known| known.min(until)));
    }

    /// Counts how a request ended at one of its starts.
    pub(crate) fn record_end(&mut self, start: &Endpoint, end: End, now: Duration) {
        match end {
            _ if !self.endpoint.is_same_start(start) => {}
            End::Answered => self.tally.record_answer(now),
            End::Failed => self.tally.record_failure(now),
            End::Broken => self.tally.record_break(now),
        }
    }

    /// Whether it would process another request at once, as far as it announces that.
    pub(crate) fn has_free_slot(&self, now: Duration) -> bool {
        let slots = self.endpoint.slots.map_or(f64::INFINITY, f64::from);
        self.occupancy.requests(now) < slots
    }

    /// Whether requests may be sent to it as far as it and the store say.
    pub(crate) fn takes_requests(&self) -> bool {
        self.endpoint.state == State::Ready && !self.is_replaced && !self.notice.is_leaving()
    }

    /// Whether a request with these criteria may be sent to it.
    pub(crate) fn is_available(&self, criteria: &Criteria<'_>) -> bool {
        self.is_suitable(criteria) && self.notice.pause(criteria.now).is_zero()
    }

    /// Whether a request with these criteria may be sent to it once it is no longer paused.
    pub(crate) fn is_suitable(&self, criteria: &Criteria<'_>) -> bool {
        !self.is_evacuated && self.is_usable(criteria)
    }

    /// Whether a request with these criteria may be sent to it once it is no longer paused and its
    /// data centre is not evacuated.
    pub(crate) fn is_usable(&self, criteria: &Criteria<'_>) -> bool {
        let endpoint = &self.endpoint;
        *endpoint.service == *criteria.service
            && self.takes_requests()
            && self.liveness.is_running(criteria.now)
            && criteria.version.is_none_or(|version| *endpoint.version == *version)
            && self.missing_until.is_none_or(|until| criteria.now < until)
            && !criteria.tried.contains(&endpoint.id)
    }
}

/// Returns what an announcement says of a cold time. Announcements of one start only can be ordered.
fn announced(endpoint: &Endpoint) -> Announced {
    let sequence = endpoint.started_ms.and(endpoint.sequence);
    Announced { left: endpoint.cold_left, sequence }
}
