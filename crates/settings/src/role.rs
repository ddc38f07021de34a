//! Roles of processes.

use displaydoc::Display;

/// Role of an entry or agent process. It determines which sections are required.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Role {
    /// entry
    Entry,
    /// agent
    Agent,
}

impl Role {
    /// The choices, including the role of a gateway, as the remedy in a message.
    pub(crate) const CHOICES: &str = "\"entry\", \"agent\" or \"gateway\"";

    /// Returns the role with a name, `None` if there is no such role.
    pub(crate) fn parse(text: &str) -> Option<Role> {
        match text {
            "entry" => Some(Role::Entry),
            "agent" => Some(Role::Agent),
            _ => None,
        }
    }
}
