//! The processes' shares of the fleet's retry budget, at any load and across restarts.

use policy::retry::Share;
use proptest::prelude::Strategy;
use proptest::proptest;

const RATIO: f64 = 0.2;
const SLACK: f64 = 58.0;
const PROCESSES: u32 = 5;

/// An event at a process: a request, an attempt to spend a retry, or a restart.
#[derive(Debug, Clone, Copy)]
enum Event {
    Request,
    Retry,
    Restart,
}

fn event() -> impl Strategy<Value = (usize, Event)> {
    let kinds = (0..20_u8).prop_map(|kind| match kind {
        0 => Event::Restart,
        1..10 => Event::Request,
        _ => Event::Retry,
    });
    (0..PROCESSES as usize, kinds)
}

fn share() -> Share {
    Share::new(RATIO, SLACK, PROCESSES)
}

proptest! {
    /// Counts start again at a random event, so that any span of a history is checked.
    #[test]
    fn the_shares_of_all_processes_keep_the_budget(
        events in proptest::collection::vec(event(), 1..3_000),
        from in 0..3_000_usize,
    ) {
        let mut shares = [share(); PROCESSES as usize];
        let (mut requests, mut retries) = (0_u32, 0_u32);
        for (index, (process, event)) in events.into_iter().enumerate() {
            if index == from {
                (requests, retries) = (0, 0);
            }
            match event {
                Event::Request => {
                    shares[process].earn();
                    requests += 1;
                }
                Event::Retry => retries += u32::from(shares[process].spend()),
                Event::Restart => shares[process] = share(),
            }
            assert!(f64::from(retries) <= RATIO * f64::from(requests) + SLACK + 1e-9);
        }
    }
}

#[test]
fn a_new_process_has_no_slack() {
    assert!(!share().spend());
}

#[test]
fn requests_earn_retries_up_to_the_share_of_the_slack() {
    let mut share = share();
    (0..10_000).for_each(|_| share.earn());
    let spent = (0..100).filter(|_| share.spend()).count();
    assert_eq!(spent, (SLACK / f64::from(PROCESSES)) as usize);
}

#[test]
fn more_processes_leave_less_to_each_at_once() {
    let mut share = share();
    (0..10_000).for_each(|_| share.earn());
    share.share_among(SLACK, 2 * PROCESSES);
    let spent = (0..100).filter(|_| share.spend()).count();
    assert_eq!(spent, (SLACK / f64::from(2 * PROCESSES)) as usize);
}
