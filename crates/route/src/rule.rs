//! Routes.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Sends requests of a host below a prefix to services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    /// Its name in logs and metrics.
    pub name: Arc<str>,
    /// The host, in lower case.
    pub host: String,
    /// Where a path has to begin; begins and ends with a slash.
    pub prefix: String,
    /// The services with their weights; at least one.
    pub targets: Vec<Target>,
    /// What may be repeated.
    pub kind: Kind,
    /// Engines to which one request may be sent.
    pub attempts: u32,
    /// The longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Within this time an answer, or the first event of a stream, is on time.
    pub objective: Duration,
    /// The rank of its work; 0 is the most urgent.
    pub rank: u8,
    /// Whether no key is asked for.
    pub is_public: bool,
}

/// One service of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: Arc<str>,
    /// Its weight among the route's services.
    pub weight: u32,
}

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Runs as often as needed.
    Idempotent,
    /// Runs once at most.
    Mutating,
    /// A series of events, of which one request runs once at most.
    Stream {
        /// Whether another engine can go on after the last event.
        is_resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Stream { is_resumable: true })
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

impl Rule {
    /// Chooses a service by weight; the same request gets the same one everywhere.
    pub fn service(&self, request: &str) -> &Arc<str> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut point = xxh3_64(request.as_bytes()) % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return &target.service;
            }
            point -= weight;
        }
        &self.targets[self.targets.len() - 1].service
    }
}
