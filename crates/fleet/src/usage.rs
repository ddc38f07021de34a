//! Processor time and memory of processes.

use std::fs;
use std::time::Duration;

use rustix::param::clock_ticks_per_second;
use rustix::param::page_size;

/// Index of the time in user mode among the fields of `/proc/PID/stat` that follow the
/// program's name.
const USER_TIME_FIELD: usize = 11;
/// Index of the time in system mode.
const SYSTEM_TIME_FIELD: usize = 12;
/// Index of the resident memory, in pages.
const MEMORY_FIELD: usize = 21;

/// Indexes of the idle times in the first line of `/proc/stat`.
const IDLE_TIME_FIELDS: [usize; 2] = [3, 4];
/// Number of fields of that line whose times don't overlap.
const MACHINE_TIME_FIELDS: usize = 8;

/// Processor time and memory used by a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time since the start of the process.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub memory: u64,
}

impl Usage {
    /// Returns the usage of a running process; zero if it has ended.
    pub fn of(pid: u32) -> Usage {
        let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        Usage::parse(&text)
    }

    /// Returns the busy time of all cores together since the machine's start.
    pub fn machine() -> Duration {
        let text = fs::read_to_string("/proc/stat").unwrap_or_default();
        let line = text.lines().next().unwrap_or_default();
        let fields = line.split_whitespace().skip(1).take(MACHINE_TIME_FIELDS).enumerate();
        let busy = fields.filter(|(index, _)| !IDLE_TIME_FIELDS.contains(index));
        duration(busy.filter_map(|(_, field)| field.parse::<u64>().ok()).sum())
    }

    /// Parses a line of `/proc/PID/stat`.
    pub fn parse(stat: &str) -> Usage {
        let fields = stat.rsplit_once(") ").map_or("", |(_, fields)| fields);
        let fields: Vec<u64> =
            fields.split(' ').map(|field| field.parse().unwrap_or_default()).collect();
        let field = |index: usize| fields.get(index).copied().unwrap_or_default();
        let ticks = field(USER_TIME_FIELD) + field(SYSTEM_TIME_FIELD);
        Usage { cpu: duration(ticks), memory: field(MEMORY_FIELD) * page_size() as u64 }
    }
}

fn duration(ticks: u64) -> Duration {
    Duration::from_secs_f64(ticks as f64 / clock_ticks_per_second() as f64)
}
