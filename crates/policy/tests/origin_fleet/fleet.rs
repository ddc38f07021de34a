//! The gateways, the store and the clients together.

use std::time::Duration;

use policy::origin;
use policy::origin::Custody;
use policy::origin::Origin;
use policy::origin::Outlook;
use policy::origin::Segment;
use policy::origin::StreamId;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::origin_fleet::process::Process;
use crate::origin_fleet::process::has;
use crate::origin_fleet::process::is_mixed;
use crate::origin_fleet::rules::Rules;
use crate::origin_fleet::store::Store;
use crate::origin_fleet::tally::Tally;

pub(crate) const SERVICE: &str = "model";

const STEP: Duration = Duration::from_millis(100);

/// Steps of one play.
const STEPS: u32 = 900;

const SLOTS: usize = 5;

/// Steps within which clients come back for a stream.
const RETURN_STEPS: u32 = 30;

/// Attempts of a client after the first one.
const ATTEMPTS: u32 = 2;

/// Steps between them.
const RETRY_STEPS: u32 = 10;

/// The gateways, the store and the clients together.
pub(crate) struct Fleet {
    rng: Pcg32,
    rules: Rules,
    now: Duration,
    step: u32,
    store: Store,
    processes: Vec<Process>,
    /// Steps at which gateways start.
    starts: Vec<(u32, usize)>,
    /// The versions with the steps between which they serve.
    versions: Vec<(&'static str, u32, u32)>,
    /// Streams of which clients have events, with their gateways and steps.
    streams: Vec<(StreamId, &'static str, String, u32)>,
    /// Streams that clients take up, with the steps and the attempts before.
    returns: Vec<(u32, StreamId, &'static str, u32)>,
    started: u64,
    tally: Tally,
}

impl Fleet {
    pub(crate) fn new(seed: u64, rules: Rules) -> Fleet {
        let mut rng = Pcg32::seed_from_u64(seed);
        let second = rng.random_range(100..400);
        let third = second + rng.random_range(100..500);
        let ends = [second, third].map(|step| step + rng.random_range(10..80));
        Fleet {
            rng,
            rules,
            now: Duration::from_secs(1_000),
            step: 0,
            store: Store::default(),
            processes: Vec::new(),
            starts: (0..SLOTS).map(|slot| (0, slot)).collect(),
            versions: vec![("v1", 0, ends[0]), ("v2", second, ends[1]), ("v3", third, STEPS)],
            streams: Vec::new(),
            returns: Vec::new(),
            started: 0,
            tally: Tally::default(),
        }
    }

    /// Plays all steps.
    pub(crate) fn play(mut self) -> Tally {
        for step in 0..STEPS {
            (self.step, self.now) = (step, self.now + STEP);
            let is_back = self.store.step();
            self.start();
            self.announce();
            // Some come back as the store does, before anything is written again.
            self.take_up_all();
            for index in 0..self.processes.len() {
                self.keep(index);
            }
            for _ in 0..self.rng.random_range(0..4) {
                self.begin();
            }
            if self.rng.random_bool(0.01) {
                self.store.fail(&mut self.rng);
            }
            // What ends often ends when something else happens.
            if self.rng.random_bool(if is_back { 0.3 } else { 0.01 }) {
                self.end();
            }
        }
        self.tally
    }

    fn start(&mut self) {
        let step = self.step;
        let due: Vec<usize> =
            self.starts.iter().filter(|(at, _)| *at <= step).map(|(_, slot)| *slot).collect();
        self.starts.retain(|(at, _)| *at > step);
        for slot in due {
            self.started += 1;
            self.processes.push(Process::new(format!("g{slot}/{}", self.started), slot));
        }
    }

    /// Lets gateways hear of the versions that serve, each at its own time.
    fn announce(&mut self) {
        for process in &mut self.processes {
            for (version, from, until) in &self.versions {
                let is_served = (*from..*until).contains(&self.step);
                let is_known = has(&process.ledger.versions(self.now), version);
                if is_served && (is_known || self.rng.random_bool(0.2)) {
                    process.ledger.announce(SERVICE, version, self.now);
                }
            }
        }
    }

    /// Lets a gateway read and write.
    fn keep(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let answers = self.store.answers(process.slot);
        if answers && self.rng.random_bool(0.5) {
            process.read(&self.store, self.rules, self.now);
        }
        if process.serves() && self.rng.random_bool(0.5) {
            process.set_away(!answers, self.now);
        }
        if self.rng.random_bool(0.5) {
            self.write(index);
        }
    }

    /// Lets a gateway write its journal. Returns whether it knows that it did.
    fn write(&mut self, index: usize) -> bool {
        let process = &mut self.processes[index];
        let answers = self.store.answers(process.slot);
        if answers && !process.ledger.versions(self.now).rows.is_empty() {
            process.write(&mut self.store, self.rules, self.now);
            // The answer may be lost.
            return self.rng.random_bool(0.9);
        }
        false
    }

    /// Lets a stream begin at a gateway.
    fn begin(&mut self) {
        if self.processes.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.processes.len());
        let process = &self.processes[index];
        if !process.serves() {
            return;
        }
        let heard = process.ledger.versions(self.now);
        let serving = self.versions.iter().filter(|(version, from, until)| {
            (*from..*until).contains(&self.step) && has(&heard, version)
        });
        let serving: Vec<&'static str> = serving.map(|(version, ..)| *version).collect();
        if serving.is_empty() {
            return;
        }
        let version = serving[self.rng.random_range(0..serving.len())];
        let stream = self.rng.random();
        let process = &mut self.processes[index];
        process.ledger.record(SERVICE, version, stream, self.now);
        let (name, is_recorded) =
            (process.name.clone(), process.ledger.is_recorded(SERVICE, self.now));
        if !is_recorded || self.is_secured(index, version, stream) {
            self.streams.push((stream, version, name, self.step));
        }
    }

    /// Records a stream elsewhere. Returns whether its first event is sent.
    fn is_secured(&mut self, index: usize, version: &str, stream: StreamId) -> bool {
        let process = &self.processes[index];
        let mut custody = Custody {
            is_named: process.names(version),
            is_mixed: process.ledger.versions(self.now).rows.len() > 1,
            ..Custody::default()
        };
        // The row may come later than the replica.
        custody.is_stored = self.rng.random_bool(0.6) && self.write(index);
        let is_failing = !self.store.answers(self.processes[index].slot);
        let mut segment = Segment::default();
        segment.add(SERVICE, version, stream);
        // The hub, or others if it doesn't answer.
        for other in 0..self.processes.len() {
            if other == index || custody.is_replicated || self.rng.random_bool(0.2) {
                continue;
            }
            custody.is_replicated = true;
            let peer = &mut self.processes[other];
            peer.replicas.learn(&segment, self.now);
            if is_failing && self.rules.has_custody {
                peer.adopted.learn(&segment, self.now);
                custody.is_named |= peer.names(version);
                let is_stored = self.write(other);
                custody.is_stored |= is_stored;
                custody.is_outage = !is_stored;
                if !is_stored {
                    self.processes[other].set_away(true, self.now);
                }
            }
        }
        match self.rules.has_custody {
            true => custody.is_safe(),
            false => custody.is_stored || custody.is_replicated,
        }
    }

    /// Lets gateways end, and others start in their places later.
    fn end(&mut self) {
        for _ in 0..self.rng.random_range(1..=3) {
            if self.processes.is_empty() {
                return;
            }
            let index = self.rng.random_range(0..self.processes.len());
            let process = self.processes.remove(index);
            self.starts.push((self.step + self.rng.random_range(1..60), process.slot));
            for (stream, version, gateway, begun) in &self.streams {
                if *gateway == process.name && self.step - begun < RETURN_STEPS {
                    let at = self.step + self.rng.random_range(1..RETURN_STEPS);
                    self.returns.push((at, *stream, *version, 0));
                }
            }
        }
    }

    fn take_up_all(&mut self) {
        if self.processes.is_empty() {
            return;
        }
        let step = self.step;
        let due: Vec<(u32, StreamId, &'static str, u32)> =
            self.returns.iter().filter(|(at, ..)| *at <= step).copied().collect();
        self.returns.retain(|(at, ..)| *at > step);
        for (_, stream, version, attempts) in due {
            let index = self.rng.random_range(0..self.processes.len());
            match self.take_up(index, stream) {
                // A read is answered once the store is back.
                None if self.store.is_away() && self.rng.random_bool(0.9) => {
                    self.returns.push((step + 1, stream, version, attempts));
                }
                None if attempts < ATTEMPTS => {
                    self.returns.push((step + RETRY_STEPS, stream, version, attempts + 1));
                }
                None => self.tally.unknown += 1,
                Some(found) if found == version => self.tally.known += 1,
                Some(_) => self.tally.mixed += 1,
            }
        }
    }

    /// Returns the version at which a stream goes on; `None` if it is refused.
    fn take_up(&mut self, index: usize, stream: StreamId) -> Option<String> {
        if !self.processes[index].serves() {
            return None;
        }
        if self.rules.has_histories
            && let Some(version) = self.processes[index].find(stream)
        {
            return Some(version.to_owned());
        }
        let mut answered = vec![self.processes[index].name.clone()];
        for process in &self.processes {
            if !self.rules.has_custody || !self.rules.has_histories {
                answered.push(process.name.clone());
            } else if self.rng.random_bool(0.9) {
                if let Some(version) = process.find(stream) {
                    return Some(version.to_owned());
                }
                answered.push(process.name.clone());
            }
        }
        let process = &self.processes[index];
        if !self.store.answers(process.slot) {
            return None;
        }
        let restores = self.store.restores;
        let journals = self.store.entries.iter().map(|entry| entry.journal(restores, &answered));
        let mut journals: Vec<origin::Journal> = journals.collect();
        let mut outlook = process.outlook(restores, self.now);
        if !self.rules.has_exclusion {
            journals.iter_mut().for_each(|journal| {
                journal.is_excluded = is_mixed(journal);
                journal.orphans = Segment::default();
            });
            outlook.orphans = Segment::default();
        }
        if !self.rules.has_histories {
            journals.iter_mut().for_each(|journal| journal.is_complete = true);
            outlook = Outlook { is_first: true, ..Outlook::default() };
        }
        if !self.rules.has_losses {
            outlook.loss = None;
        }
        match origin::resolve(&journals, &outlook, SERVICE, Some(stream)) {
            Origin::Version(version) => Some(version.to_owned()),
            Origin::Unknown | Origin::Pending => None,
        }
    }
}
