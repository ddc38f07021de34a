//! At most one controller is the leader, and no order of an earlier leader is executed.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use policy::leadership::Action;
use policy::leadership::Fencing;
use policy::leadership::Leadership;
use policy::leadership::Lease;
use policy::leadership::Permit;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::prelude::proptest;
use proptest::strategy::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use wire::id;

const TTL: Duration = Duration::from_secs(10);

/// Number of controllers that compete for the scope.
const CONTROLLERS: usize = 3;

#[derive(Debug, Clone)]
enum Event {
    /// So many milliseconds pass.
    Pass(u64),
    /// A controller makes its next call; its answer may be lost after the call took effect.
    Act(usize, bool),
    /// A controller gets a permit, is paused for so many milliseconds, then sends an order.
    Order(usize, u64),
    /// The receiver of orders restarts and reads the token in force.
    RestartReceiver,
}

fn event() -> impl Strategy<Value = Event> {
    let controller = 0..CONTROLLERS;
    prop_oneof![
        3 => (0u64..6000).prop_map(Event::Pass),
        6 => (controller.clone(), any::<bool>()).prop_map(|(one, lost)| Event::Act(one, lost)),
        3 => (controller, 0u64..15_000).prop_map(|(one, pause)| Event::Order(one, pause)),
        1 => proptest::strategy::Just(Event::RestartReceiver),
    ]
}

/// Model of the key-value service with one key, the controllers and a receiver of orders.
struct World {
    now: Duration,
    version: id::Fence,
    /// When each lease expires; the index is the lease's id.
    leases: Vec<Duration>,
    /// The lease to which the key is bound, and the store's version at its creation.
    key: Option<(Lease, id::Fence)>,
    controllers: Vec<Leadership>,
    receiver: Fencing,
    /// The token of the last executed order.
    executed: id::Fence,
}

impl World {
    fn new() -> World {
        let controllers = vec![Leadership::new(TTL); CONTROLLERS];
        let (now, receiver) = (Duration::ZERO, Fencing::default());
        World { now, version: 0, leases: vec![], key: None, controllers, receiver, executed: 0 }
    }

    fn step(&mut self, event: &Event) {
        match *event {
            Event::Pass(millis) => self.pass(millis),
            Event::Act(controller, is_lost) => self.act(controller, is_lost),
            Event::Order(controller, pause) => self.order(controller, pause),
            Event::RestartReceiver => {
                self.receiver = Fencing::default();
                assert!(
                    !self.receiver.admit(u64::MAX),
                    "executed before it read the token in force"
                );
                self.receiver.observe(self.key.map_or(self.version, |(_, fence)| fence));
            }
        }
        let permits = self.controllers.iter().filter(|one| one.permit(self.now).is_some());
        assert!(permits.count() <= 1, "two controllers may act");
    }

    fn pass(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        if self.key.is_some_and(|(lease, _)| self.leases[lease as usize] <= self.now) {
            self.key = None;
            self.version += 1;
        }
    }

    fn act(&mut self, controller: usize, is_lost: bool) {
        let asked = self.now;
        match self.controllers[controller].next_action(asked) {
            Action::Wait(_) => (),
            Action::Grant => {
                self.leases.push(asked + TTL);
                if !is_lost {
                    let lease = self.leases.len() as Lease - 1;
                    self.controllers[controller].record_grant(lease, asked);
                }
            }
            Action::Claim(lease) => {
                let is_alive = self.leases[lease as usize] > asked;
                if self.key.is_none() && is_alive {
                    self.version += 1;
                    self.key = Some((lease, self.version));
                }
                if let Some((holder, fence)) = self.key
                    && !is_lost
                {
                    self.controllers[controller].record_holder(holder, fence, asked);
                }
            }
            Action::Renew(lease) => {
                let end = &mut self.leases[lease as usize];
                let is_alive = *end > asked;
                if is_alive {
                    *end = asked + TTL;
                }
                if !is_lost {
                    self.controllers[controller].record_renewal(is_alive, asked);
                }
            }
        }
    }

    /// Sends an order after a pause without a second look at the permit.
    fn order(&mut self, controller: usize, pause: u64) {
        let Some(Permit { fence, .. }) = self.controllers[controller].permit(self.now) else {
            return;
        };
        self.pass(pause);
        if self.receiver.admit(fence) {
            assert!(fence >= self.executed, "an order of an earlier leader was executed");
            self.executed = fence;
        }
    }
}

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(9), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn one_controller_acts_and_no_outdated_order_is_executed(events in vec(event(), 1..300)) {
        let mut world = World::new();
        for event in &events {
            world.step(event);
        }
    }
}

/// Returns the state of the leader with lease 4 and token 17.
fn leader() -> Leadership {
    let mut leadership = Leadership::new(TTL);
    assert_eq!(leadership.next_action(Duration::ZERO), Action::Grant);
    leadership.record_grant(4, Duration::ZERO);
    assert_eq!(leadership.next_action(Duration::ZERO), Action::Claim(4));
    assert_eq!(leadership.permit(Duration::ZERO), None);
    leadership.record_holder(4, 17, Duration::ZERO);
    leadership
}

#[test]
fn a_leader_acts_until_the_safety_margin_of_its_lease() {
    let leadership = leader();
    let until = Duration::from_secs(8);
    assert_eq!(leadership.permit(Duration::from_secs(1)), Some(Permit { fence: 17, until }));
    assert_eq!(leadership.permit(until), None);
    assert!(matches!(leadership.next_action(Duration::ZERO), Action::Wait(_)));
    assert_eq!(leadership.next_action(Duration::from_secs(4)), Action::Renew(4));
}

#[test]
fn a_leader_that_was_paused_past_its_lease_has_to_be_elected_anew() {
    let mut leadership = leader();
    let resumed = Duration::from_secs(9);
    assert_eq!(leadership.permit(resumed), None);
    assert_eq!(leadership.next_action(resumed), Action::Grant);
    leadership.record_renewal(true, resumed);
    assert_eq!(leadership.permit(resumed), None, "a renewal after the end is ignored");
}

#[test]
fn a_claim_whose_answer_was_lost_is_resolved_by_a_read() {
    let mut own = Leadership::new(TTL);
    own.record_grant(4, Duration::ZERO);
    own.record_holder(4, 17, Duration::ZERO);
    assert!(own.permit(Duration::ZERO).is_some());
    let mut other = Leadership::new(TTL);
    other.record_grant(5, Duration::ZERO);
    other.record_holder(4, 17, Duration::ZERO);
    assert_eq!(other.permit(Duration::ZERO), None);
    assert!(
        matches!(other.next_action(Duration::ZERO), Action::Wait(_)),
        "waiting costs few calls"
    );
    other.record_key_removed();
    assert_eq!(other.next_action(Duration::ZERO), Action::Grant);
}
