//! The engine loads reported in answers, newer than those in member descriptions.

use std::time::Duration;

use wire::Load;
use wire::id;

/// After this time the load in the member's description is as recent.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// The last reported load of each engine.
#[derive(Debug, Clone, Default)]
pub struct Loads {
    /// Sorted by engine.
    reports: Vec<Report>,
}

#[derive(Debug, Clone)]
struct Report {
    engine: id::Engine,
    load: Load,
    at: Duration,
}

impl Loads {
    /// Records the load that an engine's agent reported.
    pub fn observe(&mut self, engine: &str, load: Load, now: Duration) {
        let report = Report { engine: engine.to_owned(), load, at: now };
        match self.find(engine) {
            Ok(index) => self.reports[index] = report,
            Err(_) => {
                self.prune(now);
                let index = self.reports.partition_point(|known| known.engine.as_str() < engine);
                self.reports.insert(index, report);
            }
        }
    }

    /// Records in an engine's load that a request of this process ended there.
    pub fn record_end(&mut self, engine: &str) {
        if let Ok(index) = self.find(engine) {
            let load = &mut self.reports[index].load;
            match load.waiting {
                0 => load.running = load.running.saturating_sub(1),
                // A waiting request takes the slot, so as many run as before.
                _ => load.waiting -= 1,
            }
        }
    }

    /// Returns the last reported load of an engine, if it is recent.
    pub fn load(&self, engine: &str, now: Duration) -> Option<Load> {
        let report = &self.reports[self.find(engine).ok()?];
        (now.saturating_sub(report.at) <= REPORT_TTL).then_some(report.load)
    }

    /// Removes old reports, so that replaced VMs take no memory.
    fn prune(&mut self, now: Duration) {
        self.reports.retain(|report| now.saturating_sub(report.at) <= REPORT_TTL);
    }

    fn find(&self, engine: &str) -> Result<usize, usize> {
        self.reports.binary_search_by(|report| report.engine.as_str().cmp(engine))
    }
}

/// Returns the load without one request that it counts: a waiting one if there
/// is one, else a running one.
pub fn without_request(load: Load) -> Load {
    match load.waiting {
        0 => Load { running: load.running.saturating_sub(1), ..load },
        waiting => Load { waiting: waiting - 1, ..load },
    }
}
