//! Machine on which a measurement runs.

use std::fs;
use std::thread;

use displaydoc::Display;

/// Kibibytes, which `/proc/meminfo` calls kB, per gibibyte.
const KB_PER_GIB: u64 = 1024 * 1024;

/// {cores} cores with {memory_gib} GiB, load average {load} before
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct Machine {
    /// Cores that this process may use.
    pub cores: usize,
    /// Memory of the machine, in GiB, rounded down.
    pub memory_gib: u64,
    /// Load average of the minute before the measurement.
    pub load: String,
}

impl Machine {
    /// Returns the figures of this machine; those that `/proc` doesn't give are
    /// empty or 0.
    pub fn current() -> Machine {
        let memory = fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
        Machine {
            cores: thread::available_parallelism().map_or(1, usize::from),
            memory_gib: memory_kb(&memory) / KB_PER_GIB,
            load: load.split(' ').next().unwrap_or_default().to_owned(),
        }
    }
}

fn memory_kb(text: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or_default()
}
