//! Sums of the loads that gateways report to each other.

use std::time::Duration;

use policy::exchange::Ledger;
use policy::exchange::Rejection;
use policy::exchange::Report;
use policy::exchange::Sheet;
use policy::exchange::fingerprint;
use proptest::prelude::*;

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn sheet(rows: &[(u32, u32)]) -> Sheet {
    let mut sheet = Sheet::default();
    rows.iter().for_each(|(endpoint, requests)| sheet.add(*endpoint, *requests));
    sheet
}

/// Returns a report of requests at the endpoint 7.
fn report(vm: &str, incarnation: u64, sequence: u64, own: u32, members: u32) -> Report {
    Report {
        vm: vm.to_owned(),
        incarnation,
        sequence,
        own: sheet(&[(7, own)]),
        members: sheet(&[(7, members)]),
        gateways: 1,
    }
}

#[test]
fn endpoints_without_requests_have_no_row() {
    let mut sum = sheet(&[(9, 2), (3, 0), (7, 1), (9, 1)]);
    sum.add_all(&sheet(&[(1, 4), (7, 4)]));
    assert_eq!(sum, sheet(&[(1, 4), (7, 5), (9, 3)]));
    assert_eq!((sum.len(), sum.requests(9), sum.requests(3)), (3, 3, 0));
}

#[test]
fn ids_have_different_fingerprints() {
    let mut all: Vec<u32> = (0..1_200).map(|index| fingerprint(&format!("i-{index}"))).collect();
    all.sort_unstable();
    all.dedup();
    assert_eq!(all.len(), 1_200);
}

#[test]
fn a_later_report_replaces_an_earlier_one() {
    let mut ledger = Ledger::default();
    ledger.record(report("a", 1, 1, 3, 0), millis(0)).expect("a first report");
    ledger.record(report("a", 1, 2, 5, 0), millis(250)).expect("a later report");
    assert_eq!(ledger.own(millis(250)).requests(7), 5);
    let late = ledger.record(report("a", 1, 1, 3, 0), millis(260));
    assert_eq!(late, Err(Rejection::Stale));
    assert_eq!(ledger.own(millis(260)).requests(7), 5);
}

#[test]
fn a_restarted_gateway_counts_from_anew() {
    let mut ledger = Ledger::default();
    ledger.record(report("a", 1, 90, 9, 0), millis(0)).expect("a report");
    ledger.record(report("a", 2, 1, 1, 0), millis(10)).expect("a report of a later start");
    assert_eq!(ledger.own(millis(10)).requests(7), 1);
    let earlier = ledger.record(report("a", 1, 91, 9, 0), millis(20));
    assert_eq!(earlier, Err(Rejection::Stale));
}

#[test]
fn a_gateway_that_is_silent_for_a_second_is_forgotten() {
    let mut ledger = Ledger::default();
    ledger.record(report("a", 1, 1, 3, 0), millis(0)).expect("a report");
    ledger.record(report("b", 1, 1, 4, 0), millis(600)).expect("a report");
    assert_eq!(ledger.own(millis(999)).requests(7), 7);
    assert_eq!(ledger.own(millis(1_000)).requests(7), 4);
    assert_eq!(ledger.reporters(millis(1_000)), 1);
}

#[test]
fn rows_out_of_order_are_rejected_and_change_nothing() {
    let bytes = rmp_serde::to_vec(&(vec![(9_u32, 1_u32), (3, 1)],)).expect("encoded rows");
    let unsorted: Sheet = rmp_serde::from_slice(&bytes).expect("a sheet");
    let mut ledger = Ledger::default();
    ledger.record(report("a", 1, 1, 3, 0), millis(0)).expect("a report");
    let malformed = Report { own: unsorted, ..report("a", 1, 2, 0, 0) };
    assert_eq!(ledger.record(malformed, millis(10)), Err(Rejection::Malformed));
    assert_eq!(ledger.own(millis(10)).requests(7), 3);
}

#[test]
fn two_gateways_that_report_to_each_other_do_not_add_up_without_end() {
    // Both believe that the other one adds up loads, as may happen while members change.
    let mut ledgers = [Ledger::default(), Ledger::default()];
    for round in 1..100 {
        let now = millis(round * 250);
        for from in [0, 1] {
            let members = ledgers[from].own(now).requests(7);
            let sent = report(["a", "b"][from], 1, round, 10, members);
            ledgers[1 - from].record(sent, now).expect("a report");
        }
        for (ledger, vm) in ledgers.iter().zip(["a", "b"]) {
            assert!(ledger.all_but(vm, now).requests(7) <= 20, "round {round}");
        }
    }
}

#[test]
fn too_many_reporters_are_rejected() {
    let mut ledger = Ledger::default();
    for index in 0..512 {
        ledger.record(report(&format!("g{index}"), 1, 1, 1, 0), millis(0)).expect("a report");
    }
    assert_eq!(ledger.record(report("h", 1, 1, 1, 0), millis(0)), Err(Rejection::Full));
    assert_eq!(ledger.record(report("h", 1, 1, 1, 0), millis(1_000)), Ok(()));
}

proptest! {
    /// Reports are lost, come twice and out of order: the sum is that of the latest ones.
    #[test]
    fn the_sum_is_that_of_the_latest_reports(
        arrivals in proptest::collection::vec((0_usize..5, 1_u64..20, 0_u32..9), 0..200),
    ) {
        let mut ledger = Ledger::default();
        let mut latest = [(0, 0); 5];
        for (gateway, sequence, own) in arrivals {
            let sent = report(&format!("g{gateway}"), 1, sequence, own, 0);
            let is_taken = ledger.record(sent, millis(0)).is_ok();
            prop_assert_eq!(is_taken, sequence > latest[gateway].0);
            if is_taken {
                latest[gateway] = (sequence, own);
            }
        }
        let sum: u32 = latest.iter().map(|(_, own)| own).sum();
        prop_assert_eq!(ledger.own(millis(0)).requests(7), sum);
        let without_first: u32 = latest[1..].iter().map(|(_, own)| own).sum();
        prop_assert_eq!(ledger.all_but("g0", millis(0)).requests(7), without_first);
    }
}
