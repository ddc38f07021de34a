//! What a process is for.

use displaydoc::Display;

/// What a process is for. It decides which sections the settings need.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Role {
    /// entry
    Entry,
    /// agent
    Agent,
}

impl Role {
    pub(crate) const CHOICES: &str = "\"entry\", \"agent\" or \"gateway\"";

    pub(crate) fn parse(text: &str) -> Option<Role> {
        match text {
            "entry" => Some(Role::Entry),
            "agent" => Some(Role::Agent),
            _ => None,
        }
    }
}
