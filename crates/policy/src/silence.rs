//! How long an endpoint may stay silent before an attempt is abandoned.
//!
//! Handles the load pattern in which an endpoint accepts a share of its requests, such as 45 in 100,
//! and never answers them, for some seconds, while the deadlines of these requests are longer than
//! that. See `docs/design/silent-endpoints.md`.

use std::time::Duration;

/// Latest times that are kept. One gateway sees some 20 to 100 answers of a service in a minute.
const SAMPLES: usize = 100;

/// Fewest times from which the usual one is known.
const MIN_SAMPLES: usize = 20;

/// The quantile of the times that is called usual, in hundredths. Up to a fifth of the requests may be
/// silent without a change of it, as when an endpoint of three is silent to 45 in 100.
const QUANTILE: usize = 80;

/// An attempt is abandoned after this multiple of the usual time. Measured noise makes responses 2.5
/// times as slow, and an endpoint that is 8 times as slow as usual had better be left.
const MULTIPLE: u32 = 6;

/// No attempt is abandoned before this time: pauses of a small VM are no longer than that, and neither
/// is the detection of a lost packet (200 ms).
const MIN_WAIT: Duration = Duration::from_millis(400);

/// Another attempt is given this multiple of the usual time at least.
const REST_MULTIPLE: u32 = 2;

/// And at least this time.
const MIN_REST: Duration = Duration::from_millis(100);

/// The latest times that endpoints of a service took until something came.
#[derive(Debug, Clone, Default)]
pub struct Times {
    /// In the order in which they came, from `next` on.
    samples: Vec<Duration>,
    /// Index of the oldest one, which is replaced next.
    next: usize,
}

impl Times {
    /// Records a time. That of an attempt that was abandoned counts too: if a whole service is slow,
    /// the usual time rises, and attempts are given more time.
    pub fn record(&mut self, time: Duration) {
        if self.samples.len() < SAMPLES {
            self.samples.push(time);
            return;
        }
        self.samples[self.next] = time;
        self.next = (self.next + 1) % SAMPLES;
    }

    /// Returns the usual time; `None` while too few times are known.
    pub fn usual(&self) -> Option<Duration> {
        if self.samples.len() < MIN_SAMPLES {
            return None;
        }
        let mut samples = self.samples.clone();
        let index = samples.len() * QUANTILE / 100;
        Some(*samples.select_nth_unstable(index).1)
    }
}

/// Returns the time after which an attempt that has got nothing is abandoned, from the usual time
/// and the time that is left until the deadline. `None` if the attempt is not abandoned, since
/// there would be too little time for another one.
pub fn abandon_after(usual: Duration, left: Duration) -> Option<Duration> {
    let wait = usual.saturating_mul(MULTIPLE).max(MIN_WAIT);
    let rest = usual.saturating_mul(REST_MULTIPLE).max(MIN_REST);
    (wait.saturating_add(rest) <= left).then_some(wait)
}
