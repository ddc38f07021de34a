//! Kinds of engines.

use displaydoc::Display;

/// Kind of an engine. A plain engine has no cache and takes no orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Kind {
    /// model
    Model,
    /// plain
    Plain,
}

impl Kind {
    /// The choices, as the remedy in a message.
    pub(crate) const CHOICES: &str = "\"model\" or \"plain\"";

    /// Returns the kind with a name, `None` if there is no such kind.
    pub(crate) fn parse(text: &str) -> Option<Kind> {
        match text {
            "model" => Some(Kind::Model),
            "plain" => Some(Kind::Plain),
            _ => None,
        }
    }
}
