//! Selection of the processes that watch the key-value service, without a coordinator.
//!
//! A pending watch counts as a call and the service's rate limits grow more slowly than
//! the fleet, so a few processes per data centre watch and all others learn new revisions
//! from their peers. Processes whose views of the members differ for a while may select a
//! few more or other watchers, which does no harm.

use wire::Member;
use wire::member::State;
use xxhash_rust::xxh3::xxh3_64;

/// Number of watchers in each data centre: two, since one may fail unnoticed.
pub const PER_CENTRE: usize = 2;

/// Returns whether a process watches: by the hash of its VM's name it is among the first
/// `PER_CENTRE` of its data centre.
///
/// Ready processes rank before others, so that a watch isn't left to a process that
/// starts or leaves. A member known only from the platform's VM list counts as ready:
/// when all processes start at once, each would otherwise know only itself as ready and
/// watch. The caller leaves out unreachable members.
pub fn is_watcher<'a>(own: &Member, members: impl IntoIterator<Item = &'a Member>) -> bool {
    let is_ready = |member: &Member| member.incarnation == 0 || member.state == State::Live;
    let rank = |member: &Member| (!is_ready(member), hash(member));
    let own_rank = rank(own);
    let same_centre = |member: &&Member| member.centre == own.centre && member.vm != own.vm;
    let others = members.into_iter().filter(same_centre);
    let before = others.filter(|member| rank(member) < own_rank);
    before.take(PER_CENTRE).count() < PER_CENTRE
}

fn hash(member: &Member) -> u64 {
    xxh3_64(member.vm.as_bytes())
}
