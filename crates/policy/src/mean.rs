//! An estimate of the fleet's mean load, from loads and estimates that other messages
//! carry.
//!
//! Answers carry loads, and attempts and gossip heartbeats carry estimates, so no
//! message is sent for this alone; see `docs/decisions/mean-load.md`.

use std::time::Duration;

use wire::Load;
use wire::Mean;
use wire::id;

/// Older samples are discarded.
const SAMPLE_MAX_AGE: Duration = Duration::from_secs(10);

/// The time in which the weight of a sample halves.
const SAMPLE_HALF_LIFE: Duration = Duration::from_secs(1);

/// The weight of a peer's samples relative to own ones. Below 1, so that an
/// estimate that returns through peers fades instead of reinforcing itself.
const PEER_WEIGHT_FACTOR: f32 = 0.5;

/// Most peers whose estimates are kept.
const MAX_PEERS: usize = 16;

/// Most samples that one peer's estimate counts for.
const PEER_MAX_WEIGHT: f32 = 64.0;

/// The recent load samples and peers' estimates, each sorted by VM.
#[derive(Debug, Clone, Default)]
pub struct Estimate {
    samples: Vec<Sample>,
    peers: Vec<Peer>,
}

#[derive(Debug, Clone)]
struct Sample {
    engine: id::Engine,
    load: Load,
    at: Duration,
}

#[derive(Debug, Clone)]
struct Peer {
    vm: id::Vm,
    mean: Mean,
    at: Duration,
}

/// Sums over samples, multiplied by their weights.
#[derive(Default)]
struct Sums {
    per_slot: f32,
    weight: f32,
    /// In seconds.
    age: f32,
}

impl Estimate {
    /// Records an engine's load, which replaces an earlier sample of the engine.
    ///
    /// `at` is the time of the sample.
    pub fn observe(&mut self, engine: &str, load: Load, at: Duration) {
        let sample = Sample { engine: engine.to_owned(), load, at };
        match self.samples.binary_search_by(|known| known.engine.as_str().cmp(engine)) {
            Ok(index) => self.samples[index] = sample,
            Err(index) => {
                self.samples.insert(index, sample);
                self.samples.retain(|sample| at.saturating_sub(sample.at) <= SAMPLE_MAX_AGE);
            }
        }
    }

    /// Records a peer's estimate, which replaces its earlier one. An estimate is ignored
    /// if it is infinite, not a number, negative, without weight or too old.
    pub fn merge(&mut self, vm: &str, mean: Mean, at: Duration) {
        let is_sound = mean.per_slot.is_finite() && mean.per_slot >= 0.0 && mean.weight > 0.0;
        if !is_sound || mean.age > SAMPLE_MAX_AGE {
            return;
        }
        let peer = Peer { vm: vm.to_owned(), mean, at };
        match self.peers.binary_search_by(|known| known.vm.as_str().cmp(vm)) {
            Ok(index) => self.peers[index] = peer,
            Err(index) => {
                self.peers.insert(index, peer);
                self.evict_oldest_peer();
            }
        }
    }

    /// Returns the mean of all recent samples and estimates, newer ones weighing
    /// more, or `None` if there are none. Its age is their weighted mean age.
    pub fn mean(&self, now: Duration) -> Option<Mean> {
        let own = self.own_sums(now);
        let mut all = Sums { per_slot: own.per_slot, weight: own.weight, age: own.age };
        for peer in &self.peers {
            let elapsed = now.saturating_sub(peer.at);
            let age = peer.mean.age.saturating_add(elapsed);
            if age <= SAMPLE_MAX_AGE {
                let weight =
                    PEER_WEIGHT_FACTOR * peer.mean.weight.min(PEER_MAX_WEIGHT) * decay(elapsed);
                all.add(peer.mean.per_slot, weight, age);
            }
        }
        all.mean()
    }

    /// Sums over own samples. Engines weigh by their slots in the mean; the total
    /// weight counts engines.
    fn own_sums(&self, now: Duration) -> Sums {
        let mut by_slot = Sums::default();
        let mut weight = 0.0;
        for sample in &self.samples {
            let age = now.saturating_sub(sample.at);
            if age <= SAMPLE_MAX_AGE && sample.load.slots > 0 {
                let slots = sample.load.slots as f32;
                by_slot.add(sample.load.requests() as f32 / slots, slots * decay(age), age);
                weight += decay(age);
            }
        }
        by_slot.scaled(weight)
    }

    fn evict_oldest_peer(&mut self) {
        if self.peers.len() <= MAX_PEERS {
            return;
        }
        let oldest = self.peers.iter().enumerate().min_by_key(|(_, peer)| peer.at);
        if let Some((index, _)) = oldest {
            self.peers.remove(index);
        }
    }
}

impl Sums {
    fn add(&mut self, per_slot: f32, weight: f32, age: Duration) {
        self.per_slot += per_slot * weight;
        self.age += age.as_secs_f32() * weight;
        self.weight += weight;
    }

    /// Scales the sums to another total weight; the means stay the same.
    fn scaled(self, weight: f32) -> Sums {
        if self.weight <= 0.0 {
            return Sums::default();
        }
        let factor = weight / self.weight;
        Sums { per_slot: self.per_slot * factor, weight, age: self.age * factor }
    }

    fn mean(self) -> Option<Mean> {
        if self.weight <= 0.0 {
            return None;
        }
        let age = Duration::try_from_secs_f32(self.age / self.weight).unwrap_or(SAMPLE_MAX_AGE);
        Some(Mean { per_slot: self.per_slot / self.weight, weight: self.weight, age })
    }
}

/// Returns the weight of a sample by its age, 1 when new.
fn decay(age: Duration) -> f32 {
    (-age.as_secs_f32() / SAMPLE_HALF_LIFE.as_secs_f32()).exp2()
}
