//! Shares of parts in a gateway's recent requests.

use std::time::Duration;

use policy::popularity::Popularity;

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Records requests every 100 ms, each tenth of which has the part 7, the others parts that are
/// never seen again.
fn mixed(seconds: u64) -> Popularity {
    let mut popularity = Popularity::default();
    for index in 0..seconds * 10 {
        let part = if index % 10 == 0 { 7 } else { 1_000 + index };
        popularity.record(part, millis(index * 100));
    }
    popularity
}

#[test]
fn a_part_that_was_seen_once_has_no_share() {
    let mut popularity = Popularity::default();
    assert_eq!(popularity.share(7, millis(0)), 0.0);
    popularity.record(7, millis(0));
    assert_eq!(popularity.share(7, millis(0)), 0.0);
}

#[test]
fn a_part_that_comes_back_has_about_its_share() {
    let share = mixed(20).share(7, millis(19_900));
    assert!((0.02..=0.1).contains(&share), "{share}");
}

#[test]
fn a_few_first_requests_are_no_sign_of_popularity() {
    let mut popularity = Popularity::default();
    (0..3).for_each(|index| popularity.record(7, millis(index)));
    assert!(popularity.share(7, millis(2)) < 0.2);
}

#[test]
fn popularity_is_forgotten() {
    let popularity = mixed(20);
    assert_eq!(popularity.share(7, millis(29_900)), 0.0);
}

#[test]
fn the_popular_part_stays_known_among_very_many() {
    let mut popularity = Popularity::default();
    for index in 0..100_000 {
        let part = if index % 20 == 0 { 7 } else { 1_000 + index };
        popularity.record(part, millis(index / 10));
    }
    let share = popularity.share(7, millis(10_000));
    assert!((0.04..=0.06).contains(&share), "{share}");
}
