//! The members of the fleet, merged from their own descriptions and the platform's VM list.

use std::time::Duration;

use wire::Member;
use wire::id;
use wire::member::Role;
use wire::member::State;

/// All known members of the fleet.
#[derive(Debug, Clone)]
pub struct Roster {
    own: id::Vm,
    /// Sorted by VM.
    members: Vec<Member>,
    /// Observations of the members, in the order of `members`.
    observations: Vec<Observation>,
    /// Tombstones of removed members, the latest last, so that a peer which still
    /// describes them doesn't bring them back.
    tombstones: Vec<Tombstone>,
}

/// Identifies the last known description of a removed member.
#[derive(Debug, Clone)]
struct Tombstone {
    vm: id::Vm,
    incarnation: id::Incarnation,
    version: u64,
}

/// Most tombstones that are kept.
const TOMBSTONES_MAX: usize = 256;

/// What this process observed of a member, beside the member's own description.
#[derive(Debug, Clone, Copy, Default)]
struct Observation {
    /// When the member was last in contact or a newer description of it came.
    last_heard: Duration,
    /// Whether failure detection found the member unreachable.
    is_unreachable: bool,
}

impl Roster {
    /// Returns a roster that contains only the process itself.
    pub fn new(own: Member) -> Roster {
        Roster {
            own: own.vm.clone(),
            members: vec![own],
            observations: vec![Observation::default()],
            tombstones: Vec::new(),
        }
    }

    /// Returns the description of the process itself.
    pub fn own(&self) -> Option<&Member> {
        self.member(&self.own)
    }

    /// Returns all members, sorted by VM.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the member on a VM.
    pub fn member(&self, vm: &str) -> Option<&Member> {
        self.members.get(self.find(vm).ok()?)
    }

    /// Returns the reachable live agents that hold the model or pool `needs`.
    pub fn holders<'a>(&'a self, needs: &'a str) -> impl Iterator<Item = &'a Member> {
        self.reachable().filter(move |member| {
            member.role == Role::Agent
                && member.state == State::Live
                && member.holds.iter().any(|held| held == needs)
        })
    }

    /// Returns the holders of a model or pool to which requests may be sent.
    ///
    /// `assigned` gives what the configuration assigns to a VM. Once all engines that
    /// `needs` is assigned to hold it, holders that are assigned only others are left
    /// out, since they are about to unload it.
    pub fn eligible_holders<'a>(
        &'a self,
        needs: &'a str,
        assigned: impl Fn(&str) -> &'a [id::Model],
    ) -> Vec<&'a Member> {
        let is_rolled_out = self.is_rolled_out(needs, &assigned);
        let is_eligible = |member: &&Member| {
            let models = assigned(&member.vm);
            // An engine without an assignment unloads nothing.
            !is_rolled_out || models.is_empty() || models.iter().any(|model| model == needs)
        };
        self.holders(needs).filter(is_eligible).collect()
    }

    /// Returns whether a model or pool is assigned to at least one reachable live engine
    /// and all such engines hold it; `assigned` gives the assignment of a VM.
    pub fn is_rolled_out<'a>(
        &'a self,
        needs: &str,
        assigned: impl Fn(&str) -> &'a [id::Model],
    ) -> bool {
        let is_assigned =
            |member: &&Member| assigned(&member.vm).iter().any(|model| model == needs);
        let live = self.reachable().filter(|member| member.state == State::Live);
        let mut engines = live.filter(|member| member.role == Role::Agent).filter(is_assigned);
        let holds = |member: &Member| member.holds.iter().any(|held| held == needs);
        engines.next().is_some_and(holds) && engines.all(holds)
    }

    /// Merges a description as [`Roster::merge_at`] does, as received at time zero.
    pub fn merge(&mut self, member: Member) -> bool {
        self.merge_at(member, Duration::ZERO)
    }

    /// Merges a description received at `now` if it is newer than the known one, and
    /// returns whether it was.
    ///
    /// The process's own description is never replaced by what others say of it.
    pub fn merge_at(&mut self, member: Member, now: Duration) -> bool {
        match self.find(&member.vm) {
            Ok(index) => {
                let known = &mut self.members[index];
                if member.vm == self.own || !is_newer(&member, known) {
                    return false;
                }
                *known = member;
                self.observations[index] = Observation { last_heard: now, is_unreachable: false };
            }
            Err(_) if self.is_superseded(&member) => return false,
            Err(index) => {
                self.members.insert(index, member);
                self.observations
                    .insert(index, Observation { last_heard: now, is_unreachable: false });
            }
        }
        true
    }

    /// Records that a member called or answered at `now`, and marks it reachable.
    pub fn touch(&mut self, vm: &str, now: Duration) {
        if let Ok(index) = self.find(vm) {
            let last_heard = self.observations[index].last_heard.max(now);
            self.observations[index] = Observation { last_heard, is_unreachable: false };
        }
    }

    /// Marks a member unreachable until it is in contact or a newer description comes.
    pub fn mark_unreachable(&mut self, vm: &str) {
        if vm == self.own {
            return;
        }
        if let Ok(index) = self.find(vm) {
            self.observations[index].is_unreachable = true;
        }
    }

    /// Ends a network partition when an unreachable member is in contact again: if most
    /// of its data centre is unreachable, marks the whole data centre reachable.
    ///
    /// Returns the members of that data centre, whose earlier suspicions no longer count;
    /// those that are really lost are found unreachable anew. A member that is back with
    /// another incarnation was restarted and not cut off, which says nothing of the others.
    pub fn heal_partition(&mut self, vm: &str, incarnation: id::Incarnation) -> Vec<id::Vm> {
        let Ok(index) = self.find(vm) else { return Vec::new() };
        if !self.observations[index].is_unreachable
            || self.members[index].incarnation != incarnation
        {
            return Vec::new();
        }
        let centre = self.members[index].centre.clone();
        let indices = 0..self.members.len();
        let same: Vec<usize> =
            indices.filter(|index| self.members[*index].centre == centre).collect();
        let unreachable =
            same.iter().filter(|index| self.observations[**index].is_unreachable).count();
        if unreachable * 2 <= same.len() {
            return Vec::new();
        }
        for index in &same {
            self.observations[*index].is_unreachable = false;
        }
        same.into_iter().map(|index| self.members[index].vm.clone()).collect()
    }

    /// Returns whether a member is known and not marked unreachable.
    pub fn is_reachable(&self, vm: &str) -> bool {
        self.find(vm).is_ok_and(|index| !self.observations[index].is_unreachable)
    }

    /// Returns the members that are not marked unreachable, sorted by VM.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        let observed = self.members.iter().zip(&self.observations);
        observed.filter(|(_, observation)| !observation.is_unreachable).map(|(member, _)| member)
    }

    /// Returns the number of members whose own description is known, not only their
    /// entry in the platform's VM list.
    pub fn described_count(&self) -> usize {
        self.members.iter().filter(|member| member.incarnation > 0).count()
    }

    /// Returns the time since a member was last in contact or a newer description of it
    /// came; zero for the process itself, `None` for an unknown member.
    pub fn age(&self, vm: &str, now: Duration) -> Option<Duration> {
        let index = self.find(vm).ok()?;
        if vm == self.own {
            return Some(Duration::ZERO);
        }
        Some(now.saturating_sub(self.observations[index].last_heard))
    }

    /// Changes the process's own description and increments its version.
    pub fn update_own(&mut self, change: impl FnOnce(&mut Member)) {
        let Ok(index) = self.find(&self.own) else { return };
        let own = &mut self.members[index];
        change(own);
        own.version += 1;
    }

    /// Removes a member other than the process itself and leaves a tombstone.
    pub fn remove(&mut self, vm: &str) {
        if vm == self.own {
            return;
        }
        if let Ok(index) = self.find(vm) {
            let member = self.members.remove(index);
            let Member { vm, incarnation, version, .. } = member;
            self.clear_tombstone(&vm);
            self.tombstones.push(Tombstone { vm, incarnation, version });
            self.tombstones.drain(..self.tombstones.len().saturating_sub(TOMBSTONES_MAX));
            self.observations.remove(index);
        }
    }

    /// Drops the tombstone of a removed member that is in contact or listed again.
    pub fn clear_tombstone(&mut self, vm: &str) {
        self.tombstones.retain(|tombstone| tombstone.vm != vm);
    }

    /// Returns whether a description is no newer than the tombstone of its member.
    fn is_superseded(&self, member: &Member) -> bool {
        let is_covered = |tombstone: &Tombstone| {
            (member.incarnation, member.version) <= (tombstone.incarnation, tombstone.version)
        };
        self.tombstones.iter().any(|tombstone| tombstone.vm == member.vm && is_covered(tombstone))
    }

    fn find(&self, vm: &str) -> Result<usize, usize> {
        self.members.binary_search_by(|member| member.vm.as_str().cmp(vm))
    }
}

fn is_newer(member: &Member, known: &Member) -> bool {
    (member.incarnation, member.version) > (known.incarnation, known.version)
}
