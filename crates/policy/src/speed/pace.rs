//! Pauses between the pieces of a stream.

use std::time::Duration;

/// Time over which pauses are averaged, so that a stream adds few observations, and a slow one is
/// seen before its end.
const INTERVAL: Duration = Duration::from_millis(400);

/// Pauses that are needed at the end of a stream for a mean.
const MIN_PAUSES: u32 = 3;

/// Averages the pauses of a stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    /// When the latest piece arrived; `None` if that isn't known.
    last: Option<Duration>,
    sum: Duration,
    pauses: u32,
}

impl Pace {
    /// Records a piece that arrived at a time, after it was waited for since another one. Returns the
    /// mean pause once there is one.
    ///
    /// Pieces for which nobody waited, since the client reads slowly, say nothing of the endpoint.
    pub fn record(&mut self, awaited: Duration, arrived: Duration) -> Option<Duration> {
        let last = self.last.replace(arrived)?;
        let pause = arrived.saturating_sub(last);
        if awaited.saturating_sub(last) * 2 > pause {
            self.last = None;
            return None;
        }
        self.sum += pause;
        self.pauses += 1;
        if self.sum < INTERVAL { None } else { self.take() }
    }

    /// Returns the mean of the pauses that were not returned yet, at the end of the stream.
    pub fn finish(&mut self) -> Option<Duration> {
        if self.pauses < MIN_PAUSES { None } else { self.take() }
    }

    fn take(&mut self) -> Option<Duration> {
        let mean = self.sum.checked_div(self.pauses);
        (self.sum, self.pauses) = (Duration::ZERO, 0);
        mean
    }
}
