//! The version of a member's description.

use wire::Member;
use wire::id;

/// Identifies a description that a member gave of itself; later ones compare greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Edition {
    incarnation: id::Incarnation,
    version: u64,
}

impl Edition {
    /// Returns the edition of a description.
    pub fn of(member: &Member) -> Edition {
        Edition { incarnation: member.incarnation, version: member.version }
    }
}
