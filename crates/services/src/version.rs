//! Versions of a store, which order changes also if the store goes back.
//!
//! A store that is restored from a copy gives its revisions out again for other changes. A
//! [`Version`] therefore holds the number of restores above the revision: any change after a
//! restore is newer than all before it, and equal versions are of the same change. A store that
//! is never restored, or doesn't tell, has revisions as versions.
//! See `docs/decisions/restores.md`.

/// A change of a store, ordered after all changes before it.
pub type Version = u64;

/// Bits of the revision; above them is the number of restores. At a thousand changes per second
/// revisions last for 34 years.
const REVISION_BITS: u32 = 40;

/// Returns the version of a revision after a number of restores; `None` if one of them is too large.
pub fn version(restores: u64, revision: u64) -> Option<Version> {
    let fits = revision >> REVISION_BITS == 0 && restores >> (u64::BITS - REVISION_BITS) == 0;
    fits.then_some(restores << REVISION_BITS | revision)
}

/// Returns the number of restores before a version.
pub fn restores(version: Version) -> u64 {
    version >> REVISION_BITS
}

/// Returns the store's revision of a version.
pub fn revision(version: Version) -> u64 {
    version & ((1 << REVISION_BITS) - 1)
}
