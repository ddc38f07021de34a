//! Selection of the member descriptions that go into a beat.

use std::time::Duration;

use wire::Member;
use wire::id;
use wire::member::State;

use crate::gossip::Budget;
use crate::roster::Roster;

/// Shortest time between two announcements that the same member is up (flap damping).
const UP_INTERVAL: Duration = Duration::from_secs(10);

/// Sends of each update beyond the logarithm of the fleet's size.
const EXTRA_SENDS: u32 = 2;

/// Approximate size of a description in bytes without its names.
const FIXED_BYTES: usize = 40;

/// Number of members up to which a new revision of a member is sent as an update.
/// In larger fleets that would use up the budget; the revision can be read from the
/// process itself.
const SMALL_FLEET_MEMBERS: usize = 100;

/// Percentage of the budget's burst that is kept for updates.
const RESERVE_PERCENT: usize = 75;

/// Most descriptions in one beat.
const BEAT_MEMBERS_MAX: usize = 256;

/// How a description differs from the one known before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing that other processes need at once.
    Minor,
    /// The member applied another configuration revision.
    Revision,
    /// The member accepts work, or more kinds of work than before.
    Up,
    /// The member accepts no work, or fewer kinds of work than before.
    Down,
}

/// Queue of member updates that are still to be sent in beats.
#[derive(Debug, Clone, Default)]
pub struct Updates {
    /// Sorted by VM.
    updates: Vec<Update>,
    /// The last member that was described in turn, without an update.
    cursor: id::Vm,
}

#[derive(Debug, Clone)]
struct Update {
    vm: id::Vm,
    /// Sends left.
    sends: u32,
    /// Not sent before this time.
    due: Duration,
    /// Whether the update announces the member as up.
    is_up: bool,
    /// When the member was last announced as up, if it was.
    announced_up: Option<Duration>,
}

impl Update {
    /// Merges a further change of the member into the update.
    fn record(&mut self, change: Change, sends: u32, now: Duration) {
        let is_delayed = self.sends > 0 && self.due > now;
        match change {
            Change::Minor => return,
            Change::Revision => self.due = self.due.max(now),
            // The delayed announcement that the member is up was not sent yet, so
            // nobody has to learn that it is down again.
            Change::Down if is_delayed => {
                self.sends = 0;
                return;
            }
            Change::Down => {
                self.due = now;
                self.is_up = false;
            }
            // The update is being sent already, and each send carries the latest description.
            Change::Up if self.is_up && self.sends > 0 && !is_delayed => {}
            Change::Up => {
                let earliest = self.announced_up.map(|announced| announced + UP_INTERVAL);
                self.due = earliest.map_or(now, |earliest| earliest.max(now));
                self.is_up = true;
            }
        }
        self.sends = sends;
    }
}

impl Update {
    /// Returns whether the update has to be kept, even if sent, to delay the next
    /// announcement that the member is up.
    fn is_damping(&self, now: Duration) -> bool {
        self.announced_up.is_some_and(|announced| now < announced + UP_INTERVAL)
    }
}

impl Change {
    /// Compares two descriptions of the same member; `before` is `None` if it was unknown.
    pub fn between(before: Option<&Member>, after: &Member) -> Change {
        let Some(before) = before else { return Change::up_if(after.state == State::Live) };
        if after.state != before.state {
            return Change::up_if(after.state == State::Live);
        }
        if after.holds != before.holds {
            let has_all = before.holds.iter().all(|held| after.holds.contains(held));
            return Change::up_if(has_all);
        }
        let is_same = after.incarnation == before.incarnation
            && after.data == before.data
            && after.control == before.control;
        match is_same {
            false => Change::Up,
            true if after.revision != before.revision => Change::Revision,
            true => Change::Minor,
        }
    }

    fn up_if(is_up: bool) -> Change {
        if is_up { Change::Up } else { Change::Down }
    }
}

impl Updates {
    /// Queues a change of a member; `known` is the number of known members.
    ///
    /// A flapping member can't use up the budget: that it is up is announced at most
    /// once per `UP_INTERVAL`, that it is down at once.
    pub fn record(&mut self, vm: &str, change: Change, known: usize, now: Duration) {
        let is_small = known <= SMALL_FLEET_MEMBERS;
        if change == Change::Minor || (change == Change::Revision && !is_small) {
            return;
        }
        let sends = retransmit_limit(known);
        match self.updates.binary_search_by(|update| update.vm.as_str().cmp(vm)) {
            Ok(index) => self.updates[index].record(change, sends, now),
            Err(index) => {
                let is_up = change == Change::Up;
                let update =
                    Update { vm: vm.to_owned(), sends, due: now, is_up, announced_up: None };
                self.updates.insert(index, update);
            }
        }
    }

    /// Returns the descriptions for the next beat: the process itself, then members with
    /// updates, then others in round-robin order as far as the budget goes.
    pub fn pick(&mut self, roster: &Roster, budget: &mut Budget, now: Duration) -> Vec<Member> {
        let mut batch = Batch { left: budget.available(now), members: Vec::new() };
        self.pick_updates(roster, &mut batch, now);
        batch.left = batch.left.saturating_sub(budget.burst() * RESERVE_PERCENT / 100);
        self.pick_others(roster, &mut batch);
        budget.spend(batch.members.iter().map(size).sum());
        self.updates.retain(|update| update.sends > 0 || update.is_damping(now));
        roster.own().cloned().into_iter().chain(batch.members).collect()
    }

    /// Returns the number of members with an update that is still to be sent.
    pub fn pending(&self) -> usize {
        self.updates.iter().filter(|update| update.sends > 0).count()
    }

    fn pick_updates(&mut self, roster: &Roster, batch: &mut Batch, now: Duration) {
        if batch.left < FIXED_BYTES {
            return;
        }
        let due = |update: &&mut Update| update.sends > 0 && update.due <= now;
        let mut updates: Vec<&mut Update> = self.updates.iter_mut().filter(due).collect();
        updates.sort_by_key(|update| std::cmp::Reverse(update.sends));
        for update in updates {
            let Some(member) = roster.member(&update.vm) else {
                update.sends = 0;
                continue;
            };
            if !batch.push(member) {
                return;
            }
            update.sends -= 1;
            if update.is_up {
                update.announced_up = Some(update.due);
            }
        }
    }

    fn pick_others(&mut self, roster: &Roster, batch: &mut Batch) {
        if batch.left < FIXED_BYTES {
            return;
        }
        let members = roster.members();
        let own = roster.own().map(|own| own.vm.clone()).unwrap_or_default();
        let start = members.partition_point(|member| member.vm <= self.cursor);
        for member in members[start..].iter().chain(&members[..start]) {
            if member.vm == own || member.incarnation == 0 || batch.contains(&member.vm) {
                continue;
            }
            if !batch.push(member) {
                return;
            }
            self.cursor = member.vm.clone();
        }
    }
}

/// The descriptions of other members in one beat.
struct Batch {
    /// Bytes that may still be added.
    left: usize,
    members: Vec<Member>,
}

impl Batch {
    /// Adds a description if there is room and returns whether it was added.
    fn push(&mut self, member: &Member) -> bool {
        let bytes = size(member);
        if bytes > self.left || self.members.len() >= BEAT_MEMBERS_MAX {
            return false;
        }
        self.left -= bytes;
        self.members.push(member.clone());
        true
    }

    fn contains(&self, vm: &str) -> bool {
        self.members.iter().any(|member| member.vm == vm)
    }
}

/// Returns the approximate size of a description in a beat, in bytes.
pub fn size(member: &Member) -> usize {
    let names = member.vm.len() + member.centre.len() + member.region.len();
    let holds: usize = member.holds.iter().map(|held| held.len() + 1).sum();
    FIXED_BYTES + names + holds
}

/// Returns how often each process sends an update, given the number of known members.
///
/// Sending it a logarithmic number of times reaches nearly all processes; the
/// descriptions that beats carry in round-robin order reach the rest.
pub fn retransmit_limit(known: usize) -> u32 {
    (known.max(1) as u64).ilog2() / 2 + EXTRA_SENDS
}
