//! What a gateway itself knows of versions.

use std::time::Duration;

use crate::origin::Segment;

/// What a gateway knows of versions, from the announcements of endpoints.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outlook {
    /// The versions that were announced lately.
    pub versions: Segment,
    /// Time since it first read the announcements in the present history of the store; a store
    /// that comes back from a copy begins another history.
    pub age: Duration,
    /// Whether it has known no other history.
    pub is_first: bool,
}

impl Outlook {
    /// Returns the versions of a service.
    pub(crate) fn versions(&self, service: &str) -> impl Iterator<Item = &str> {
        let rows = self.versions.rows.iter().filter(move |row| row.service == service);
        rows.map(|row| row.version.as_str())
    }
}
