//! Kinds of requests.

use std::time::Duration;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Look,
    Book,
    /// A stream that may go on elsewhere.
    Tell,
    Once,
}

impl Kind {
    pub const ALL: [Kind; 4] = [Kind::Look, Kind::Book, Kind::Tell, Kind::Once];

    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Look | Kind::Tell)
    }

    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Tell | Kind::Once)
    }

    /// The time that the route allows.
    pub fn time(self) -> Duration {
        Duration::from_millis(if self.is_stream() { 4_000 } else { 1_200 })
    }

    pub fn prefix(self) -> &'static str {
        match self {
            Kind::Look => "/look/",
            Kind::Book => "/book/",
            Kind::Tell => "/tell/",
            Kind::Once => "/once/",
        }
    }

    pub fn of(path: &str) -> Kind {
        let found = Kind::ALL.into_iter().find(|kind| path.starts_with(kind.prefix()));
        found.unwrap_or(Kind::Look)
    }
}
