//! The loads that gateways have reported to this one.

use std::time::Duration;

use policy::exchange::Additive;
use policy::exchange::Ledger;
use policy::exchange::Report;
use policy::exchange::Sheet;
use policy::observation;
use policy::observation::Observations;
use policy::rate_limit;
use policy::rate_limit::Usage;
use rpc::view::Loads;

/// The requests of this gateway itself.
#[derive(Debug, Default)]
pub(crate) struct Own {
    /// Those in flight.
    pub(crate) loads: Sheet,
    /// Those at limited endpoints lately.
    pub(crate) usage: Usage,
}

/// The reports of this gateway's members, which report to it, and of other hubs.
#[derive(Debug)]
pub(crate) struct Exchange {
    vm: String,
    incarnation: u64,
    /// Number of the last own report.
    sequence: u64,
    members: Ledger,
    hubs: Ledger,
    members_usage: rate_limit::Ledger,
    hubs_usage: rate_limit::Ledger,
    members_observations: observation::Ledger,
    hubs_observations: observation::Ledger,
}

impl Exchange {
    /// Creates a value without any reports.
    pub(crate) fn new(vm: &str, incarnation: u64) -> Exchange {
        Exchange {
            vm: vm.to_owned(),
            incarnation,
            sequence: 0,
            members: Ledger::default(),
            hubs: Ledger::default(),
            members_usage: rate_limit::Ledger::default(),
            hubs_usage: rate_limit::Ledger::default(),
            members_observations: observation::Ledger::default(),
            hubs_observations: observation::Ledger::default(),
        }
    }

    /// Returns a report of this gateway's requests and of those that members have reported.
    pub(crate) fn next_report(&mut self, own: Sheet, now: Duration) -> Report {
        self.sequence += 1;
        Report {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            own,
            members: self.members.own(now),
            gateways: self.members.reporters(now) + 1,
        }
    }

    /// Returns a report of this gateway's requests at limited endpoints, and of those that members
    /// have reported.
    pub(crate) fn usage_report(&self, own: Usage, now: Duration) -> rate_limit::Report {
        rate_limit::Report { own, members: self.members_usage.own(now) }
    }

    /// Takes the reports of a member; returns the requests of all others. `None` if it isn't valid.
    pub(crate) fn take_member(
        &mut self,
        report: Report,
        usage: rate_limit::Report,
        own: &Own,
        now: Duration,
    ) -> Option<(Loads, Usage)> {
        let vm = report.vm.clone();
        take(&mut self.members, report, now)?;
        self.members_usage.record(&vm, usage, now);
        let (mut loads, mut usage) = self.all_but(&vm, now);
        loads.sheet.add_all(&own.loads);
        loads.gateways = loads.gateways.saturating_add(1);
        usage.add_all(&own.usage, Duration::ZERO);
        Some((loads, usage))
    }

    /// Takes the reports of another hub; returns this gateway's. `None` if it isn't valid.
    pub(crate) fn take_hub(
        &mut self,
        report: Report,
        usage: rate_limit::Report,
        own: Own,
        now: Duration,
    ) -> Option<(Report, rate_limit::Report)> {
        self.record_hub(report, usage, now)?;
        Some((self.next_report(own.loads, now), self.usage_report(own.usage, now)))
    }

    /// Records the reports of another hub. `None` if it isn't valid.
    pub(crate) fn record_hub(
        &mut self,
        report: Report,
        usage: rate_limit::Report,
        now: Duration,
    ) -> Option<()> {
        let vm = report.vm.clone();
        take(&mut self.hubs, report, now)?;
        self.hubs_usage.record(&vm, usage, now);
        Some(())
    }

    /// Returns a report of what this gateway and its members have observed.
    pub(crate) fn observations(&self, own: Observations, now: Duration) -> observation::Report {
        observation::Report { own, members: self.members_observations.own(now) }
    }

    /// Records what a member has observed; returns what all others have.
    pub(crate) fn take_member_observations(
        &mut self,
        vm: &str,
        report: observation::Report,
        own: &Observations,
        now: Duration,
    ) -> Observations {
        self.members_observations.record(vm, report, now);
        let mut others = self.observations_but(vm, now);
        others.add_all(own, Duration::ZERO);
        others
    }

    /// Records what another hub and its members have observed.
    pub(crate) fn record_hub_observations(
        &mut self,
        vm: &str,
        report: observation::Report,
        now: Duration,
    ) {
        self.hubs_observations.record(vm, report, now);
    }

    /// Returns what all other gateways have observed.
    pub(crate) fn other_observations(&self, now: Duration) -> Observations {
        self.observations_but(&self.vm, now)
    }

    fn observations_but(&self, vm: &str, now: Duration) -> Observations {
        let mut sum = self.members_observations.all_but(vm, now);
        sum.add_all(&self.hubs_observations.all_but(vm, now), Duration::ZERO);
        sum
    }

    /// Whether another hub has just started, or isn't known.
    pub(crate) fn is_new_hub(&self, vm: &str, now: Duration) -> bool {
        self.hubs.is_new(vm, now)
    }

    /// Returns the requests of all other gateways.
    pub(crate) fn others(&self, now: Duration) -> (Loads, Usage) {
        self.all_but(&self.vm, now)
    }

    fn all_but(&self, vm: &str, now: Duration) -> (Loads, Usage) {
        let mut sheet = self.members.all_but(vm, now);
        sheet.add_all(&self.hubs.all_but(vm, now));
        let members = self.members.gateways_but(vm, now);
        let gateways = members.saturating_add(self.hubs.gateways_but(vm, now));
        let mut usage = self.members_usage.all_but(vm, now);
        usage.add_all(&self.hubs_usage.all_but(vm, now), Duration::ZERO);
        (Loads { sheet, gateways }, usage)
    }
}

/// Records a report; `None` if it is rejected. Late and malformed reports change nothing that is
/// known.
fn take(ledger: &mut Ledger, report: Report, now: Duration) -> Option<()> {
    let (vm, sequence) = (report.vm.clone(), report.sequence);
    let taken = ledger.record(report, now);
    taken
        .inspect_err(|rejection| {
            log::info!(peer = vm.as_str(), sequence, reason:? = rejection; "report of loads rejected");
        })
        .ok()
}
