//! The distance between an engine and an entry.

use wire::Member;

/// The distance between an engine and an entry; nearer ones compare less.
///
/// Data centres of a region are a millisecond apart. Regions are farther apart
/// and may lose their connection for minutes. See `docs/decisions/placement.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the entry's own data centre.
    Centre,
    /// In another data centre of the entry's region.
    Region,
    /// In another region.
    Remote,
}

impl Distance {
    /// Returns the distance of a member from an entry in the given data centre and region.
    pub fn between(member: &Member, centre: &str, region: &str) -> Distance {
        if member.region != region {
            return Distance::Remote;
        }
        if member.centre == centre { Distance::Centre } else { Distance::Region }
    }

    /// Returns whether the engine is in another region.
    pub fn is_remote(self) -> bool {
        self == Distance::Remote
    }
}
