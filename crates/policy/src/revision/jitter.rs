//! Startup jitter for the first read of the key-value service.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Mean time between two first reads in a fleet that starts at once. The reads take half
/// of the rate that the service handles for all its callers.
const READ_INTERVAL: Duration = Duration::from_millis(1);

/// Returns the delay of a process before its first read, in a fleet of `members`.
///
/// The delay is derived from the name of the VM, the only value that is sure to differ
/// between processes: addresses of different VMs may have the same port.
pub fn first_read_delay(vm: &str, members: usize) -> Duration {
    let fraction = xxh3_64(vm.as_bytes()) as f64 / u64::MAX as f64;
    READ_INTERVAL.mul_f64(members as f64 * fraction)
}
