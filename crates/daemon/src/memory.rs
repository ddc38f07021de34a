//! Memory of the machine, for gateways whose settings don't name it.

use std::fs;

/// Most memory that is assumed, in bytes. The machines of gateways have 112 to 512 MB, and a process
/// can't see every limit that its platform enforces.
const MAX_DEFAULT_BYTES: usize = 256 * 1024 * 1024;

/// Least memory that is assumed, in bytes: the least that can be set.
const MIN_DEFAULT_BYTES: usize = 64 * 1024 * 1024;

/// Limit of the process's control group in bytes, or `max`.
const GROUP_LIMIT: &str = "/sys/fs/cgroup/memory.max";

/// Memory of the machine, in lines such as `MemTotal: 262144 kB`.
const MACHINE: &str = "/proc/meminfo";

/// Returns the memory of the machine in bytes, as far as it is known, within bounds.
pub fn default() -> usize {
    let group = fs::read_to_string(GROUP_LIMIT).ok().and_then(|text| text.trim().parse().ok());
    let machine = fs::read_to_string(MACHINE).ok().and_then(|text| total(&text));
    let known = group.into_iter().chain(machine).min();
    known.unwrap_or(MAX_DEFAULT_BYTES).clamp(MIN_DEFAULT_BYTES, MAX_DEFAULT_BYTES)
}

/// Returns the total of a text like that of [`MACHINE`].
fn total(text: &str) -> Option<usize> {
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kilobytes: usize = line.trim_end_matches("kB").trim().parse().ok()?;
    kilobytes.checked_mul(1024)
}
