//! How much of a service's recent traffic shares one part of a prompt.
//!
//! All gateways prefer the same endpoint for a part. If a part becomes popular at once, they
//! would send more requests to its endpoint than it can take before the first of them learns
//! of its load, so the requests of such a part are spread over several endpoints from the
//! start. See `docs/decisions/platform.md`.

use std::time::Duration;

/// Time in which the weight of a request halves: long enough for one gateway of a large fleet to
/// see a popular part twice, and short compared to the time for which parts are popular.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Most parts that are counted. When there are more, those seen least are dropped.
const MAX_PARTS: usize = 4_096;

/// Counts below this are dropped first when there are too many parts.
const MIN_COUNT: f64 = 0.25;

/// Requests without the part that are assumed to have been seen besides the counted ones, so that
/// a part isn't popular because it is one of the first few.
const PRIOR_REQUESTS: f64 = 10.0;

/// Requests of one part that show nothing: each part is seen for the first time once.
const FIRST_REQUESTS: f64 = 1.0;

/// Counts of recent requests by part, older ones weighing less.
#[derive(Debug, Clone, Default)]
pub struct Popularity {
    /// Sorted by part.
    parts: Vec<(u64, Count)>,
    total: Count,
}

/// An exponentially decaying count.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    value: f64,
    at: Duration,
}

impl Popularity {
    /// Counts a request with a part.
    pub fn record(&mut self, part: u64, now: Duration) {
        self.total.add(now);
        match self.parts.binary_search_by_key(&part, |known| known.0) {
            Ok(index) => self.parts[index].1.add(now),
            Err(_) => {
                if self.parts.len() >= MAX_PARTS {
                    self.drop_rare(now);
                }
                let index = self.parts.partition_point(|known| known.0 < part);
                let mut count = Count::default();
                count.add(now);
                self.parts.insert(index, (part, count));
            }
        }
    }

    /// Returns the estimated share of a part in all requests, from 0 to 1; 0 for one that was
    /// seen only once.
    pub fn share(&self, part: u64, now: Duration) -> f64 {
        let Ok(index) = self.parts.binary_search_by_key(&part, |known| known.0) else {
            return 0.0;
        };
        let total = self.total.value(now) + PRIOR_REQUESTS;
        let repeated = self.parts[index].1.value(now) - FIRST_REQUESTS;
        (repeated / total).clamp(0.0, 1.0)
    }

    /// Drops parts that were seen least, at least half of them.
    fn drop_rare(&mut self, now: Duration) {
        self.parts.retain(|(_, count)| count.value(now) >= MIN_COUNT);
        if self.parts.len() > MAX_PARTS / 2 {
            let mut values: Vec<f64> = self.parts.iter().map(|(_, it)| it.value(now)).collect();
            let middle = values.len() / 2;
            let median = *values.select_nth_unstable_by(middle, f64::total_cmp).1;
            self.parts.retain(|(_, count)| count.value(now) > median);
        }
    }
}

impl Count {
    fn add(&mut self, now: Duration) {
        self.value = self.value(now) + 1.0;
        self.at = now;
    }

    fn value(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.value * 0.5f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
