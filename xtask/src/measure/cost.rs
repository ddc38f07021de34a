//! Processor time that processes use.

use std::time::Duration;

use fleet::Process;
use fleet::Usage;

/// Counter of the processor time that some processes use from its start on.
#[derive(Debug)]
pub(crate) struct Cost {
    pids: Vec<u32>,
    before: Duration,
}

impl Cost {
    /// Starts to count the time of these processes.
    pub(crate) fn start<'a>(processes: impl Iterator<Item = &'a Process>) -> Cost {
        let pids: Vec<u32> = processes.map(Process::pid).collect();
        Cost::of_pids(&pids)
    }

    /// Starts to count the time of processes given by their ids.
    pub(crate) fn of_pids(pids: &[u32]) -> Cost {
        Cost { pids: pids.to_vec(), before: cpu_time(pids) }
    }

    /// Returns the processor time used since the start, of all processes together.
    pub(crate) fn spent(&self) -> Duration {
        cpu_time(&self.pids).saturating_sub(self.before)
    }

    /// Returns the processor time since the start per request, in microseconds.
    pub(crate) fn us_per_request(&self, requests: u64) -> f64 {
        self.spent().as_secs_f64() * 1e6 / requests.max(1) as f64
    }

    /// Returns the requests a second that one fully used core could process.
    pub(crate) fn requests_per_core(&self, requests: u64) -> f64 {
        requests as f64 / self.spent().as_secs_f64().max(f64::EPSILON)
    }
}

fn cpu_time(pids: &[u32]) -> Duration {
    pids.iter().map(|pid| Usage::of(*pid).cpu).sum()
}
