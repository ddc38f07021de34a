//! The distance between an engine and an entry.

use wire::Member;

/// The distance between an engine and an entry; nearer ones compare less.
///
/// Data centres of a region are a millisecond apart. Regions are farther apart
/// and may lose their connection for minutes. See `docs/decisions/placement.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reach {
    /// In the entry's own data centre.
    Centre,
    /// In another data centre of the entry's region.
    Region,
    /// In another region.
    Remote,
}

impl Reach {
    /// Returns the distance of a member from an entry in the given data centre and region.
    pub fn between(member: &Member, centre: &str, region: &str) -> Reach {
        if member.region != region {
            return Reach::Remote;
        }
        if member.centre == centre { Reach::Centre } else { Reach::Region }
    }

    /// Returns whether the engine is in another region.
    pub fn is_remote(self) -> bool {
        self == Reach::Remote
    }
}
