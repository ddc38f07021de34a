//! Kinds of requests, one per route type.

use std::time::Duration;

/// The kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Idempotent,
    Mutating,
    /// A stream that another endpoint may resume.
    ResumableStream,
    Stream,
}

impl Kind {
    pub const ALL: [Kind; 4] =
        [Kind::Idempotent, Kind::Mutating, Kind::ResumableStream, Kind::Stream];

    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::ResumableStream)
    }

    pub fn is_stream(self) -> bool {
        matches!(self, Kind::ResumableStream | Kind::Stream)
    }

    /// Returns the timeout of the route.
    pub fn timeout(self) -> Duration {
        Duration::from_millis(if self.is_stream() { 4_000 } else { 1_200 })
    }

    pub fn prefix(self) -> &'static str {
        match self {
            Kind::Idempotent => "/look/",
            Kind::Mutating => "/book/",
            Kind::ResumableStream => "/tell/",
            Kind::Stream => "/once/",
        }
    }

    pub fn of(path: &str) -> Kind {
        let found = Kind::ALL.into_iter().find(|kind| path.starts_with(kind.prefix()));
        found.unwrap_or(Kind::Idempotent)
    }
}
