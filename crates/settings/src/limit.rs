//! Limits of one process.

use std::time::Duration;

use crate::fault::Fault;
use crate::key;
use crate::section::Section;

/// The range of a limit, including both ends, and its default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Range {
    /// Smallest value allowed.
    pub min: u64,
    /// Largest value allowed.
    pub max: u64,
    /// Value if the key is absent.
    pub default: u64,
}

/// Range of `body_bytes`, in bytes.
pub const BODY_BYTES: Range = Range { min: 1_024, max: 67_108_864, default: 4_194_304 };

/// Range of `header_timeout_ms`, in milliseconds.
pub const HEADER_TIMEOUT_MS: Range = Range { min: 100, max: 60_000, default: 5_000 };

/// Range of `connections`, in connections.
pub const CONNECTIONS: Range = Range { min: 16, max: 65_536, default: 4_096 };

/// Range of `stop_grace_ms`, in milliseconds.
pub const STOP_GRACE_MS: Range = Range { min: 1_000, max: 3_600_000, default: 30_000 };

/// Range of `resume_grace_ms`, in milliseconds.
pub const RESUME_GRACE_MS: Range = Range { min: 0, max: 60_000, default: 10_000 };

/// Range of `workers`, in threads.
pub const WORKERS: Range = Range { min: 1, max: 64, default: 2 };

/// Limits of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time in which a caller must send the headers of a request.
    pub header_timeout: Duration,
    /// Most connections that are open at the same time.
    pub connections: usize,
    /// Time for which requests in flight may continue after a request to stop.
    pub stop_grace: Duration,
    /// Time for which an agent continues an answer after the entry's connection broke.
    pub resume_grace: Duration,
    /// Number of worker threads of the HTTP server.
    pub workers: usize,
}

impl Limit {
    /// Reads the section; a limit that is absent or has a fault gets its default.
    pub(crate) fn read(section: &Section<'_>, faults: &mut Vec<Fault>) -> Option<Limit> {
        section.check_keys(&[key::LIMIT], faults);
        let body_bytes = number(section, "body_bytes", BODY_BYTES, faults);
        let header_timeout_ms = number(section, "header_timeout_ms", HEADER_TIMEOUT_MS, faults);
        let connections = number(section, "connections", CONNECTIONS, faults);
        let stop_grace_ms = number(section, "stop_grace_ms", STOP_GRACE_MS, faults);
        let resume_grace_ms = number(section, "resume_grace_ms", RESUME_GRACE_MS, faults);
        let workers = number(section, "workers", WORKERS, faults);
        Some(Limit {
            body_bytes: usize::try_from(body_bytes).ok()?,
            header_timeout: Duration::from_millis(header_timeout_ms),
            connections: usize::try_from(connections).ok()?,
            stop_grace: Duration::from_millis(stop_grace_ms),
            resume_grace: Duration::from_millis(resume_grace_ms),
            workers: usize::try_from(workers).ok()?,
        })
    }
}

fn number(section: &Section<'_>, key: &str, range: Range, faults: &mut Vec<Fault>) -> u64 {
    section.number(key, range.min, range.max, faults).unwrap_or(range.default)
}
