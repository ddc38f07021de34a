//! Startup jitter: the first reads of a fleet that starts at once stay within the rate limit.

use std::time::Duration;

use policy::revision::first_read_delay;

/// Number of processes for which the system is designed.
const MEMBERS: usize = 1_560;
/// Rate that the key-value service handles, in reads per second.
const READ_RATE: usize = 2_000;
/// Length of the intervals in which the reads are counted.
const INTERVAL: Duration = Duration::from_millis(250);

#[test]
fn first_reads_after_a_mass_restart_are_within_the_rate_of_the_service() {
    let waits = (0..MEMBERS).map(|vm| first_read_delay(&format!("r1-c2-model-{vm}"), MEMBERS));
    let mut intervals = vec![0; 8];
    for wait in waits {
        let interval = wait.as_millis() / INTERVAL.as_millis();
        intervals[usize::try_from(interval).expect("it is small")] += 1;
    }
    let most = READ_RATE / 4;
    assert!(intervals.iter().all(|reads| *reads <= most), "{intervals:?}");
}

#[test]
fn a_small_fleet_does_not_wait() {
    for vm in ["s1-entry-1", "s2-model-1"] {
        assert!(first_read_delay(vm, 15) <= Duration::from_millis(15));
    }
}
