//! Hashes by which two processes detect that their views of the fleet differ.
//!
//! They cover what decides on placement and orders: each member's VM, incarnation,
//! state and the models or pools that it holds. Load and revision change too often
//! to be covered. A member known only from the platform's VM list is left out, since
//! every process reads that list.

use wire::Member;
use wire::member::State;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::roster::Roster;

/// Target number of members per bucket.
const MEMBERS_PER_BUCKET: usize = 24;

/// Bounds of the number of buckets.
const BUCKETS_MIN: usize = 8;
const BUCKETS_MAX: usize = 128;

/// Returns one hash of the whole view.
pub fn whole(roster: &Roster) -> u32 {
    described(roster).fold(0, |sum, member| sum ^ fingerprint(member))
}

/// Returns one hash per bucket of members; the number of buckets grows with the fleet.
pub fn buckets(roster: &Roster) -> Vec<u32> {
    let count = (roster.described_count() / MEMBERS_PER_BUCKET)
        .next_power_of_two()
        .clamp(BUCKETS_MIN, BUCKETS_MAX);
    hashes(roster, count)
}

/// Returns the hashes of the members in those buckets that differ from a peer's buckets.
pub fn differing(roster: &Roster, theirs: &[u32]) -> Vec<u32> {
    let count = theirs.len();
    if count == 0 {
        return Vec::new();
    }
    let ours = hashes(roster, count);
    let differs = |member: &&Member| {
        let bucket = bucket(member, count);
        ours[bucket] != theirs[bucket]
    };
    described(roster).filter(differs).map(fingerprint).collect()
}

/// Returns at most `most` of a peer's member hashes that match no local description.
///
/// Their order depends on the local view, so that the limit leaves out other members
/// each time.
pub fn missing(roster: &Roster, theirs: &[u32], most: usize) -> Vec<u32> {
    let mut ours: Vec<u32> = described(roster).map(fingerprint).collect();
    ours.sort_unstable();
    let order = ours.iter().fold(0, |sum, hash| sum ^ hash);
    let mut missing = theirs.to_vec();
    missing.retain(|hash| ours.binary_search(hash).is_err());
    missing.sort_by_key(|hash| hash ^ order);
    missing.truncate(most);
    missing
}

/// Returns the members whose descriptions have these hashes.
pub fn members(roster: &Roster, wanted: &[u32]) -> Vec<Member> {
    let mut wanted = wanted.to_vec();
    wanted.sort_unstable();
    let is_wanted = |member: &&Member| wanted.binary_search(&fingerprint(member)).is_ok();
    described(roster).filter(is_wanted).cloned().collect()
}

fn hashes(roster: &Roster, count: usize) -> Vec<u32> {
    let mut hashes = vec![0; count];
    for member in described(roster) {
        hashes[bucket(member, count)] ^= fingerprint(member);
    }
    hashes
}

fn described(roster: &Roster) -> impl Iterator<Item = &Member> {
    roster.members().iter().filter(|member| member.incarnation > 0)
}

fn bucket(member: &Member, count: usize) -> usize {
    let count = count as u64;
    usize::try_from(xxh3_64(member.vm.as_bytes()) % count).unwrap_or_default()
}

/// Returns the hash of a member's description. Addresses are fixed for an
/// incarnation, so they need not be covered.
fn fingerprint(member: &Member) -> u32 {
    let identity = xxh3_64_with_seed(member.vm.as_bytes(), member.incarnation);
    let with_state = xxh3_64_with_seed(&[state_byte(member.state)], identity);
    let fold = |hash, held: &String| xxh3_64_with_seed(held.as_bytes(), hash);
    let [a, b, c, d, ..] = member.holds.iter().fold(with_state, fold).to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

fn state_byte(state: State) -> u8 {
    match state {
        State::Starting => 0,
        State::Live => 1,
        State::Leaving => 2,
    }
}
