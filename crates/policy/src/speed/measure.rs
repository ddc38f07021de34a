//! What one gateway has observed of an endpoint.

use std::time::Duration;

use crate::quarantine::StartId;
use crate::speed::judgement::Judgement;
use crate::speed::sums::Row;
use crate::speed::window::Window;

/// Time in which the short window forgets. A temporary slowdown lasts some seconds, and a noisy span
/// 0.6 s.
pub(super) const FAST_SPAN: Duration = Duration::from_millis(1_500);

/// Time in which the long window forgets, in which a constant difference of a third shows.
pub(super) const SLOW_SPAN: Duration = Duration::from_secs(5);

/// Deviations count up to this in the long window (a factor of 1.65), so that a short slowdown is
/// forgotten there soon after it.
const SLOW_MAX_DEVIATION: f64 = 0.5;

/// Deviations count up to this in the short window, a factor of 20.
const FAST_MAX_DEVIATION: f64 = 3.0;

/// Time for which an endpoint is reported before the reports count: those who report first are those
/// who saw most of a difference, and the others need three exchanges to add theirs.
const POLL_TIME: Duration = Duration::from_millis(750);

/// An endpoint's deviations from the usual times, and what follows from them.
#[derive(Debug, Clone)]
pub(super) struct Measure {
    pub(super) endpoint: StartId,
    pub(super) fast: Window,
    pub(super) slow: Window,
    /// What the other gateways reported last, and when.
    others: Option<(Row, Duration)>,
    /// Since when other gateways report the endpoint.
    reported_since: Option<Duration>,
    /// When its latest time was observed.
    pub(super) observed: Duration,
    pub(super) judgement: Judgement,
    /// The speed that was last reported as a [`crate::speed::Change`].
    pub(super) told: f64,
}

impl Measure {
    pub(super) fn new(endpoint: StartId, now: Duration) -> Measure {
        Measure {
            endpoint,
            fast: Window::new(FAST_SPAN),
            slow: Window::new(SLOW_SPAN),
            others: None,
            reported_since: None,
            observed: now,
            judgement: Judgement::default(),
            told: 1.0,
        }
    }

    /// Adds a deviation. `centre` is the deviation that all endpoints have in common at present.
    pub(super) fn add(&mut self, weight: f64, deviation: f64, centre: f64, now: Duration) {
        let limited = deviation.clamp(-FAST_MAX_DEVIATION, FAST_MAX_DEVIATION);
        self.fast.add(weight, limited, now);
        let relative = (deviation - centre).clamp(-SLOW_MAX_DEVIATION, SLOW_MAX_DEVIATION);
        self.slow.add(weight, relative, now);
        self.observed = now;
    }

    /// Records what other gateways have observed of the endpoint; `None` if none reports it.
    pub(super) fn set_others(&mut self, row: Option<&Row>, now: Duration) {
        let row = row.filter(|row| row.reporters > 0);
        self.others = row.map(|row| (*row, now));
        self.reported_since = row.map(|_| self.reported_since.unwrap_or(now));
    }

    /// Returns the number of other gateways to which the endpoint differs.
    pub(super) fn reporters(&self) -> u32 {
        self.others.map_or(0, |(row, _)| row.reporters)
    }

    /// Returns what other gateways reported, as it counts now.
    pub(super) fn others(&self, now: Duration) -> Option<Row> {
        let since = self.reported_since?;
        let (row, at) = self.others.as_ref()?;
        let is_complete = now.saturating_sub(since) >= POLL_TIME;
        is_complete.then(|| row.aged(now.saturating_sub(*at)))
    }
}
