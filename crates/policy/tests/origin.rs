//! Tests of the versions that began streams.

use std::time::Duration;

use policy::origin::Custody;
use policy::origin::Journal;
use policy::origin::Ledger;
use policy::origin::Loss;
use policy::origin::Origin;
use policy::origin::Outlook;
use policy::origin::Segment;
use policy::origin::StreamId;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns what another gateway reads of a ledger. It is of a process that has ended if it has a single
/// version, and of one that runs and has answered otherwise.
fn stored(ledger: &Ledger, now: Duration) -> Vec<Journal> {
    let segments = ledger.mixed_segments(now).into_iter().map(|(_, segment)| segment);
    let segments: Vec<Segment> = [ledger.versions(now)].into_iter().chain(segments).collect();
    let is_excluded = segments[0].rows.len() > 1;
    vec![Journal { is_excluded, is_complete: true, segments, ..Journal::default() }]
}

/// Returns the version that a gateway finds which knows nothing but what is stored.
fn resolve<'a>(stored: &'a [Journal], service: &str, stream: StreamId) -> Option<&'a str> {
    let outlook = Outlook { is_first: true, ..Outlook::default() };
    match policy::origin::resolve(stored, &outlook, service, Some(stream)) {
        Origin::Version(version) => stored
            .iter()
            .flat_map(|journal| &journal.segments)
            .flat_map(|segment| &segment.rows)
            .map(|row| row.version.as_str())
            .find(|known| *known == version),
        Origin::Unknown => None,
        Origin::Pending => panic!("nothing is left to be written"),
    }
}

/// Returns what a gateway knows that has heard of these versions.
fn outlook(versions: &[&str], age: Duration, is_first: bool) -> Outlook {
    let mut ledger = Ledger::default();
    versions.iter().for_each(|version| ledger.announce("model", version, at(1)));
    Outlook { versions: ledger.versions(at(1)), age, is_first, ..Outlook::default() }
}

#[test]
fn a_version_that_only_the_reader_knows_is_taken_for_none() {
    let mut ledger = Ledger::default();
    ledger.announce("model", "v1", at(1));
    let mut stored = stored(&ledger, at(1));
    stored[0].is_complete = false;
    let both = outlook(&["v1", "v2"], at(3), true);
    assert_eq!(policy::origin::resolve(&stored, &both, "model", Some(5)), Origin::Unknown);
}

#[test]
fn a_stream_of_a_gateway_that_knew_one_version_is_unknown_while_others_know_two() {
    let mut mixed = Ledger::default();
    mixed.record("model", "v1", 5, at(1));
    mixed.record("model", "v2", 6, at(2));
    let single = |version: &str| {
        let mut ledger = Ledger::default();
        ledger.announce("model", version, at(1));
        stored(&ledger, at(1))
    };
    let all = [stored(&mixed, at(2)), single("v1"), single("v1")].concat();
    assert_eq!(resolve(&all, "model", 6), Some("v2"));
    assert_eq!(resolve(&all, "model", 7), Some("v1"));
    // Two gateways that know one version each may both have begun it.
    let all = [stored(&mixed, at(2)), single("v1"), single("v2")].concat();
    assert_eq!(resolve(&all, "model", 7), None);
    assert_eq!(resolve(&stored(&mixed, at(2)), "model", 7), None);
}

/// Guards against ORDER: a process that knew several versions has ended, and the store never got its last
/// rows. The journal of an older process names one version alone.
#[test]
fn a_stream_whose_row_and_replicas_are_lost_is_taken_for_one_of_an_older_process() {
    let journal = |versions: &[&str]| {
        let mut ledger = Ledger::default();
        versions.iter().for_each(|version| ledger.announce("model", version, at(1)));
        stored(&ledger, at(1))
    };
    let mut all = [journal(&["v1"]), journal(&["v1", "v2"]), journal(&["v1", "v2"])].concat();
    assert_eq!(resolve(&all, "model", 7), Some("v1"));
    all[2].is_excluded = false;
    assert_eq!(resolve(&all, "model", 7), None);
    // The older process runs, and the one that ended knew a single version.
    all[2] = journal(&["v2"]).remove(0);
    all[0].is_excluded = true;
    assert_eq!(resolve(&all, "model", 7), Some("v2"));
    // Nobody is left that may have begun it.
    all[2].is_excluded = true;
    assert_eq!(resolve(&all, "model", 7), None);
}

/// Guards against ORDER: a process began and ended while no journal could be written, so that nothing in
/// the store tells of it.
#[test]
fn a_stream_of_a_process_without_a_journal_is_taken_for_one_of_an_older_process() {
    let mut ledger = Ledger::default();
    ledger.announce("model", "v1", at(1));
    let mut all = stored(&ledger, at(1));
    ledger.announce("model", "v2", at(1));
    all.extend(stored(&ledger, at(1)));
    let find = |all: &[Journal], outlook: &Outlook| {
        let outlook = Outlook { is_first: true, ..outlook.clone() };
        policy::origin::resolve(all, &outlook, "model", Some(7)) == Origin::Version("v1")
    };
    assert!(find(&all, &Outlook::default()));
    let orphans = ledger.versions(at(1));
    assert!(!find(&all, &Outlook { orphans: orphans.clone(), ..Outlook::default() }));
    // Another gateway knows of the outage.
    all[1].orphans = orphans;
    assert!(!find(&all, &Outlook::default()));
}

/// Guards against ORDER: a stream begins although what is left of it, once its process and the replicas are
/// gone, names another version.
#[test]
fn a_stream_begins_whose_version_only_memory_holds() {
    let replicated = Custody { is_replicated: true, ..Custody::default() };
    let is_outage = true;
    assert!(!Custody::default().is_safe());
    assert!(!replicated.is_safe());
    assert!(Custody { is_stored: true, ..Custody::default() }.is_safe());
    assert!(Custody { is_named: true, ..replicated }.is_safe());
    assert!(!Custody { is_named: true, ..Custody::default() }.is_safe());
    assert!(Custody { is_outage, ..replicated }.is_safe());
    assert!(!Custody { is_outage, is_mixed: true, ..replicated }.is_safe());
}

/// Guards against ORDER: a process that could not remember all its streams says that it began none of those
/// that are looked up.
#[test]
fn a_process_that_began_too_many_streams_denies_one() {
    let mut ledger = Ledger::default();
    let most = u32::try_from(Segment::MAX_STREAMS).expect("a number of streams");
    (0..most).for_each(|stream| ledger.record("model", "v1", stream, at(1)));
    assert!(ledger.has_all(at(1)));
    ledger.record("model", "v1", most, at(1));
    assert_eq!(ledger.find("model", most), None);
    assert!(!ledger.has_all(at(28)));
    assert!(ledger.has_all(at(32)));
}

#[test]
fn a_gateway_whose_journal_a_restore_may_have_lost_counts_as_none() {
    let mut mixed = Ledger::default();
    mixed.announce("model", "v1", at(1));
    mixed.announce("model", "v2", at(1));
    let mut single = Ledger::default();
    single.announce("model", "v1", at(1));
    let all = [stored(&mixed, at(1)), stored(&single, at(1))].concat();
    let versions = ["v1", "v2"];
    let find = |age, is_first| {
        let outlook = outlook(&versions, at(age), is_first);
        policy::origin::resolve(&all, &outlook, "model", Some(7)) == Origin::Version("v1")
    };
    assert!(find(0, true));
    assert!(!find(59, false));
    assert!(find(60, false));
    let mut incomplete = all.clone();
    incomplete[1].is_complete = false;
    let outlook = outlook(&versions, at(60), true);
    assert_eq!(policy::origin::resolve(&incomplete, &outlook, "model", Some(7)), Origin::Unknown);
}

#[test]
fn a_stream_of_the_first_rollout_is_taken_for_one_of_the_second() {
    let journal = |versions: &[&str]| {
        let mut ledger = Ledger::default();
        versions.iter().for_each(|version| ledger.announce("model", version, at(1)));
        stored(&ledger, at(1))
    };
    // Two gateways ended: one before the first rollout, one between them.
    let (before, between) = (journal(&["v1"]), journal(&["v2"]));
    let others = [journal(&["v1", "v2", "v3"]), journal(&["v2", "v3"])].concat();
    assert_eq!(resolve(&[between.clone(), others.clone()].concat(), "model", 7), Some("v2"));
    assert_eq!(resolve(&[before.clone(), others.clone()].concat(), "model", 7), Some("v1"));
    assert_eq!(resolve(&[before, between, others].concat(), "model", 7), None);
}

#[test]
fn a_stream_whose_journal_was_lost_is_unknown_though_a_single_version_was_in_use() {
    let mut reader = Ledger::default();
    reader.announce("model", "v1", at(1));
    reader.announce("model", "v2", at(20));
    let all = stored(&reader, at(20));
    let loss = |at_s: u64, now: u64| Loss {
        age: at(now - at_s),
        versions: reader.versions_until(at(at_s), at(now)),
    };
    let find = |journals: &[Journal], loss: Option<Loss>, is_first| {
        let outlook = Outlook { loss, ..outlook(&["v1", "v2"], at(20), is_first) };
        match policy::origin::resolve(journals, &outlook, "model", Some(7)) {
            Origin::Version(version) => version.to_owned(),
            other => format!("{other:?}"),
        }
    };
    for is_first in [true, false] {
        assert_eq!(find(&all, None, is_first), "Unknown");
        assert_eq!(find(&all, Some(loss(10, 30)), is_first), "v1");
        // Others may still write again what the store has lost.
        assert_eq!(find(&all, Some(loss(20, 22)), is_first), "Pending");
        // Both versions may have been in use before.
        assert_eq!(find(&all, Some(loss(20, 30)), is_first), "Unknown");
        assert_eq!(find(&all, Some(loss(25, 30)), is_first), "Unknown");
        assert_eq!(find(&all, Some(loss(19, 30)), is_first), "v1");
        // A journal that lacks rows had another version.
        let mut newer = Ledger::default();
        newer.announce("model", "v2", at(1));
        let mut lacking = stored(&newer, at(1));
        lacking[0].is_complete = false;
        let both = [all.clone(), lacking].concat();
        assert_eq!(find(&both, Some(loss(10, 30)), is_first), "Unknown");
    }
}

#[test]
fn what_was_stored_before_a_restore_counts_as_all_that_there_was() {
    let mut ledger = Ledger::default();
    ledger.record("model", "v1", 5, at(1));
    ledger.announce("model", "v2", at(2));
    let mut stored = stored(&ledger, at(2));
    stored[0].is_complete = false;
    let segments = stored[0].segments.clone();
    let only_old = Journal { segments: vec![segments[1].clone()], ..Journal::default() };
    let (young, old) = (Duration::from_millis(2_100), Duration::from_millis(2_300));
    let find =
        |journals: &[Journal], outlook: &Outlook, stream: StreamId| match policy::origin::resolve(
            journals,
            outlook,
            "model",
            Some(stream),
        ) {
            Origin::Version(version) => version.to_owned(),
            other => format!("{other:?}"),
        };
    for is_first in [false, true] {
        // What is stored is right, but may not be all.
        assert_eq!(find(&stored, &outlook(&["v1"], young, is_first), 5), "v1");
        let only_old = [only_old.clone()];
        assert_eq!(find(&only_old, &outlook(&["v1"], young, is_first), 6), "Pending");
        assert_eq!(find(&only_old, &outlook(&["v1"], old, is_first), 6), "v1");
        assert_eq!(find(&only_old, &outlook(&["v1", "v2"], old, is_first), 6), "Unknown");
    }
    // A gateway that saw the restore can't tell by the journals what these lack.
    let only_old = [Journal { is_complete: true, ..only_old }];
    assert_eq!(find(&only_old, &outlook(&["v1"], young, false), 6), "Pending");
    assert_eq!(find(&only_old, &outlook(&["v1"], young, true), 6), "v1");
}

#[test]
fn a_stream_of_the_only_version_is_known_without_being_stored() {
    let mut ledger = Ledger::default();
    ledger.announce("model", "v1", at(1));
    ledger.announce("plain", "v7", at(1));
    ledger.record("model", "v1", 5, at(2));
    assert!(ledger.mixed_segments(at(2)).is_empty());
    assert_eq!(resolve(&stored(&ledger, at(2)), "model", 6), Some("v1"));
    assert_eq!(resolve(&stored(&ledger, at(2)), "other", 6), None);
}

#[test]
fn a_stream_that_was_not_stored_is_unknown_while_there_are_two_versions() {
    let mut ledger = Ledger::default();
    ledger.record("model", "v1", 5, at(2));
    ledger.record("model", "v2", 6, at(3));
    let stored = stored(&ledger, at(3));
    assert_eq!(resolve(&stored, "model", 5), Some("v1"));
    assert_eq!(resolve(&stored, "model", 6), Some("v2"));
    assert_eq!(resolve(&stored, "model", 7), None);
    assert_eq!(resolve(&stored, "plain", 5), None);
}

#[test]
fn streams_that_began_before_the_second_version_came_are_stored_with_it() {
    let mut ledger = Ledger::default();
    ledger.record("model", "v1", 5, at(2));
    ledger.announce("model", "v2", at(9));
    assert_eq!(resolve(&stored(&ledger, at(9)), "model", 5), Some("v1"));
}

#[test]
fn a_version_counts_for_a_minute_after_its_last_endpoint_is_gone() {
    let mut ledger = Ledger::default();
    ledger.announce("model", "v1", at(10));
    ledger.announce("model", "v2", at(70));
    assert_eq!(resolve(&stored(&ledger, at(70)), "model", 5), None);
    assert_eq!(resolve(&stored(&ledger, at(71)), "model", 5), Some("v2"));
}

#[test]
fn gateways_that_know_different_versions_count_them_together() {
    let (mut one, mut other) = (Ledger::default(), Ledger::default());
    one.announce("model", "v1", at(1));
    other.announce("model", "v2", at(1));
    let all = [stored(&one, at(1)), stored(&other, at(1))].concat();
    assert_eq!(resolve(&all, "model", 5), None);
}

#[test]
fn a_stream_without_an_id_is_refused_before_the_only_version_or_taken_for_some_of_several() {
    let mut single = Ledger::default();
    single.announce("model", "v1", at(1));
    let mut mixed = single.clone();
    mixed.announce("model", "v2", at(1));
    let find = |journals: &[Journal]| {
        let outlook = Outlook { is_first: true, ..Outlook::default() };
        policy::origin::resolve(journals, &outlook, "model", None) == Origin::Version("v1")
    };
    let single = stored(&single, at(1));
    assert!(find(&single));
    assert!(!find(&[stored(&mixed, at(1)), single].concat()));
}

#[test]
fn a_stream_of_a_mixed_service_is_not_replicated_or_without_end() {
    let mut ledger = Ledger::default();
    let streams = |ledger: &Ledger, millis| {
        let now = Duration::from_millis(millis);
        let segment = ledger.recent_since(Duration::ZERO, now);
        segment.rows.into_iter().flat_map(|row| row.streams).collect::<Vec<StreamId>>()
    };
    ledger.record("model", "v1", 5, at(2));
    assert!(streams(&ledger, 2_000).is_empty());
    // All streams are replicated once the service has another version, and new ones then.
    ledger.announce("model", "v2", at(20));
    assert_eq!(streams(&ledger, 20_000), [5]);
    assert_eq!(streams(&ledger, 21_000), [5]);
    ledger.record("model", "v2", 6, at(21));
    assert_eq!(streams(&ledger, 21_050), [5, 6]);
    assert_eq!(streams(&ledger, 21_200), [6]);
    assert!(streams(&ledger, 22_200).is_empty());
    ledger.record("model", "v2", 7, Duration::from_millis(22_300));
    let recent = ledger.recent_since(Duration::from_millis(22_301), Duration::from_millis(22_400));
    assert_eq!(recent, Segment::default());
}

#[test]
fn a_stream_that_is_replicated_again_takes_more_and_more_room() {
    let (mut ledger, mut other) = (Ledger::default(), Ledger::default());
    ledger.announce("model", "v1", at(1));
    ledger.record("model", "v2", 6, at(2));
    for _ in 0..5 {
        other.learn(&ledger.recent_since(at(0), at(2)), at(2));
    }
    assert_eq!(other.find("model", 6), Some("v2"));
    let streams = other.segments(at(2)).flat_map(|(_, segment)| &segment.rows);
    assert_eq!(streams.map(|row| row.streams.len()).sum::<usize>(), 1);
}

/// Guards against a stream that is taken up at the version that was known when it began, at any gateway:
/// its endpoint had started again with another one.
#[test]
fn a_stream_whose_version_was_corrected_is_known_at_the_one_before() {
    for corrected_at in [at(2), at(9)] {
        let (mut ledger, mut hub) = (Ledger::default(), Ledger::default());
        ledger.announce("model", "v2", at(1));
        ledger.record("model", "v1", 5, at(1));
        ledger.record("model", "v1", 6, at(1));
        hub.learn(&ledger.recent_since(at(0), at(1)), at(1));
        assert_eq!(hub.find("model", 5), Some("v1"));
        ledger.correct("model", "v2", 5, corrected_at);
        hub.learn(&ledger.recent_since(at(0), corrected_at), corrected_at);
        let stored = stored(&ledger, corrected_at);
        assert_eq!(resolve(&stored, "model", 5), Some("v2"));
        assert_eq!(resolve(&stored, "model", 6), Some("v1"));
        assert_eq!((ledger.find("model", 5), hub.find("model", 5)), (Some("v2"), Some("v2")));
        assert_eq!(hub.find("model", 6), Some("v1"));
    }
}

#[test]
fn segments_take_their_places_again_and_keep_what_clients_come_back_for() {
    let mut ledger = Ledger::default();
    for second in 0..200_u32 {
        let now = at(u64::from(second));
        ledger.record("model", "v1", second, now);
        ledger.record("model", "v2", 1_000 + second, now);
        let segments = ledger.mixed_segments(now);
        let mut places: Vec<u64> = segments.iter().map(|(place, _)| *place).collect();
        places.sort_unstable();
        places.dedup();
        assert_eq!(places.len(), segments.len());
        assert!(places.len() <= 8, "{places:?}");
        let all = stored(&ledger, now);
        for stream in second.saturating_sub(25)..=second {
            assert_eq!(resolve(&all, "model", stream), Some("v1"), "{stream} at {second}");
        }
        assert_eq!(ledger.find("model", 1_000 + second), Some("v2"));
    }
}
