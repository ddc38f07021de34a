//! Network partitions: a part of the fleet is cut off for minutes, then it is connected again.

use std::time::Duration;

use policy::gossip::Budget;
use policy::gossip::Change;
use policy::gossip::Neighbours;
use policy::gossip::Suspect;
use policy::gossip::Suspicion;
use policy::gossip::Updates;
use policy::gossip::budget;
use policy::revision::Offer;
use policy::revision::Source;
use policy::revision::Tracker;
use policy::roster::Roster;
use wire::Member;
use wire::id;

const SIZE: usize = 48;

/// Time between two beats of a process; all processes send theirs one after the other.
const BEAT: Duration = Duration::from_secs(1);

/// Start and end of the partition, and when all members have to be reachable again.
const PARTITION_START: Duration = Duration::from_secs(30);
const PARTITION_END: Duration = Duration::from_secs(270);
const RECOVERED: Duration = Duration::from_secs(420);

/// Time after the start of the partition within which all processes detect it.
const DETECTION_TIME: Duration = Duration::from_secs(60);

/// Most suspicions in a beat.
const SUSPECTS_MAX: usize = 16;

struct Process {
    roster: Roster,
    suspicion: Suspicion,
    neighbours: Neighbours,
    updates: Updates,
    budget: Budget,
    tracker: Tracker,
}

impl Process {
    fn new(own: usize) -> Process {
        Process {
            roster: super::roster(own, SIZE),
            suspicion: Suspicion::default(),
            neighbours: Neighbours::new(&super::member(own).vm),
            updates: Updates::default(),
            budget: Budget::new(budget::RATE, budget::BURST, super::START),
            tracker: Tracker::new(super::START),
        }
    }

    /// Marks the members unreachable that did not refute their suspicion in time.
    fn detect_unreachable(&mut self, now: Duration) {
        self.suspicion.expire(now);
        for vm in self.suspicion.unreachable(SIZE, now) {
            self.roster.mark_unreachable(&vm);
        }
    }

    fn own(&self) -> Member {
        self.roster.own().unwrap().clone()
    }

    /// Handles a beat of a peer, as the controllers do.
    fn handle_beat(
        &mut self,
        members: Vec<Member>,
        suspects: &[Suspect],
        revision: id::Revision,
        now: Duration,
    ) {
        let peer = members[0].clone();
        if !self.roster.is_reachable(&peer.vm) {
            self.roster.update_own(|_| ());
            for vm in self.roster.heal_partition(&peer.vm, peer.incarnation) {
                self.suspicion.clear(&vm);
            }
        }
        for member in members {
            self.handle_member(member, now);
        }
        self.roster.touch(&peer.vm, now);
        self.suspicion.clear(&peer.vm);
        for suspect in suspects {
            self.handle_suspect(suspect, now);
        }
        let before = self.tracker.in_force();
        if revision > before {
            self.tracker.accept(&Offer {
                revision,
                source: Source::Peer(peer.vm),
                is_intact: true,
            });
        }
        assert!(self.tracker.in_force() >= before, "a revision was reverted");
    }

    fn handle_member(&mut self, member: Member, now: Duration) {
        let was_unreachable = !self.roster.is_reachable(&member.vm);
        if !self.roster.merge_at(member.clone(), now) {
            return;
        }
        if was_unreachable {
            self.roster.update_own(|_| ());
        }
        if self.suspicion.refute(&member) || was_unreachable {
            self.updates.record(&member.vm, Change::Up, SIZE, now);
        }
    }

    fn handle_suspect(&mut self, suspect: &Suspect, now: Duration) {
        let known = self.roster.member(&suspect.vm).unwrap().clone();
        if known.vm == self.own().vm {
            if suspect.version >= known.version {
                self.roster.update_own(|_| ());
            }
            return;
        }
        if self.roster.is_reachable(&known.vm) {
            self.suspicion.record_report(suspect, &known, 3, now);
        }
    }

    fn unreachable(&self) -> impl Iterator<Item = &Member> {
        self.roster.members().iter().filter(|member| !self.roster.is_reachable(&member.vm))
    }
}

struct Fleet {
    processes: Vec<Process>,
    is_cut_off: fn(&Member) -> bool,
}

impl Fleet {
    fn new(is_cut_off: fn(&Member) -> bool) -> Fleet {
        Fleet { processes: (0..SIZE).map(Process::new).collect(), is_cut_off }
    }

    fn run(&mut self, mut watch: impl FnMut(&mut Fleet, Duration)) {
        let mut now = super::START;
        while now < RECOVERED {
            now += BEAT;
            for own in 0..SIZE {
                self.beat(own, now);
            }
            watch(self, now);
        }
    }

    fn beat(&mut self, own: usize, now: Duration) {
        let process = &mut self.processes[own];
        process.detect_unreachable(now);
        let seed = now.as_secs() << 32 | own as u64;
        process.neighbours.refresh(&process.roster, seed, now);
        let Some(vm) = process.neighbours.next_peer().cloned() else { return };
        let peer: usize = vm[3..].parse().unwrap();
        if !self.is_linked(own, peer, now) {
            let process = &mut self.processes[own];
            let member = process.roster.member(&vm).unwrap().clone();
            if !process.roster.is_reachable(&vm) {
                return;
            }
            // A failed beat is retried once.
            process.suspicion.record_failure(&member, 3, now);
            process.suspicion.record_failure(&member, 3, now);
            return;
        }
        self.send(own, peer, now);
        self.send(peer, own, now);
    }

    fn send(&mut self, from: usize, to: usize, now: Duration) {
        let sender = &mut self.processes[from];
        let members = sender.updates.pick(&sender.roster, &mut sender.budget, now);
        let revision = sender.tracker.in_force();
        let suspects = sender.suspicion.pick(SUSPECTS_MAX);
        self.processes[to].handle_beat(members, &suspects, revision, now);
    }

    fn is_linked(&self, one: usize, other: usize, now: Duration) -> bool {
        let side = |index: usize| (self.is_cut_off)(&super::member(index));
        now < PARTITION_START || now >= PARTITION_END || side(one) == side(other)
    }

    fn confirm(&mut self, own: usize, revision: id::Revision) {
        let offer = Offer { revision, source: Source::Service, is_intact: true };
        assert!(self.processes[own].tracker.accept(&offer));
    }
}

/// Runs a fleet of which the members selected by `is_cut_off` are cut off for a
/// while. The process with the index `confirms` is the first to apply a new revision during
/// the partition.
fn run_partition(is_cut_off: fn(&Member) -> bool, confirms: usize) -> Fleet {
    let mut fleet = Fleet::new(is_cut_off);
    fleet.confirm(0, 1);
    fleet.run(|fleet, now| {
        if now == PARTITION_START + DETECTION_TIME {
            fleet.confirm(confirms, 2);
        }
        // During the partition no process finds a member of its own side unreachable.
        for process in &fleet.processes {
            let side = is_cut_off(&process.own());
            let wrong = process.unreachable().find(|member| is_cut_off(member) == side);
            assert!(now >= PARTITION_END || wrong.is_none(), "{now:?}: {wrong:?}");
        }
        let since = now.saturating_sub(PARTITION_END).as_secs();
        if now >= PARTITION_END && [0, 5, 10, 20, 30, 60, 120].contains(&since) {
            let unreachable: usize =
                fleet.processes.iter().map(|one| one.unreachable().count()).sum();
            println!(
                "{since} s after the partition: {unreachable} of {} entries unreachable",
                SIZE * SIZE
            );
        }
        if now + BEAT == PARTITION_END {
            let side = is_cut_off(&super::member(confirms));
            let same = fleet.processes.iter().filter(|one| is_cut_off(&one.own()) == side);
            assert!(same.into_iter().all(|process| process.tracker.in_force() == 2));
        }
    });
    for process in &fleet.processes {
        assert_eq!(process.tracker.in_force(), 2);
        assert_eq!(process.unreachable().count(), 0, "{}", process.own().vm);
    }
    fleet
}

#[test]
fn a_partition_between_regions_heals() {
    run_partition(|member| member.region == "r-1", 1);
    run_partition(|member| member.region == "r-1", 2);
}

#[test]
fn a_partition_between_a_data_centre_and_the_rest_heals() {
    run_partition(|member| member.centre == "dc-3", 3);
    run_partition(|member| member.centre == "dc-3", 2);
}

#[test]
fn a_data_centre_that_is_cut_off_is_unreachable_to_the_rest() {
    let is_cut_off = |member: &Member| member.centre == "dc-3";
    let mut fleet = Fleet::new(is_cut_off);
    fleet.run(|fleet, now| {
        if now < PARTITION_START + DETECTION_TIME || now >= PARTITION_END {
            return;
        }
        for process in fleet.processes.iter().filter(|one| !is_cut_off(&one.own())) {
            assert_eq!(process.unreachable().count(), SIZE / 8, "{now:?}: {}", process.own().vm);
        }
    });
}
