//! Routing rules.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// A routing rule: sends requests for a host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    /// Its name in logs and metrics.
    pub name: Arc<str>,
    /// The host, in lower case.
    pub host: String,
    /// The prefix of the path; it begins and ends with a slash.
    pub prefix: String,
    /// The services with their weights; at least one.
    pub targets: Vec<Target>,
    /// The kind of the requests, which determines whether they may be repeated.
    pub kind: Kind,
    /// Most endpoints to which one request may be sent.
    pub attempts: u32,
    /// Longest time until the response to a request is complete.
    pub timeout: Duration,
    /// Target for the time until the response, or the first event of a stream.
    pub objective: Duration,
    /// The rank of its requests; 0 is the most urgent.
    pub rank: u8,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// A service to which a rule sends requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The name of the service.
    pub service: Arc<str>,
    /// Its weight among the services of the rule.
    pub weight: u32,
}

/// The kind of a request, which determines whether it may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// May run once at most.
    Mutating,
    /// The response is an event stream. May run once at most, unless it is resumable.
    Stream {
        /// Whether another engine can resume the stream after the last event.
        is_resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Stream { is_resumable: true })
    }

    /// Whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

impl Rule {
    /// Chooses a service by weight and the hash of the request's id, so that every gateway chooses
    /// the same one for the same request.
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
