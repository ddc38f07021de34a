//! Members merged from what they say of themselves and from the platform's list.

use std::time::Duration;

use wire::Member;
use wire::id;
use wire::member::Role;
use wire::member::State;

/// Every member known, sorted by VM.
#[derive(Debug, Clone)]
pub struct Roster {
    own: id::Vm,
    members: Vec<Member>,
    /// What was observed of each member, in the order of `members`.
    sights: Vec<Sight>,
    /// Members that were forgotten, the latest last, so that a peer which still
    /// describes them doesn't bring them back.
    gone: Vec<Gone>,
}

/// The last description of a member that was forgotten.
#[derive(Debug, Clone)]
struct Gone {
    vm: id::Vm,
    incarnation: id::Incarnation,
    version: u64,
}

/// Forgotten members that are remembered.
const GONE: usize = 256;

/// What was observed of a member beside what it says of itself.
#[derive(Debug, Clone, Copy, Default)]
struct Sight {
    /// When it was last heard of.
    heard: Duration,
    /// Whether nobody reaches it.
    is_silent: bool,
}

impl Roster {
    /// A roster that knows only its own process.
    pub fn new(own: Member) -> Roster {
        Roster {
            own: own.vm.clone(),
            members: vec![own],
            sights: vec![Sight::default()],
            gone: Vec::new(),
        }
    }

    /// The member's own description.
    pub fn own(&self) -> Option<&Member> {
        self.member(&self.own)
    }

    /// All members, sorted by VM.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The member of a VM.
    pub fn member(&self, vm: &str) -> Option<&Member> {
        self.members.get(self.find(vm).ok()?)
    }

    /// Reachable agents that take work and hold a model or pool.
    pub fn holders<'a>(&'a self, needs: &'a str) -> impl Iterator<Item = &'a Member> {
        self.reachable().filter(move |member| {
            member.role == Role::Agent
                && member.state == State::Live
                && member.holds.iter().any(|held| held == needs)
        })
    }

    /// The holders of a model or pool that requests may go to. Once all engines that
    /// are to hold it do, this leaves out those that are to hold others: they unload it.
    pub fn keepers<'a>(
        &'a self,
        needs: &'a str,
        assigned: impl Fn(&str) -> &'a [id::Model],
    ) -> Vec<&'a Member> {
        let is_settled = self.is_settled(needs, &assigned);
        let keeps = |member: &&Member| {
            let models = assigned(&member.vm);
            // An engine without an assignment keeps what it holds.
            !is_settled || models.is_empty() || models.iter().any(|model| model == needs)
        };
        self.holders(needs).filter(keeps).collect()
    }

    /// Whether some reachable engine is to hold a model and all of them hold it.
    pub fn is_settled<'a>(
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

    /// Takes in a description if it is newer than what is known; says whether it was.
    pub fn merge(&mut self, member: Member) -> bool {
        self.hear(member, Duration::ZERO)
    }

    /// Takes in a description that came at a time, if it is newer than what is
    /// known; says whether it was. What a process says of itself goes before
    /// what others say of it.
    pub fn hear(&mut self, member: Member, now: Duration) -> bool {
        match self.find(&member.vm) {
            Ok(index) => {
                let known = &mut self.members[index];
                if member.vm == self.own || !is_newer(&member, known) {
                    return false;
                }
                *known = member;
                self.sights[index] = Sight { heard: now, is_silent: false };
            }
            Err(_) if self.is_gone(&member) => return false,
            Err(index) => {
                self.members.insert(index, member);
                self.sights.insert(index, Sight { heard: now, is_silent: false });
            }
        }
        true
    }

    /// Notes that a member answered or called at a time.
    pub fn touch(&mut self, vm: &str, now: Duration) {
        if let Ok(index) = self.find(vm) {
            let heard = self.sights[index].heard.max(now);
            self.sights[index] = Sight { heard, is_silent: false };
        }
    }

    /// Notes that nobody reaches a member; hearing of it anew ends this.
    pub fn silence(&mut self, vm: &str) {
        if vm == self.own {
            return;
        }
        if let Ok(index) = self.find(vm) {
            self.sights[index].is_silent = true;
        }
    }

    /// Takes a member that was silent and shows itself as the end of a cut: if
    /// most of its data centre is silent, all of that is reachable again. Gives
    /// those, whose earlier suspicions are void; who is really gone is found
    /// silent anew. A member that shows itself in another run was lost and not
    /// cut off, which says nothing of its neighbours.
    pub fn reunite(&mut self, vm: &str, incarnation: id::Incarnation) -> Vec<id::Vm> {
        let Ok(index) = self.find(vm) else { return Vec::new() };
        if !self.sights[index].is_silent || self.members[index].incarnation != incarnation {
            return Vec::new();
        }
        let centre = self.members[index].centre.clone();
        let indices = 0..self.members.len();
        let same: Vec<usize> =
            indices.filter(|index| self.members[*index].centre == centre).collect();
        let silent = same.iter().filter(|index| self.sights[**index].is_silent).count();
        if silent * 2 <= same.len() {
            return Vec::new();
        }
        for index in &same {
            self.sights[*index].is_silent = false;
        }
        same.into_iter().map(|index| self.members[index].vm.clone()).collect()
    }

    /// Whether a member is known and was not found silent.
    pub fn is_reachable(&self, vm: &str) -> bool {
        self.find(vm).is_ok_and(|index| !self.sights[index].is_silent)
    }

    /// Members that were not found silent, sorted by VM.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        let seen = self.members.iter().zip(&self.sights);
        seen.filter(|(_, sight)| !sight.is_silent).map(|(member, _)| member)
    }

    /// Members that described themselves, not only the platform's list.
    pub fn described(&self) -> usize {
        self.members.iter().filter(|member| member.incarnation > 0).count()
    }

    /// Time since a member was last heard of, zero for the own process.
    pub fn age(&self, vm: &str, now: Duration) -> Option<Duration> {
        let index = self.find(vm).ok()?;
        if vm == self.own {
            return Some(Duration::ZERO);
        }
        Some(now.saturating_sub(self.sights[index].heard))
    }

    /// Changes the process's own description, which then counts as newer.
    pub fn update_own(&mut self, change: impl FnOnce(&mut Member)) {
        let Ok(index) = self.find(&self.own) else { return };
        let own = &mut self.members[index];
        change(own);
        own.version += 1;
    }

    /// Forgets a member.
    pub fn remove(&mut self, vm: &str) {
        if vm == self.own {
            return;
        }
        if let Ok(index) = self.find(vm) {
            let member = self.members.remove(index);
            let Member { vm, incarnation, version, .. } = member;
            self.revive(&vm);
            self.gone.push(Gone { vm, incarnation, version });
            self.gone.drain(..self.gone.len().saturating_sub(GONE));
            self.sights.remove(index);
        }
    }

    /// Lets a forgotten member be described again, since it showed itself.
    pub fn revive(&mut self, vm: &str) {
        self.gone.retain(|gone| gone.vm != vm);
    }

    fn is_gone(&self, member: &Member) -> bool {
        let is_older =
            |gone: &Gone| (member.incarnation, member.version) <= (gone.incarnation, gone.version);
        self.gone.iter().any(|gone| gone.vm == member.vm && is_older(gone))
    }

    fn find(&self, vm: &str) -> Result<usize, usize> {
        self.members.binary_search_by(|member| member.vm.as_str().cmp(vm))
    }
}

fn is_newer(member: &Member, known: &Member) -> bool {
    (member.incarnation, member.version) > (known.incarnation, known.version)
}
