//! The sum of the counts of many processes.

use config::Demand;
use wire::id;

use crate::Row;
use crate::Sheet;
use crate::Slot;
use crate::row;
use crate::slot;

/// The sum of the counts of all processes that answered.
///
/// It holds one row per service and account, however many processes there are.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sum {
    /// Processes that answered, sorted by VM.
    pub processes: Vec<Process>,
    /// VMs of processes that did not answer, sorted.
    pub missing: Vec<id::Vm>,
    /// Counts of the short window, sorted by service and account.
    pub short: Vec<Row>,
    /// Counts of the long window, sorted by service and account.
    pub long: Vec<Row>,
    /// Counts of the long window by slot, the latest first.
    pub slots: Vec<Slot>,
}

/// A process that answered.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Process {
    /// Its VM.
    pub vm: id::Vm,
    /// Minutes since its start, the running one included, at most the long window.
    pub minutes: u64,
}

impl Sum {
    /// Adds the counts of a process.
    pub fn add(&mut self, sheet: &Sheet) {
        let process = Process { vm: sheet.stamp.vm.clone(), minutes: sheet.minutes };
        let index = self.processes.binary_search(&process).unwrap_or_else(|index| index);
        self.processes.insert(index, process);
        for row in &sheet.short {
            row::count_mut(&mut self.short, &row.service, &row.account).add(row.count);
        }
        for row in &sheet.long {
            row::count_mut(&mut self.long, &row.service, &row.account).add(row.count);
        }
        for slot in &sheet.slots {
            for tally in &slot.tallies {
                slot::count_mut(&mut self.slots, slot.ago, &tally.service).add(tally.count);
            }
        }
    }

    /// Records a process that did not answer.
    pub fn record_missing(&mut self, vm: id::Vm) {
        let index = self.missing.binary_search(&vm).unwrap_or_else(|index| index);
        self.missing.insert(index, vm);
    }

    /// Returns the requests per service within the long window, refused ones included.
    pub fn demand(&self) -> Demand {
        let mut demand = Demand::new(self.missing.clone());
        self.long.iter().for_each(|row| demand.add(&row.service, row.count.total()));
        demand
    }
}
