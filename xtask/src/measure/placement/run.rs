//! One run of the model: real decisions over engines that are only counted.
//!
//! Time goes from event to event, so a run gives the same figures each time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use fleet::load::Placed;
use fleet::load::Simulation;
use policy::bound;
use policy::placement;
use policy::placement::Ask;
use policy::placement::Last;
use policy::placement::Place;
use policy::placement::Placement;
use policy::placement::Places;
use policy::placement::Spill;
use policy::placement::place;
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

/// The load bound.
const BOUND: f32 = 1.25;
/// Attempts that one request may make.
const ATTEMPTS: u32 = 3;
/// Retries that a request earns, in percent of one.
const RETRY_PERCENT: u32 = 20;
/// Time between two rounds of descriptions.
const ROUND: Duration = Duration::from_secs(1);
/// Time between two rounds of notes.
const NOTES: Duration = Duration::from_secs(1);

/// What comes next.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    End { engine: usize, slot: usize },
    Round,
    Notes,
    Change,
}

/// One run.
pub(crate) struct Run<'a> {
    pub(crate) setting: &'a Setting,
    pub(crate) now: Duration,
    pub(crate) engines: Vec<Engine>,
    pub(crate) tally: Tally,
    entries: Vec<Entry>,
    placement: Box<dyn Placement>,
    population: Population,
    random: Pcg64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    number: u64,
    /// Work that runs, by the number that its end names.
    works: Vec<Option<(Work, Placed)>>,
    oracle: Simulation,
    /// Places that all entries know, where they are replicated.
    table: Places,
    sent: usize,
}

/// Runs a setting.
pub(crate) fn run(setting: &Setting) -> Tally {
    let engine = |index| Engine::new(index, setting.slots, setting.cache_tokens);
    let slots = setting.slots as usize;
    let mut run = Run {
        setting,
        now: Duration::ZERO,
        engines: (0..setting.engines).map(engine).collect(),
        tally: Tally::default(),
        entries: (0..setting.entries).map(|_| Entry::default()).collect(),
        placement: setting.way.kind.placement(),
        population: Population::new(setting),
        random: Pcg64::seed_from_u64(setting.seed),
        events: BinaryHeap::new(),
        number: 0,
        works: Vec::new(),
        oracle: Simulation::new(setting.engines, slots, setting.cache_tokens),
        table: Places::default(),
        sent: 0,
    };
    run.push(Duration::ZERO, Event::Arrival);
    run.push(ROUND, Event::Round);
    run.push(NOTES, Event::Notes);
    if let Some(change) = setting.change {
        run.push(change.at, Event::Change);
    }
    run.go();
    run.tally
}

impl Run<'_> {
    fn push(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    fn go(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > self.setting.time {
                return;
            }
            self.now = at;
            match event {
                Event::Arrival => self.arrival(),
                Event::End { engine, slot } => self.end(engine, slot),
                Event::Round => self.round(),
                Event::Notes => self.notes(),
                Event::Change => self.change(),
            }
        }
    }

    fn arrival(&mut self) {
        let pause = population::pause(&mut self.random, self.setting.rate);
        self.push(self.now + Duration::from_secs_f64(pause), Event::Arrival);
        let entry = self.sent % self.entries.len();
        let second = self.now.as_secs() as usize;
        let Some(work) = self.population.next(&mut self.random, entry, second) else { return };
        self.sent += 1;
        let placed = self.oracle.place(&work.name, work.earlier, self.now);
        let second = self.tally.second(second);
        second.sent += 1;
        second.earlier += work.earlier;
        second.oracle += placed.reused;
        self.entries[entry].budget.earn(RETRY_PERCENT);
        match self.dispatch(&work) {
            Some(engine) => self.accept(engine, work, placed),
            None => {
                self.population.failed(work.line);
                self.oracle.end(placed, &work.name, None);
            }
        }
    }

    /// The engine that takes the work, tried as an entry tries them.
    fn dispatch(&mut self, work: &Work) -> Option<usize> {
        let way = self.setting.way;
        let mut tried: Vec<usize> = Vec::new();
        let mut hint = None;
        let mut has_followed = false;
        for _ in 0..ATTEMPTS {
            let entry = &self.entries[work.entry];
            let (all, _) = entry.field(&self.engines, self.now);
            let home = placement::home(work.chat, &all).map(|home| all[home].engine.clone())?;
            let places = if way.is_replicated { &self.table } else { &entry.places };
            let known = places
                .last(work.chat, self.now)
                .filter(|last| way.is_replicated || (way.remembers && last.home != place(&home)));
            let last = hint.or(known.map(|last| last.place));
            let mean = entry.mean.mean(self.now);
            let (mut field, mut indices) = entry.field(&self.engines, self.now);
            for tried in &tried {
                if let Some(index) = indices.iter().position(|index| index == tried) {
                    indices.remove(index);
                    field.remove(index);
                }
            }
            let ask = Ask {
                chat: Some(work.chat),
                last,
                mean,
                bound: BOUND,
                is_first_turn: work.is_first,
                asks_full: !work.is_first && entry.budget.is_ample(),
                seed: self.random.random(),
            };
            let first = *self.placement.order(&ask, &field).first()?;
            let engine = indices[first];
            let redirect = way.remembers && last.is_none() && !has_followed;
            self.tally.second(work.second).attempts += 1;
            let is_home = self.engines[engine].name == home;
            let away = self.engines[engine].place_of(work.chat, self.now);
            if let Some(away) = away.filter(|_| redirect && is_home) {
                hint = Some(place(&away));
                has_followed = true;
                continue;
            }
            if self.engines[engine].takes(BOUND, mean) {
                let is_hinted = hint.is_some_and(|hint| hint == place(&self.engines[engine].name));
                self.placed(work, engine, &home, last, is_hinted);
                return Some(engine);
            }
            let spot = self.spot(engine, &home, last);
            self.tally.second(work.second).refused[spot] += 1;
            let entry = &mut self.entries[work.entry];
            entry.hear(&self.engines[engine], false, self.now);
            hint = None;
            tried.push(engine);
            if !entry.budget.spend() {
                return None;
            }
        }
        None
    }

    fn spot(&self, engine: usize, home: &str, last: Option<Place>) -> usize {
        let name = &self.engines[engine].name;
        match (name == home, last == Some(place(name))) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        }
    }

    /// What an entry and a home remember of a chat that is taken.
    fn placed(
        &mut self,
        work: &Work,
        engine: usize,
        home: &str,
        last: Option<Place>,
        is_hinted: bool,
    ) {
        let spot = self.spot(engine, home, last);
        if !work.is_first {
            self.tally.second(work.second).placed[spot] += 1;
        }
        if !self.setting.way.remembers {
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
        let is_sole = work.is_first || last.is_some();
        let last = Last { place: place(&name), home: place(home) };
        if is_sole {
            self.table.remember(work.chat, last, self.now);
        }
        let is_new = entry.places.remember(work.chat, last, self.now);
        if is_new && is_sole && !is_hinted {
            let note = Note { chat: work.chat, engine: name };
            entry.spills.add(Spill { home: home.to_owned(), note });
        }
    }

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
        self.entries[entry].hear(engine, true, self.now);
        let load = engine.load().requests();
        self.tally.highest = self.tally.highest.max(load);
        let limit = bound::limit(BOUND, self.setting.slots, self.true_mean());
        self.tally.above += u64::from(load > limit);
    }

    fn true_mean(&self) -> Option<Mean> {
        let live = self.engines.iter().filter(|engine| !engine.is_lost);
        let requests: u32 = live.clone().map(|engine| engine.load().requests()).sum();
        let slots = live.count() as u32 * self.setting.slots;
        let per_slot = requests as f32 / slots as f32;
        Some(Mean { per_slot, weight: self.engines.len() as f32, age: Duration::ZERO })
    }

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

    fn end(&mut self, index: usize, slot: usize) {
        let Some((work, placed)) = self.works[slot].take() else { return };
        self.oracle.end(placed, &work.name, Some(work.after));
        let engine = &mut self.engines[index];
        engine.running -= 1;
        engine.cache.serve(&work.name, 0, work.after);
        self.population.answered(work.line);
        self.entries[work.entry].loads.ended(&engine.name);
        if let Some(next) = self.engines[index].waiting.pop_front() {
            let slot = next.second;
            self.start(index, &next, slot);
        }
    }

    /// Descriptions spread.
    fn round(&mut self) {
        self.push(self.now + ROUND, Event::Round);
        for engine in &mut self.engines {
            engine.described = engine.load();
        }
    }

    /// Notes are sent.
    fn notes(&mut self) {
        self.push(self.now + NOTES, Event::Notes);
        let batches: Vec<_> =
            self.entries.iter_mut().flat_map(|entry| entry.spills.take()).collect();
        for batch in batches {
            self.tally.notes += batch.notes.len() as u64;
            let home = self.engines.iter_mut().find(|engine| engine.name == batch.home);
            if let Some(home) = home {
                batch
                    .notes
                    .iter()
                    .for_each(|note| home.away.note(note.chat, &note.engine, self.now));
            }
        }
    }

    /// Takes engines out; what they run is lost, and its chats come back.
    fn change(&mut self) {
        let Some(change) = self.setting.change else { return };
        for index in (0..self.engines.len()).step_by(change.part) {
            self.engines[index].is_lost = true;
        }
    }
}
