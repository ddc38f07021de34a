//! No process applies a lower revision than the one in force, whatever fails.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use policy::revision::Action;
use policy::revision::Offer;
use policy::revision::Source;
use policy::revision::Tracker;
use policy::revision::Warning;
use policy::revision::watchers;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::prelude::proptest;
use proptest::strategy::Just;
use proptest::strategy::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use wire::Load;
use wire::Member;
use wire::id;
use wire::member::Role;
use wire::member::State;

const PROCESSES: usize = 5;

/// A time after which a starting process no longer waits for the service or peers.
const LATE: Duration = Duration::from_secs(60);

#[derive(Debug, Clone)]
enum Event {
    /// A confirmation takes effect, whether or not its answer arrives.
    Confirm,
    /// The service is restored to a state that is so many revisions older.
    Restore(u64),
    /// Reads fail, or succeed again.
    Outage(bool),
    /// The service returns documents that differ from their digest, or no longer does.
    Corrupt(bool),
    /// A process reads the head or gets it from its watch.
    Read(usize),
    /// A process learns the revision of another one and acts on it.
    Beat(usize, usize),
    /// Like `Beat`, but the answer to the pull is lost.
    LostPull(usize, usize),
    /// A process restarts without a configuration.
    Restart(usize),
}

fn event() -> impl Strategy<Value = Event> {
    let process = 0..PROCESSES;
    prop_oneof![
        3 => Just(Event::Confirm),
        1 => (1u64..4).prop_map(Event::Restore),
        1 => any::<bool>().prop_map(Event::Outage),
        1 => any::<bool>().prop_map(Event::Corrupt),
        4 => process.clone().prop_map(Event::Read),
        6 => (process.clone(), process.clone()).prop_map(|(a, b)| Event::Beat(a, b)),
        2 => (process.clone(), process.clone()).prop_map(|(a, b)| Event::LostPull(a, b)),
        1 => process.prop_map(Event::Restart),
    ]
}

/// Returns a configuration that generates the same cases in every run.
fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(6), failure_persistence: None, ..Config::default() }
}

/// Model of the key-value service and the processes.
struct World {
    head: id::Revision,
    is_out: bool,
    is_corrupt: bool,
    processes: Vec<Tracker>,
}

impl World {
    fn new() -> World {
        let processes = vec![Tracker::new(Duration::ZERO); PROCESSES];
        World { head: 1, is_out: false, is_corrupt: false, processes }
    }

    fn step(&mut self, event: &Event) {
        match *event {
            Event::Confirm => {
                let in_force = self.processes.iter().map(Tracker::in_force).max().unwrap();
                self.head = self.head.max(in_force) + 1;
            }
            Event::Restore(back) => self.head = self.head.saturating_sub(back).max(1),
            Event::Outage(is_out) => self.is_out = is_out,
            Event::Corrupt(is_corrupt) => self.is_corrupt = is_corrupt,
            Event::Read(process) => self.read(process),
            Event::Beat(from, to) => self.beat(from, to, false),
            Event::LostPull(from, to) => self.beat(from, to, true),
            Event::Restart(process) => self.processes[process] = Tracker::new(Duration::ZERO),
        }
    }

    fn read(&mut self, process: usize) {
        match self.is_out {
            true => self.processes[process].record_service_failure(),
            false => self.processes[process].record_head(self.head),
        }
        self.act(process, false);
    }

    fn beat(&mut self, from: usize, to: usize, is_lost: bool) {
        let revision = self.processes[to].in_force();
        self.processes[from].record_peer(&to.to_string(), revision);
        self.act(from, is_lost);
    }

    fn act(&mut self, process: usize, is_lost: bool) {
        let tracker = &mut self.processes[process];
        let before = tracker.in_force();
        let offer = match tracker.next_action(PROCESSES - 1, LATE) {
            Action::Keep | Action::Gather => return,
            Action::Fetch(_) if self.is_out => return tracker.record_service_failure(),
            Action::Pull(vm) if is_lost => return tracker.record_peer_failure(&vm),
            Action::Fetch(revision) => {
                Offer { revision, source: Source::Service, is_intact: !self.is_corrupt }
            }
            Action::Pull(vm) => {
                let peer: usize = vm.parse().unwrap();
                let revision = self.processes[peer].in_force();
                Offer { revision, source: Source::Peer(vm), is_intact: true }
            }
        };
        let tracker = &mut self.processes[process];
        let is_applied = tracker.accept(&offer);
        assert!(!is_applied || offer.is_intact, "a broken document was applied");
        assert!(!is_applied || tracker.in_force() > before, "a lower revision was applied");
        assert!(tracker.in_force() >= before, "the revision in force fell");
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_process_never_goes_back_and_all_reach_the_highest(events in vec(event(), 1..200)) {
        let mut world = World::new();
        for event in &events {
            let before: Vec<_> = world.processes.iter().map(Tracker::in_force).collect();
            world.step(event);
            for (process, before) in before.into_iter().enumerate() {
                let is_restarted = matches!(event, Event::Restart(one) if *one == process);
                assert!(is_restarted || world.processes[process].in_force() >= before);
            }
        }
        world.is_out = false;
        world.is_corrupt = false;
        let highest = world.processes.iter().map(Tracker::in_force).max().unwrap().max(world.head);
        world.step(&Event::Confirm);
        for process in 0..PROCESSES {
            world.read(process);
        }
        assert!(world.processes.iter().all(|tracker| tracker.in_force() > highest));
    }
}

#[test]
fn a_starting_process_asks_peers_before_it_trusts_a_service_restored_to_an_old_state() {
    let mut tracker = Tracker::new(Duration::ZERO);
    tracker.record_head(3);
    assert_eq!(tracker.next_action(10, Duration::ZERO), Action::Gather);
    tracker.record_peer("a", 7);
    tracker.record_peer("b", 6);
    assert_eq!(tracker.next_action(10, Duration::ZERO), Action::Gather);
    tracker.record_peer("c", 7);
    assert!(matches!(
        tracker.next_action(10, Duration::ZERO),
        Action::Pull(vm) if vm == "a" || vm == "c"
    ));
    let source = Source::Peer("a".to_owned());
    assert!(tracker.accept(&Offer { revision: 7, source, is_intact: true }));
    assert_eq!(tracker.next_action(10, Duration::ZERO), Action::Keep);
    assert_eq!(tracker.warning(), Some(Warning::Behind(3, 7)));
}

#[test]
fn a_starting_process_waits_for_no_unknown_peers_and_not_longer_than_the_timeout() {
    let mut tracker = Tracker::new(Duration::ZERO);
    assert_eq!(tracker.next_action(0, Duration::ZERO), Action::Gather);
    tracker.record_head(3);
    assert_eq!(tracker.next_action(0, Duration::ZERO), Action::Fetch(3));
    let mut cut_off = Tracker::new(Duration::ZERO);
    cut_off.record_head(3);
    assert_eq!(cut_off.next_action(9, Duration::from_secs(3)), Action::Fetch(3));
}

#[test]
fn a_broken_document_is_not_fetched_again_until_the_service_reports_its_head_anew() {
    let mut tracker = Tracker::new(Duration::ZERO);
    tracker.record_head(3);
    let broken = Offer { revision: 3, source: Source::Service, is_intact: false };
    assert!(!tracker.accept(&broken));
    assert_eq!(tracker.next_action(0, LATE), Action::Keep);
    assert_eq!(tracker.warning(), Some(Warning::Broken(3)));
    tracker.record_peer("a", 3);
    assert_eq!(tracker.next_action(1, LATE), Action::Pull("a".to_owned()));
    tracker.record_peer_failure("a");
    tracker.record_head(3);
    assert_eq!(
        tracker.next_action(1, LATE),
        Action::Fetch(3),
        "the service may hold another document now"
    );
}

fn member(vm: usize, centre: usize) -> Member {
    Member {
        vm: format!("vm-{vm}"),
        incarnation: 1,
        version: 1,
        role: Role::Agent,
        centre: format!("dc-{centre}"),
        region: "r".to_owned(),
        data: ([127, 0, 0, 1], 1).into(),
        control: ([127, 0, 0, 1], 2).into(),
        state: State::Live,
        revision: 0,
        holds: Vec::new(),
        load: Load::default(),
    }
}

#[test]
fn two_live_processes_a_data_centre_watch() {
    let mut members: Vec<Member> = (0..1560).map(|vm| member(vm, vm % 8)).collect();
    let watchers = |members: &[Member]| {
        let chosen = members.iter().filter(|own| watchers::is_watcher(own, members));
        chosen.map(|own| own.vm.clone()).collect::<Vec<_>>()
    };
    let first = watchers(&members);
    assert_eq!(first.len(), 8 * watchers::PER_CENTRE);
    let leaving = members.iter_mut().find(|member| member.vm == first[0]).unwrap();
    leaving.state = State::Leaving;
    let second = watchers(&members);
    assert_eq!(second.len(), 8 * watchers::PER_CENTRE);
    assert!(!second.contains(&first[0]));
}

#[test]
fn two_processes_a_data_centre_watch_when_all_start_at_once() {
    let listed =
        |vm: usize| Member { incarnation: 0, state: State::Starting, ..member(vm, vm % 8) };
    let members: Vec<Member> = (0..1560).map(listed).collect();
    let is_watcher = |vm: &usize| watchers::is_watcher(&member(*vm, vm % 8), &members);
    assert_eq!((0..1560).filter(is_watcher).count(), 8 * watchers::PER_CENTRE);
}
