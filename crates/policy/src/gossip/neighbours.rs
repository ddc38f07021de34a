//! The few members with which a process exchanges beats.
//!
//! Opening a connection costs more bytes than a beat, so neighbours stay for a
//! while. One of them is replaced from time to time, so that the graph of
//! neighbours keeps changing and a network partition heals.

use std::time::Duration;

use wire::Member;
use wire::id;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::roster::Roster;

/// Number of neighbours of one process.
pub const DEGREE: usize = 6;

/// Time between two replacements of a neighbour.
const ROTATION_INTERVAL: Duration = Duration::from_secs(10);

/// The neighbours of one process, oldest first.
#[derive(Debug, Clone)]
pub struct Neighbours {
    own: id::Vm,
    vms: Vec<id::Vm>,
    /// Index of the neighbour for the next beat, modulo the number of neighbours.
    next: usize,
    rotated_at: Duration,
}

impl Neighbours {
    /// Returns an empty set of neighbours for the process on the VM `own`.
    pub fn new(own: &str) -> Neighbours {
        Neighbours { own: own.to_owned(), vms: Vec::new(), next: 0, rotated_at: Duration::ZERO }
    }

    /// Drops neighbours that are unreachable or no longer members, replaces one if
    /// that is due, and fills up with members chosen at random from `seed`.
    pub fn refresh(&mut self, roster: &Roster, seed: u64, now: Duration) {
        self.vms.retain(|vm| roster.is_reachable(vm));
        if now.saturating_sub(self.rotated_at) >= ROTATION_INTERVAL {
            self.rotated_at = now;
            self.rotate(roster, seed);
        }
        let missing = DEGREE.saturating_sub(self.vms.len());
        if missing > 0 {
            let chosen = self.choose(roster, seed, missing, |vm| roster.is_reachable(vm));
            self.vms.extend(chosen);
        }
    }

    /// Returns the neighbour for the next beat, in round-robin order.
    pub fn next_peer(&mut self) -> Option<&id::Vm> {
        let index = self.next.checked_rem(self.vms.len())?;
        self.next = index + 1;
        self.vms.get(index)
    }

    /// Returns all neighbours, for changes that have to be sent to all at once.
    pub fn all(&self) -> &[id::Vm] {
        &self.vms
    }

    /// Replaces the oldest neighbour by any other member and makes that the next
    /// one. An unreachable member may be chosen too: this is how the sides of a
    /// network partition find each other again.
    fn rotate(&mut self, roster: &Roster, seed: u64) {
        let Some(vm) = self.choose(roster, seed, 1, |_| true).pop() else { return };
        if self.vms.len() >= DEGREE {
            self.vms.remove(0);
        }
        self.next = self.vms.len();
        self.vms.push(vm);
    }

    fn choose(
        &self,
        roster: &Roster,
        seed: u64,
        count: usize,
        is_wanted: impl Fn(&str) -> bool,
    ) -> Vec<id::Vm> {
        let is_new = |member: &&Member| member.vm != self.own && !self.vms.contains(&member.vm);
        let others = roster.members().iter().filter(is_new);
        let wanted = others.map(|member| member.vm.as_str()).filter(|vm| is_wanted(vm));
        let mut ranked: Vec<(u64, &str)> =
            wanted.map(|vm| (xxh3_64_with_seed(vm.as_bytes(), seed), vm)).collect();
        ranked.sort_unstable();
        ranked.into_iter().take(count).map(|(_, vm)| vm.to_owned()).collect()
    }
}
