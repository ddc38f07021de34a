//! Checks which outcomes an entry counts towards service levels.

mod support;

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use burn::Count;
use entry::Fault;
use support::Entry;
use support::Step;
use wire::refusal::Ran;
use wire::refusal::Reason;

/// Delay of the first token, longer than the 2 seconds that the rank allows.
const FIRST_TOKEN_DELAY: Duration = Duration::from_millis(2100);

const CHAT: &str = r#"{"model":"briefs","prompt_cache_key":"k","messages":[]}"#;

/// Waits until at least `total` requests are counted and returns the count.
fn wait_for_count(entry: &Entry, total: u64) -> Count {
    loop {
        let rows = entry.board.sheet().short;
        let count = rows.first().map_or(Count::default(), |row| row.count);
        if count.total() >= total {
            return count;
        }
        std::thread::yield_now();
    }
}

#[test]
fn complete_late_refused_and_cut_requests_are_counted_apart() {
    let asked = AtomicUsize::new(0);
    let entry = Entry::start(move |_, _| match asked.fetch_add(1, Ordering::SeqCst) {
        0 => support::whole(),
        1 => {
            let mut late = support::whole();
            late.insert(2, Step::Wait(FIRST_TOKEN_DELAY));
            late
        }
        2 => vec![support::refused(Reason::Share, Ran::No, 1)],
        _ => vec![
            support::accepted(),
            support::head(200, ""),
            support::word("cut"),
            Step::Fault(Fault::Disconnected("gone".to_owned())),
        ],
    });
    for total in 1..=3 {
        entry.chat(CHAT);
        wait_for_count(&entry, total);
    }
    entry.chat(&CHAT.replace("messages", r#"stream":true,"messages"#));
    let expected = Count { good: 1, late: 1, refused: 1, failed: 1 };
    assert_eq!(wait_for_count(&entry, 4), expected);
}
