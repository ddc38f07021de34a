//! The directory of chats away from home: its entries and its size in bytes.

use std::time::Duration;

use policy::home::Directory;

const SECOND: Duration = Duration::from_secs(1);

/// Most bytes for each chat.
const CHAT_MAX_BYTES: usize = 32;

/// Most bytes for the whole directory: a fiftieth of a process's 32 MiB.
const DIRECTORY_MAX_BYTES: usize = 32 * 1024 * 1024 / 50;

#[test]
fn a_chat_is_found_until_it_is_removed_or_expires() {
    let mut directory = Directory::default();
    directory.record(7, "engine-2", SECOND);
    directory.record(8, "engine-2", SECOND);
    directory.record(7, "engine-3", 2 * SECOND);
    assert_eq!(directory.engine(7, 3 * SECOND), Some("engine-3"));
    assert_eq!(directory.engine(7, 2 * 3600 * SECOND), None);
    directory.forget(8);
    assert_eq!(directory.engine(8, 3 * SECOND), None);
}

#[test]
fn a_full_directory_evicts_the_oldest_and_takes_few_bytes_per_chat() {
    let mut directory = Directory::default();
    let engines: Vec<String> = (0..1_200).map(|engine| format!("engine-{engine}")).collect();
    for number in 0..40_000 {
        directory.record(hash(number), &engines[number as usize % engines.len()], SECOND);
    }
    println!("chats={} bytes={}", directory.chats(), directory.bytes());
    assert!(directory.chats() > 20_000);
    assert!(directory.bytes() / directory.chats() <= CHAT_MAX_BYTES);
    assert!(directory.bytes() <= DIRECTORY_MAX_BYTES);

    directory.record(1, "engine-1", 2 * SECOND);
    for number in 50_000..70_000 {
        directory.record(hash(number), "engine-9", 2 * SECOND);
    }
    assert_eq!(
        directory.engine(1, 2 * SECOND),
        Some("engine-1"),
        "newer than those of the first second"
    );
}

/// Spreads the ids like hashes of real chats.
fn hash(number: u64) -> u64 {
    number.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

#[test]
fn a_full_directory_takes_a_chat_of_a_new_engine() {
    // An eviction renumbers the engines; the index of the new one has to be taken after it.
    for full in [32 * 1024, 32 * 1024 + 1] {
        let mut directory = Directory::default();
        for number in 0..full {
            directory.record(hash(number), &format!("engine-{}", number % 7), SECOND);
        }
        directory.record(1, "engine-new", 2 * SECOND);
        assert_eq!(directory.engine(1, 2 * SECOND), Some("engine-new"));
        directory.record(2, "engine-3", 2 * SECOND);
        assert_eq!(directory.engine(2, 2 * SECOND), Some("engine-3"));
    }
}

#[test]
fn a_full_directory_whose_engines_are_all_evicted_takes_a_new_one() {
    let mut directory = Directory::default();
    for number in 0..32 * 1024 {
        directory.record(hash(number), "engine-old", SECOND);
    }
    let later = 2 * 3600 * SECOND;
    directory.record(1, "engine-new", later);
    assert_eq!(directory.engine(1, later), Some("engine-new"));
    assert_eq!(directory.chats(), 1);
}
