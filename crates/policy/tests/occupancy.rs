//! Estimates of an endpoint's requests from own requests and load reports.

use std::time::Duration;

use policy::occupancy::Occupancy;

fn second(number: u64) -> Duration {
    Duration::from_secs(number)
}

#[test]
fn own_requests_are_counted_exactly() {
    let mut occupancy = Occupancy::default();
    occupancy.record_sent();
    occupancy.record_sent();
    occupancy.record_ended();
    assert_eq!(occupancy.requests(second(0)), 1.0);
    occupancy.record_ended();
    occupancy.record_ended();
    assert_eq!(occupancy.own(), 0);
}

#[test]
fn requests_of_others_are_the_reported_ones_less_the_own() {
    let mut occupancy = Occupancy::default();
    occupancy.record_sent();
    occupancy.record_report(5, second(1));
    assert_eq!(occupancy.requests(second(1)), 5.0);
    occupancy.record_sent();
    assert_eq!(occupancy.requests(second(2)), 6.0);
    occupancy.record_ended();
    occupancy.record_ended();
    assert_eq!(occupancy.requests(second(2)), 4.0);
}

#[test]
fn old_reports_decay() {
    let mut occupancy = Occupancy::default();
    occupancy.record_report(8, second(1));
    assert_eq!(occupancy.requests(second(5)), 8.0);
    assert_eq!(occupancy.requests(second(7)), 4.0);
    assert_eq!(occupancy.requests(second(9)), 2.0);
    assert!(occupancy.requests(second(60)) < 0.001);
}

#[test]
fn a_report_below_the_own_requests_counts_no_others() {
    let mut occupancy = Occupancy::default();
    occupancy.record_sent();
    occupancy.record_sent();
    occupancy.record_report(1, second(1));
    assert_eq!(occupancy.requests(second(1)), 2.0);
}
