//! What a gateway knows of crashes, and the parts that it refuses for them.

use std::time::Duration;

use crate::quarantine::Block;
use crate::quarantine::Crash;
use crate::quarantine::Digest;
use crate::quarantine::PartId;
use crate::quarantine::StartId;
use crate::quarantine::Successes;
use crate::quarantine::Suspect;
use crate::quarantine::blame::CRASH_TTL;
use crate::quarantine::blame::blame;
use crate::quarantine::broken::Broken;
use crate::quarantine::digest::MAX_ALL_SUSPECTS;
use crate::quarantine::digest::MAX_CRASHES;
use crate::quarantine::digest::MAX_SUCCESSES;

/// Most crashes that are kept; the oldest ones are forgotten first.
const MAX_KNOWN: usize = 128;

/// How long news is told: several exchanges, so that one that is lost takes nothing away.
const NEWS_TIME: Duration = Duration::from_secs(2);

/// A response that began longer than this before its endpoint crashed did not cause the crash.
const BEGIN_TIME: Duration = Duration::from_secs(1);

/// Crashes of endpoints, successes of parts, and the blocks that follow from both.
#[derive(Debug, Clone, Default)]
pub struct Register {
    broken: Broken,
    /// Sorted by the endpoint's start.
    crashes: Vec<Crash>,
    successes: Successes,
    /// Crashes that are news, with the time at which they became that.
    new_crashes: Vec<(StartId, Duration)>,
    /// Successes that are news, with the time at which they became that.
    new_successes: Vec<(PartId, Duration)>,
    blocks: Vec<Block>,
    /// Parts that may have caused one of the crashes, sorted.
    suspected: Vec<PartId>,
}

impl Register {
    /// Records that a request broke off at an endpoint. `begun` is the time since the response
    /// began, if it did.
    ///
    /// Returns whether it should be checked if the endpoint has crashed.
    pub fn record_broken(
        &mut self,
        start: StartId,
        request: Suspect,
        begun: Option<Duration>,
        now: Duration,
    ) -> bool {
        if begun.is_some_and(|begun| begun > BEGIN_TIME) {
            return false;
        }
        let is_due = self.broken.add(start, request, clock(now));
        if self.find(start).is_err() {
            return is_due;
        }
        self.confirm(start, now);
        false
    }

    /// Records that an endpoint has crashed. Returns whether that tells anything new.
    pub fn confirm(&mut self, start: StartId, now: Duration) -> bool {
        let now = clock(now);
        let Some((at, suspects)) = self.broken.take(start, now) else { return false };
        let is_new = self.add(start, at, suspects, now);
        if is_new {
            self.update(now);
        }
        is_new
    }

    /// Records that a request succeeded.
    pub fn record_success(&mut self, request: &Suspect, now: Duration) {
        let now = clock(now);
        let mut is_news = false;
        for part in request.parts() {
            let was_suspected = self.is_suspected(*part);
            self.successes.record(*part, now);
            if was_suspected {
                self.tell_success(*part, now);
                is_news = true;
            }
        }
        if is_news {
            self.update(now);
        }
    }

    /// Returns how long requests like this one are refused; `None` if it may be sent.
    pub fn blocked_for(&self, request: &Suspect, now: Duration) -> Option<Duration> {
        let now = clock(now);
        let blocks = self.blocks.iter().filter(|block| block.applies_to(request));
        blocks.map(|block| block.until.saturating_sub(now)).filter(|left| !left.is_zero()).max()
    }

    /// Returns the blocks.
    pub fn blocks(&self) -> &[Block] {
        &self.blocks
    }

    /// Returns the crashes for which a block's parts are blamed, with a suspect for each that has
    /// just these parts.
    pub fn evidence(&self, block: &Block) -> Option<(Suspect, Vec<StartId>)> {
        let has_parts = |crash: &&Crash| crash.suspects().iter().any(|it| block.applies_to(it));
        let starts = self.crashes.iter().filter(has_parts).map(|crash| crash.start).collect();
        Some((Suspect::new(block.parts.iter().copied())?, starts))
    }

    /// Returns what another gateway should know: news, and all that blocks rest on for one that
    /// has just started.
    pub fn digest(&self, is_new: bool, now: Duration) -> Digest {
        let now = clock(now);
        let is_news = |at: Duration| now.saturating_sub(at) < NEWS_TIME;
        let news = self.new_crashes.iter().rev().filter(|(_, at)| is_news(*at));
        let mut told: Vec<StartId> = news.map(|(start, _)| *start).collect();
        if is_new {
            let rests_on = |crash: &&Crash| {
                let mut blocks = self.blocks.iter();
                blocks.any(|block| crash.suspects().iter().any(|it| block.applies_to(it)))
            };
            told.extend(self.crashes.iter().filter(rests_on).map(|crash| crash.start));
            told.sort_unstable();
            told.dedup();
        }
        let crashes = told.iter().filter_map(|start| {
            let crash = &self.crashes[self.find(*start).ok()?];
            Some((*start, now.saturating_sub(crash.at), crash.suspects().to_vec()))
        });
        let mut suspects = 0;
        let fits = |(_, _, of_crash): &(StartId, Duration, Vec<Suspect>)| {
            suspects += of_crash.len();
            suspects <= MAX_ALL_SUSPECTS
        };
        let crashes: Vec<_> = crashes.take(MAX_CRASHES).take_while(fits).collect();
        let news = self.new_successes.iter().rev().filter(|(_, at)| is_news(*at));
        let mut cleared: Vec<PartId> = news.map(|(part, _)| *part).collect();
        if is_new {
            // It would blame sound parts as well for crashes of which it knows no successes.
            let suspects = crashes.iter().flat_map(|(_, _, suspects)| suspects);
            cleared.extend(suspects.flat_map(Suspect::parts));
            cleared.sort_unstable();
            cleared.dedup();
        }
        let successes = cleared.into_iter().filter_map(|part| {
            let at = self.successes.last(part)?;
            Some((part, now.saturating_sub(at)))
        });
        Digest { crashes, successes: successes.take(MAX_SUCCESSES).collect() }
    }

    /// Learns what another gateway knows.
    pub fn learn(&mut self, digest: &Digest, now: Duration) {
        if digest.is_empty() || !digest.is_valid() {
            return;
        }
        let now = clock(now);
        let mut is_news = false;
        for (start, age, suspects) in &digest.crashes {
            if *age < CRASH_TTL {
                let at = now.saturating_sub(*age);
                is_news |= self.add(*start, at, suspects.clone(), now);
            }
            if let Some((at, suspects)) = self.broken.take(*start, now) {
                is_news |= self.add(*start, at, suspects, now);
            }
        }
        for (part, age) in &digest.successes {
            let was_suspected = self.is_suspected(*part);
            if self.successes.record(*part, now.saturating_sub(*age)) && was_suspected {
                self.tell_success(*part, now);
                is_news = true;
            }
        }
        if is_news {
            self.update(now);
        }
    }

    /// Adds suspects of a crash. Returns whether any of them is new.
    fn add(&mut self, start: StartId, at: Duration, suspects: Vec<Suspect>, now: Duration) -> bool {
        let index = self.find(start).unwrap_or_else(|index| {
            self.crashes.insert(index, Crash::new(start, at));
            index
        });
        let crash = &mut self.crashes[index];
        // Another gateway may have noticed it earlier.
        crash.at = crash.at.min(at);
        let mut is_new = false;
        for suspect in suspects {
            // A success that others may not know of clears the part there too.
            let parts = suspect.parts().iter().copied();
            let cleared: Vec<PartId> =
                parts.filter(|part| self.successes.clears(*part, crash)).collect();
            if crash.add(suspect) {
                is_new = true;
                tell(&mut self.new_successes, cleared, now);
            }
        }
        if is_new {
            tell(&mut self.new_crashes, [start], now);
        }
        is_new
    }

    /// Forgets what no longer counts, and works out the blocks anew.
    fn update(&mut self, now: Duration) {
        self.crashes.retain(|crash| now.saturating_sub(crash.at) < CRASH_TTL);
        while self.crashes.len() > MAX_KNOWN {
            let times = self.crashes.iter().enumerate().map(|(index, crash)| (crash.at, index));
            let Some((_, oldest)) = times.min() else { break };
            self.crashes.remove(oldest);
        }
        let suspects = self.crashes.iter().flat_map(Crash::suspects);
        self.successes.set_needed(suspects.flat_map(Suspect::parts).copied().collect());
        self.blocks = blame(&self.crashes, &self.successes);
        self.suspected = suspected_parts(&self.crashes, &self.successes);
    }

    /// Whether a part may have caused one of the crashes.
    fn is_suspected(&self, part: PartId) -> bool {
        self.suspected.binary_search(&part).is_ok()
    }

    fn tell_success(&mut self, part: PartId, now: Duration) {
        tell(&mut self.new_successes, [part], now);
    }

    fn find(&self, start: StartId) -> Result<usize, usize> {
        self.crashes.binary_search_by_key(&start, |crash| crash.start)
    }
}

/// Returns a time as it is kept: a gateway learns of crashes before its own start.
fn clock(now: Duration) -> Duration {
    now + CRASH_TTL
}

/// Returns the parts that may have caused one of the crashes, sorted.
fn suspected_parts(crashes: &[Crash], successes: &Successes) -> Vec<PartId> {
    let mut parts = Vec::new();
    for crash in crashes {
        let there = crash.suspects().iter().flat_map(Suspect::parts).copied();
        parts.extend(there.filter(|part| !successes.clears(*part, crash)));
    }
    parts.sort_unstable();
    parts.dedup();
    parts
}

/// Adds news, and forgets what no longer is.
fn tell(news: &mut Vec<(u64, Duration)>, told: impl IntoIterator<Item = u64>, now: Duration) {
    news.retain(|(_, at)| now.saturating_sub(*at) < NEWS_TIME);
    for id in told {
        news.retain(|(known, _)| *known != id);
        news.push((id, now));
    }
}
