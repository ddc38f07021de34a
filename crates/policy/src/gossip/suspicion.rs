//! Failure detection: suspicions of members that can't be reached.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use wire::Member;
use wire::id;

/// Number of consecutive failed calls after which a member is suspected.
const FAILURES: u32 = 2;

/// Time for a suspected member to refute the suspicion before it counts as unreachable.
const REFUTE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which a suspicion is dropped; a failed call or a peer can raise it anew.
const SUSPICION_TTL: Duration = Duration::from_secs(120);

/// Number of spread suspicions that a beat repeats, so that processes that missed one, or
/// received an old description afterwards, still learn of it.
const REPEATED: usize = 2;

/// A suspicion as sent in beats; a newer description of the member refutes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The member's VM.
    pub vm: id::Vm,
    /// Its incarnation, as last described.
    pub incarnation: id::Incarnation,
    /// The version of its last description.
    pub version: u64,
}

impl Suspect {
    fn of(member: &Member) -> Suspect {
        let Member { vm, incarnation, version, .. } = member;
        Suspect { vm: vm.clone(), incarnation: *incarnation, version: *version }
    }
}

/// The members that a process suspects.
#[derive(Debug, Clone, Default)]
pub struct Suspicion {
    /// Sorted by VM.
    records: Vec<Record>,
    /// Index of the next suspicion to repeat, modulo their number.
    next: usize,
}

#[derive(Debug, Clone)]
struct Record {
    suspect: Suspect,
    /// Number of consecutive failed calls; the member is suspected from `FAILURES` on.
    failures: u32,
    /// When the member became suspected, or when its first call failed.
    since: Duration,
    /// Number of beats that are still to carry the suspicion.
    sends: u32,
}

impl Suspicion {
    /// Records a failed call to a member; `sends` is how often a new suspicion is sent.
    ///
    /// A member known only from the platform's VM list is never suspected: it may
    /// not have started.
    pub fn record_failure(&mut self, member: &Member, sends: u32, now: Duration) {
        if member.incarnation == 0 {
            return;
        }
        let suspect = Suspect::of(member);
        let record = self.record_of(suspect, now);
        record.failures += 1;
        if record.failures == FAILURES {
            record.since = now;
            record.sends = sends;
        }
    }

    /// Records a peer's suspicion and returns whether it was new; `known` is the local
    /// description of the member and `sends` how often a new suspicion is sent.
    pub fn record_report(
        &mut self,
        suspect: &Suspect,
        known: &Member,
        sends: u32,
        now: Duration,
    ) -> bool {
        if (suspect.incarnation, suspect.version) < (known.incarnation, known.version) {
            return false;
        }
        let record = self.record_of(suspect.clone(), now);
        if record.failures >= FAILURES {
            return false;
        }
        record.failures = FAILURES;
        record.since = now;
        record.sends = sends;
        true
    }

    /// Drops the suspicion of a member that called or answered.
    pub fn clear(&mut self, vm: &str) {
        if let Ok(index) = self.find(vm) {
            self.records.remove(index);
        }
    }

    /// Drops the suspicion of a member if the description is newer than the suspected
    /// one; returns whether the member was suspected and no longer is.
    pub fn refute(&mut self, member: &Member) -> bool {
        let Ok(index) = self.find(&member.vm) else { return false };
        let suspect = &self.records[index].suspect;
        if (member.incarnation, member.version) <= (suspect.incarnation, suspect.version) {
            return false;
        }
        self.records.remove(index).failures >= FAILURES
    }

    /// Returns the suspicions for the next beat: at most `most` that are still to be
    /// sent or, without such, a few that are repeated in round-robin order.
    pub fn pick(&mut self, most: usize) -> Vec<Suspect> {
        let waiting = self.records.iter_mut().filter(|record| record.sends > 0);
        let picked = waiting.take(most).map(|record| {
            record.sends -= 1;
            record.suspect.clone()
        });
        let mut picked: Vec<Suspect> = picked.collect();
        if picked.is_empty() {
            picked.extend(self.repeat());
        }
        picked
    }

    /// Returns the next suspicions to repeat.
    fn repeat(&mut self) -> Vec<Suspect> {
        let suspected = self.records.iter().filter(|record| record.failures >= FAILURES);
        let suspects: Vec<&Suspect> = suspected.map(|record| &record.suspect).collect();
        let count = REPEATED.min(suspects.len());
        let start = self.next;
        self.next = start.wrapping_add(count);
        (0..count).map(|index| suspects[(start + index) % suspects.len()].clone()).collect()
    }

    /// Returns the members that count as unreachable; `known` is the number of members.
    ///
    /// A process that can't reach most of the fleet is more likely cut off itself, so
    /// it reports none.
    pub fn unreachable(&self, known: usize, now: Duration) -> Vec<id::Vm> {
        let is_unreachable = |record: &&Record| {
            record.failures >= FAILURES && now.saturating_sub(record.since) >= REFUTE_TIMEOUT
        };
        let unreachable =
            self.records.iter().filter(is_unreachable).map(|record| record.suspect.vm.clone());
        let unreachable: Vec<id::Vm> = unreachable.collect();
        if unreachable.len() * 2 > known { Vec::new() } else { unreachable }
    }

    /// Drops suspicions that are too old.
    pub fn expire(&mut self, now: Duration) {
        self.records.retain(|record| now.saturating_sub(record.since) < SUSPICION_TTL);
    }

    /// Returns the record of a suspect, created if missing and updated to the newest
    /// suspected description.
    fn record_of(&mut self, suspect: Suspect, now: Duration) -> &mut Record {
        match self.find(&suspect.vm) {
            Ok(index) => {
                let record = &mut self.records[index];
                let seen = (record.suspect.incarnation, record.suspect.version);
                if (suspect.incarnation, suspect.version) > seen {
                    record.suspect = suspect;
                }
                record
            }
            Err(index) => {
                self.records.insert(index, Record { suspect, failures: 0, since: now, sends: 0 });
                &mut self.records[index]
            }
        }
    }

    fn find(&self, vm: &str) -> Result<usize, usize> {
        self.records.binary_search_by(|record| record.suspect.vm.as_str().cmp(vm))
    }
}
