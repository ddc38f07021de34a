//! Relays of a data centre, as each gateway works them out.

use std::time::Duration;

use policy::relay::Candidate;
use policy::relay::Duty;
use policy::relay::Failures;
use policy::relay::Order;
use proptest::prelude::*;

/// Most gateways that one relay may serve.
const MEMBERS_PER_RELAY: usize = 32;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("g{index}")).collect()
}

/// Returns gateways, in turn of the data centres `a` and `b`; every fifth is a large VM.
fn members(names: &[String]) -> Vec<Candidate<'_>> {
    let member = |(index, vm)| Candidate {
        vm,
        centre: if index % 2 == 0 { "a" } else { "b" },
        capacity: if index % 5 == 0 { 500 } else { 90 },
    };
    names.iter().map(String::as_str).enumerate().map(member).collect()
}

/// Returns the relays that a gateway asks.
fn asked(duty: Duty, index: usize, members: &[Candidate<'_>]) -> Vec<usize> {
    let Candidate { vm, centre, .. } = members[index];
    Order::new(duty, centre, members).asked_by(vm, members)
}

#[test]
fn all_gateways_of_a_small_data_centre_read_the_store_themselves() {
    let names = names(14);
    let members = members(&names);
    for index in 0..members.len() {
        assert_eq!(asked(Duty::Store, index, &members), []);
    }
    assert_eq!(Order::new(Duty::Store, "a", &members).standby(), None);
}

#[test]
fn one_large_vm_of_a_data_centre_is_its_relay() {
    let names = names(60);
    let members = members(&names);
    for centre in ["a", "b"] {
        let order = Order::new(Duty::Store, centre, &members);
        let [relay] = order.relays() else { panic!("{order:?}") };
        assert_eq!(members[*relay].capacity, 500);
        assert_eq!(members[*relay].centre, centre);
        let standby = order.standby().expect("a standby");
        assert_eq!(members[standby].capacity, 500);
    }
}

#[test]
fn a_standby_asks_the_relay_alone_and_a_relay_nobody() {
    let names = names(60);
    let members = members(&names);
    let order = Order::new(Duty::Store, "a", &members);
    let (relay, standby) = (order.relays()[0], order.standby().expect("a standby"));
    assert_eq!(asked(Duty::Store, relay, &members), []);
    assert_eq!(asked(Duty::Store, standby, &members), [relay]);
    let other = (0..60).step_by(2).find(|index| ![relay, standby].contains(index));
    assert_eq!(asked(Duty::Store, other.expect("another"), &members), [relay, standby]);
}

#[test]
fn a_gateway_that_is_not_registered_yet_reads_the_store_itself() {
    let names = names(60);
    let members = members(&names);
    let order = Order::new(Duty::Store, "a", &members);
    assert_eq!(order.asked_by("g999", &members), []);
}

#[test]
fn a_relay_that_failed_is_asked_again_after_a_while() {
    let second = Duration::from_secs;
    let mut failures = Failures::new(Duty::Store);
    failures.record("g1", second(10));
    assert!(!failures.allows("g1", second(10)));
    assert!(failures.allows("g2", second(10)));
    failures.record("g2", second(12));
    assert!(!failures.allows("g1", second(14)));
    assert!(failures.allows("g1", second(15)));
    assert!(!failures.allows("g2", second(16)));
}

#[test]
fn a_relay_that_could_not_take_loads_is_tried_again_after_a_second() {
    let mut failures = Failures::new(Duty::Loads);
    failures.record("g1", Duration::from_secs(10));
    assert!(!failures.allows("g1", Duration::from_millis(10_900)));
    assert!(failures.allows("g1", Duration::from_secs(11)));
}

proptest! {
    /// Gateways join and leave. Whoever knows the same members agrees on the relays; a relay is of
    /// the same data centre, and none has too many others.
    #[test]
    fn relays_are_few_and_of_the_own_data_centre(kept in proptest::collection::vec(any::<bool>(), 2..320)) {
        let names = names(kept.len());
        let mut members = members(&names);
        let mut kept = kept.iter();
        members.retain(|_| *kept.next().expect("a choice for each"));
        let mut reversed = members.clone();
        reversed.reverse();
        for duty in [Duty::Store, Duty::Loads] {
            let mut served = vec![0; members.len()];
            for index in 0..members.len() {
                let own = members[index];
                let relays = asked(duty, index, &members);
                let seen: Vec<&str> = relays.iter().map(|index| members[*index].vm).collect();
                let place = reversed.iter().position(|member| member.vm == own.vm);
                let others = asked(duty, place.expect("the same member"), &reversed);
                let others: Vec<&str> = others.iter().map(|index| reversed[*index].vm).collect();
                prop_assert_eq!(&seen, &others);
                prop_assert!(relays.iter().all(|index| members[*index].centre == own.centre));
                prop_assert!(!seen.contains(&own.vm));
                if let Some(first) = relays.first() {
                    served[*first] += 1;
                }
            }
            // A hash spreads gateways over relays, so a relay may have some more than its share.
            prop_assert!(served.iter().all(|count| *count <= 2 * MEMBERS_PER_RELAY), "{:?}", served);
        }
    }
}
