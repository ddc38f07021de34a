//! The circuit breaker of one engine: ejection and probes.

use std::time::Duration;

/// Consecutive failures that eject an engine.
const EJECTION_FAILURES: u32 = 3;

/// Duration of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(1);

/// The most times that the duration of an ejection doubles.
const EJECTION_MAX_DOUBLINGS: u32 = 6;

/// A probe that did not end within this time is abandoned, so that another may start.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether requests may be sent to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// All requests may be sent to it.
    Available,
    /// A single request may probe whether the engine works again.
    Probe,
    /// No request may be sent to it.
    Ejected,
}

/// The failures and ejections of one engine.
#[derive(Debug, Clone, Default)]
pub(super) struct Health {
    /// Consecutive failures.
    failures: u32,
    /// Ejections since the engine's last good answer.
    ejections: u32,
    ejected_until: Duration,
    /// Start of the probe under way.
    probe: Option<Duration>,
}

impl Health {
    /// Records a good answer, which ends an ejection.
    pub(super) fn record_success(&mut self) {
        *self = Health::default();
    }

    /// Records a failure; returns whether it ejects the engine.
    pub(super) fn record_failure(&mut self, now: Duration) -> bool {
        self.failures += 1;
        let was_probe = self.probe.take().is_some();
        let ejects = was_probe || (!self.is_ejected() && self.failures >= EJECTION_FAILURES);
        if ejects {
            self.eject(now);
        }
        ejects
    }

    /// Records an answer that was far slower than the other engines'; returns
    /// whether it ejects the engine. Late answers to requests sent before an
    /// ejection do not eject the engine again.
    pub(super) fn record_slow_answer(&mut self, now: Duration) -> bool {
        let was_probe = self.probe.take().is_some();
        let ejects = was_probe || !self.is_ejected();
        if ejects {
            self.eject(now);
        }
        ejects
    }

    /// Records that a probe starts.
    pub(super) fn start_probe(&mut self, now: Duration) {
        self.probe = Some(now);
    }

    /// Returns whether the engine was ejected and has had no good answer since.
    pub(super) fn is_ejected(&self) -> bool {
        self.ejections > 0
    }

    pub(super) fn ejected_until(&self) -> Duration {
        self.ejected_until
    }

    /// Returns whether requests may be sent to the engine now.
    pub(super) fn verdict(&self, now: Duration) -> Verdict {
        if !self.is_ejected() {
            return Verdict::Available;
        }
        let is_probing = self.probe.is_some_and(|start| now.saturating_sub(start) < PROBE_TIMEOUT);
        if now < self.ejected_until || is_probing { Verdict::Ejected } else { Verdict::Probe }
    }

    fn eject(&mut self, now: Duration) {
        self.ejected_until =
            now + FIRST_EJECTION * 2u32.pow(self.ejections.min(EJECTION_MAX_DOUBLINGS));
        self.ejections += 1;
        self.failures = 0;
    }
}
