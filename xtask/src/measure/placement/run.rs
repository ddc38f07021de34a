//! Simulation run: the product's decisions over simulated engines.
//!
//! It is a discrete-event simulation: time advances from event to event and all
//! random choices are seeded, so a run gives the same figures each time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use fleet::load::Placed;
use fleet::load::Simulation;
use policy::bound;
use policy::placement;
use policy::placement::Fingerprint;
use policy::placement::Location;
use policy::placement::Locations;
use policy::placement::Placement;
use policy::placement::Query;
use policy::placement::Spill;
use policy::placement::fingerprint;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use wire::Mean;
use wire::notes::Note;

use crate::measure::placement::engine::Engine;
use crate::measure::placement::entry::Entry;
use crate::measure::placement::population;
use crate::measure::placement::population::Population;
use crate::measure::placement::setting::Setting;
use crate::measure::placement::tally::Tally;
use crate::measure::placement::work::Work;

/// Load bound, as a multiple of the mean load.
const LOAD_BOUND: f32 = 1.25;
/// Most attempts of a request.
const MAX_ATTEMPTS: u32 = 3;
/// Part of a retry that each request earns, in percent.
const RETRY_PERCENT: u32 = 20;
/// Time between two descriptions of the engines' loads.
const DESCRIPTION_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two batches of notes of an entry.
const NOTE_INTERVAL: Duration = Duration::from_secs(1);

/// Event of the simulation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// An engine ends the work with an index in [`Run::works`].
    End {
        engine: usize,
        slot: usize,
    },
    Descriptions,
    Notes,
    Loss,
}

/// State of a simulation run.
pub(crate) struct Run<'a> {
    pub(crate) setting: &'a Setting,
    pub(crate) now: Duration,
    pub(crate) engines: Vec<Engine>,
    pub(crate) tally: Tally,
    entries: Vec<Entry>,
    placement: Box<dyn Placement>,
    population: Population,
    random: Pcg64,
    /// Pending events by time, then by sequence number.
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    /// Sequence number of the last event, which orders events at the same time.
    sequence: u64,
    /// Accepted work, by the index that its end event carries; `None` once ended.
    works: Vec<Option<(Work, Placed)>>,
    oracle: Simulation,
    /// Places shared by all entries, used if the variant is replicated.
    table: Locations,
    /// Requests sent so far.
    sent: usize,
}

/// Runs a setting and returns its counts.
pub(crate) fn run(setting: &Setting) -> Tally {
    let engine = |index| Engine::new(index, setting.slots, setting.cache_tokens);
    let slots = setting.slots as usize;
    let mut run = Run {
        setting,
        now: Duration::ZERO,
        engines: (0..setting.engines).map(engine).collect(),
        tally: Tally::default(),
        entries: (0..setting.entries).map(|_| Entry::default()).collect(),
        placement: setting.variant.kind.placement(),
        population: Population::new(setting),
        random: Pcg64::seed_from_u64(setting.seed),
        events: BinaryHeap::new(),
        sequence: 0,
        works: Vec::new(),
        oracle: Simulation::new(setting.engines, slots, setting.cache_tokens),
        table: Locations::default(),
        sent: 0,
    };
    run.push(Duration::ZERO, Event::Arrival);
    run.push(DESCRIPTION_INTERVAL, Event::Descriptions);
    run.push(NOTE_INTERVAL, Event::Notes);
    if let Some(loss) = setting.loss {
        run.push(loss.at, Event::Loss);
    }
    run.process_events();
    run.tally
}

impl Run<'_> {
    /// Schedules an event.
    fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Processes events until the time of the setting is over.
    fn process_events(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > self.setting.time {
                return;
            }
            self.now = at;
            match event {
                Event::Arrival => self.send_next(),
                Event::End { engine, slot } => self.finish(engine, slot),
                Event::Descriptions => self.update_descriptions(),
                Event::Notes => self.send_notes(),
                Event::Loss => self.lose_engines(),
            }
        }
    }

    /// Sends the next request and schedules the one after it.
    fn send_next(&mut self) {
        let interval = population::next_interval(&mut self.random, self.setting.rate);
        self.push(self.now + Duration::from_secs_f64(interval), Event::Arrival);
        let entry = self.sent % self.entries.len();
        let second = self.now.as_secs() as usize;
        let Some(work) = self.population.next(&mut self.random, entry, second) else { return };
        self.sent += 1;
        let placed = self.oracle.place(&work.name, work.earlier, self.now);
        let second = self.tally.second(second);
        second.sent += 1;
        second.earlier += work.earlier;
        second.oracle += placed.reused;
        self.entries[entry].retry_budget.earn(RETRY_PERCENT);
        match self.dispatch(&work) {
            Some(engine) => self.accept(engine, work, placed),
            None => {
                self.population.record_failure(work.chat_index);
                self.oracle.end(placed, &work.name, None);
            }
        }
    }

    /// Tries engines in turn as an entry does and returns the one that accepts the
    /// work, if any.
    fn dispatch(&mut self, work: &Work) -> Option<usize> {
        let variant = self.setting.variant;
        let mut tried: Vec<usize> = Vec::new();
        let mut hint = None;
        let mut has_followed = false;
        for _ in 0..MAX_ATTEMPTS {
            let entry = &self.entries[work.entry];
            let (all, _) = entry.candidates(&self.engines, self.now);
            let home = placement::home(work.chat, &all).map(|home| all[home].engine.clone())?;
            let places = if variant.is_replicated { &self.table } else { &entry.places };
            let known = places.locate(work.chat, self.now).filter(|last| {
                variant.is_replicated || (variant.has_places && last.home != fingerprint(&home))
            });
            let last = hint.or(known.map(|last| last.engine));
            let mean = entry.mean.mean(self.now);
            let (mut candidates, mut indices) = entry.candidates(&self.engines, self.now);
            for tried in &tried {
                if let Some(index) = indices.iter().position(|index| index == tried) {
                    indices.remove(index);
                    candidates.remove(index);
                }
            }
            let query = Query {
                chat: Some(work.chat),
                last,
                mean,
                bound: LOAD_BOUND,
                is_first_turn: work.is_first,
                can_try_full: !work.is_first && entry.retry_budget.has_surplus(),
                seed: self.random.random(),
            };
            let first = *self.placement.order(&query, &candidates).first()?;
            let engine = indices[first];
            let redirect = variant.has_places && last.is_none() && !has_followed;
            self.tally.second(work.second).attempts += 1;
            let is_home = self.engines[engine].name == home;
            let away = self.engines[engine].location_of(work.chat, self.now);
            if let Some(away) = away.filter(|_| redirect && is_home) {
                hint = Some(fingerprint(&away));
                has_followed = true;
                continue;
            }
            if self.engines[engine].accepts(LOAD_BOUND, mean) {
                let is_hinted =
                    hint.is_some_and(|hint| hint == fingerprint(&self.engines[engine].name));
                self.record_placement(work, engine, &home, last, is_hinted);
                return Some(engine);
            }
            let place_kind = self.place_kind(engine, &home, last);
            self.tally.second(work.second).refused[place_kind] += 1;
            let entry = &mut self.entries[work.entry];
            entry.record_load(&self.engines[engine], false, self.now);
            hint = None;
            tried.push(engine);
            if !entry.retry_budget.spend() {
                return None;
            }
        }
        None
    }

    /// Returns the kind of place that an engine is for a chat: 0 for its home, 1 for
    /// its last place, 2 for another engine.
    fn place_kind(&self, engine: usize, home: &str, last: Option<Fingerprint>) -> usize {
        let name = &self.engines[engine].name;
        match (name == home, last == Some(fingerprint(name))) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        }
    }

    /// Records where a chat is served: in the counts, and in the tables of its entry
    /// and its home.
    fn record_placement(
        &mut self,
        work: &Work,
        engine: usize,
        home: &str,
        last: Option<Fingerprint>,
        is_hinted: bool,
    ) {
        let place_kind = self.place_kind(engine, home, last);
        if !work.is_first {
            self.tally.second(work.second).placed[place_kind] += 1;
        }
        if !self.setting.variant.has_places {
            return;
        }
        let name = self.engines[engine].name.clone();
        let entry = &mut self.entries[work.entry];
        if name == home {
            entry.places.forget(work.chat);
            self.table.forget(work.chat);
            self.engines[engine].away.forget(work.chat);
            return;
        }
        // Only a home that never had the chat is sent a note. Otherwise it has the
        // context as well, and redirecting callers would cost more than it saves.
        let is_absent_at_home = work.is_first || last.is_some();
        let last = Location { engine: fingerprint(&name), home: fingerprint(home) };
        if is_absent_at_home {
            self.table.record(work.chat, last, self.now);
        }
        let is_new = entry.places.record(work.chat, last, self.now);
        if is_new && is_absent_at_home && !is_hinted {
            let note = Note { chat: work.chat, engine: name };
            entry.spills.add(Spill { home: home.to_owned(), note });
        }
    }

    /// Accepts work at an engine, where it runs at once or waits for a slot.
    fn accept(&mut self, index: usize, work: Work, placed: Placed) {
        let entry = work.entry;
        self.works.push(Some((work.clone(), placed)));
        let slot = self.works.len() - 1;
        if self.engines[index].running < self.setting.slots {
            self.start(index, &work, slot);
        } else {
            let work = Work { second: slot, ..work };
            self.engines[index].waiting.push_back(work);
        }
        let engine = &self.engines[index];
        self.entries[entry].record_load(engine, true, self.now);
        let load = engine.load().requests();
        self.tally.highest_load = self.tally.highest_load.max(load);
        let limit = bound::limit(LOAD_BOUND, self.setting.slots, self.true_mean());
        self.tally.above_bound += u64::from(load > limit);
    }

    /// Returns the actual mean load of the live engines.
    fn true_mean(&self) -> Option<Mean> {
        let live = self.engines.iter().filter(|engine| !engine.is_lost);
        let requests: u32 = live.clone().map(|engine| engine.load().requests()).sum();
        let slots = live.count() as u32 * self.setting.slots;
        let per_slot = requests as f32 / slots as f32;
        Some(Mean { per_slot, weight: self.engines.len() as f32, age: Duration::ZERO })
    }

    /// Starts accepted work and schedules its end.
    fn start(&mut self, index: usize, work: &Work, slot: usize) {
        let engine = &mut self.engines[index];
        engine.running += 1;
        let cached = engine.cache.serve(&work.name, work.earlier, work.prompt);
        let Some((whole, _)) = &self.works[slot] else { return };
        let second = self.tally.second(whole.second);
        second.served += 1;
        second.cached += cached;
        let prefill = self.setting.prefill * (work.prompt - cached) as u32;
        self.push(self.now + prefill + self.setting.answer, Event::End { engine: index, slot });
    }

    /// Ends work and starts the next that waits at the engine.
    fn finish(&mut self, index: usize, slot: usize) {
        let Some((work, placed)) = self.works[slot].take() else { return };
        self.oracle.end(placed, &work.name, Some(work.after));
        let engine = &mut self.engines[index];
        engine.running -= 1;
        engine.cache.serve(&work.name, 0, work.after);
        self.population.record_answer(work.chat_index);
        self.entries[work.entry].loads.record_end(&engine.name);
        if let Some(next) = self.engines[index].waiting.pop_front() {
            let slot = next.second;
            self.start(index, &next, slot);
        }
    }

    /// Makes the current loads of the engines known to all entries.
    fn update_descriptions(&mut self) {
        self.push(self.now + DESCRIPTION_INTERVAL, Event::Descriptions);
        for engine in &mut self.engines {
            engine.described_load = engine.load();
        }
    }

    /// Sends the pending notes of all entries to the homes.
    fn send_notes(&mut self) {
        self.push(self.now + NOTE_INTERVAL, Event::Notes);
        let batches: Vec<_> =
            self.entries.iter_mut().flat_map(|entry| entry.spills.take()).collect();
        for batch in batches {
            self.tally.notes += batch.notes.len() as u64;
            let home = self.engines.iter_mut().find(|engine| engine.name == batch.home);
            if let Some(home) = home {
                batch
                    .notes
                    .iter()
                    .for_each(|note| home.away.record(note.chat, &note.engine, self.now));
            }
        }
    }

    /// Loses engines: entries no longer choose them. Requests that they run or hold
    /// still end as answered.
    fn lose_engines(&mut self) {
        let Some(loss) = self.setting.loss else { return };
        for index in (0..self.engines.len()).step_by(loss.one_in) {
            self.engines[index].is_lost = true;
        }
    }
}
