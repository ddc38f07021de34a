//! Computes how many engines each model is to have.
//!
//! Without a measured demand, the assignments in force are taken as its estimate:
//! a changed intent changes a model's number of engines by as much as its declared
//! share changes. With a measured demand the numbers follow it, but only those that
//! are off by more than a tolerance band, so that small variations of the demand
//! move no engine. See `docs/decisions/plans.md`.

use wire::id;

use crate::Demand;
use crate::Document;
use crate::Service;
use crate::quota::quotas;
use crate::service::Chat;
use crate::service::Kind;

/// Engines by which a number may differ from its quota through rounding.
const TOLERANCE_ENGINES: f64 = 1.0;
/// Additional tolerance, as a fraction of the quota.
const TOLERANCE_RATIO: f64 = 0.25;
/// Factor on the worth of models that have engines, if there are more models than
/// engines. It keeps models of similar worth from replacing each other in turns.
const HELD_FACTOR: f64 = 4.0 / 3.0;

/// The number of engines that one model is to have.
#[derive(Debug, Clone, PartialEq)]
pub struct Need {
    /// The model.
    pub model: id::Model,
    /// Number of engines that hold the model now.
    pub held: usize,
    /// The model's share of all engines before rounding.
    pub quota: f64,
    /// Number of engines that are to hold the model.
    pub engines: usize,
}

/// The needs of all models and the changes that are left for later plans.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Needs {
    /// The needs of the models that get an engine, sorted by model.
    pub models: Vec<Need>,
    /// Engines that later plans still have to change until the numbers fit the quotas.
    pub pending: usize,
}

/// The worth of the tokens requested of one model.
struct Worth {
    model: id::Model,
    worth: f64,
}

/// Computes the needs of the models of `wanted` for a number of engines.
///
/// `held` returns the number of engines that hold a model now. `moves` limits how many
/// engines change from one model to another.
pub fn needs(
    wanted: &Document,
    current: &Document,
    engines: usize,
    held: impl Fn(&str) -> usize,
    demand: Option<&Demand>,
    moves: usize,
) -> Needs {
    let worths = select(worths(wanted, demand), engines, &held);
    let held: Vec<usize> = worths.iter().map(|item| held(&item.model)).collect();
    let is_first = held.iter().all(|held| *held == 0);
    let weights = match demand.is_some() || is_first {
        true => worths.iter().map(|item| item.worth).collect(),
        false => shift_weights(&worths, &held, &self::worths(current, None), engines),
    };
    let quotas = quotas(&weights, engines);
    let mut models: Vec<Need> = worths
        .into_iter()
        .zip(held)
        .zip(quotas)
        .map(|((item, held), quota)| Need { model: item.model, held, quota, engines: held })
        .collect();
    fit_total(&mut models, engines);
    let pending = rebalance(&mut models, moves);
    Needs { models, pending }
}

/// Returns the worth of the tokens requested of each model, sorted by model.
///
/// Without a measured demand, the weights of a service's accounts stand for its number
/// of requests.
fn worths(document: &Document, demand: Option<&Demand>) -> Vec<Worth> {
    let mut worths: Vec<Worth> = Vec::new();
    for service in &document.services {
        let Kind::Chat(chat) = &service.kind else { continue };
        let worth = service_worth(document, service, chat, demand);
        match worths.binary_search_by(|item| item.model.cmp(&chat.model)) {
            Ok(index) => worths[index].worth += worth,
            Err(index) => worths.insert(index, Worth { model: chat.model.clone(), worth }),
        }
    }
    worths
}

fn service_worth(
    document: &Document,
    service: &Service,
    chat: &Chat,
    demand: Option<&Demand>,
) -> f64 {
    let weight = |name: &String| document.account(name).map_or(0, |account| account.weight);
    let asked = match demand {
        Some(demand) => demand.of(&service.name),
        None => service.accounts.iter().map(|name| u64::from(weight(name))).sum(),
    };
    let worth = document.rank(service.rank).map_or(1, |rank| rank.worth);
    asked as f64 * f64::from(worth) * f64::from(chat.output_tokens)
}

/// Returns the models that get an engine: all, or those of the highest worth if there
/// are fewer engines than models.
fn select(mut worths: Vec<Worth>, engines: usize, held: impl Fn(&str) -> usize) -> Vec<Worth> {
    if worths.len() <= engines {
        return worths;
    }
    let adjusted = |item: &Worth| {
        if held(&item.model) > 0 { item.worth * HELD_FACTOR } else { item.worth }
    };
    worths.sort_by(|a, b| adjusted(b).total_cmp(&adjusted(a)).then_with(|| a.model.cmp(&b.model)));
    worths.truncate(engines);
    worths.sort_by(|a, b| a.model.cmp(&b.model));
    worths
}

/// Returns the numbers of engines in force, each changed by the difference between the
/// new and the old declared quota of the model.
fn shift_weights(worths: &[Worth], held: &[usize], old: &[Worth], engines: usize) -> Vec<f64> {
    let new: Vec<f64> = worths.iter().map(|item| item.worth).collect();
    let old_quotas: Vec<f64> = match old.len() <= engines {
        true => quotas(&old.iter().map(|item| item.worth).collect::<Vec<f64>>(), engines),
        false => vec![0.0; old.len()],
    };
    let before = |model: &str| {
        let found = old.binary_search_by(|item| item.model.as_str().cmp(model));
        found.map_or(0.0, |index| old_quotas[index])
    };
    let shift = |((item, held), new): ((&Worth, &usize), f64)| {
        (*held as f64 + new - before(&item.model)).max(0.0)
    };
    worths.iter().zip(held).zip(quotas(&new, engines)).map(shift).collect()
}

/// Gives each model an engine, and adjusts the numbers until their sum is `engines`.
fn fit_total(models: &mut [Need], engines: usize) {
    models.iter_mut().for_each(|need| need.engines = need.engines.max(1));
    let total = |models: &[Need]| models.iter().map(|need| need.engines).sum::<usize>();
    while total(models) > engines {
        let Some(index) = donor(models) else { return };
        models[index].engines -= 1;
    }
    while total(models) < engines {
        let Some(index) = receiver(models) else { return };
        models[index].engines += 1;
    }
}

/// Moves engines to and from the models whose numbers are outside the band, until they
/// fit their quotas or `moves` engines have moved.
///
/// Returns the number of moves that are missing if a number is still outside its band,
/// else 0.
fn rebalance(models: &mut [Need], moves: usize) -> usize {
    let is_outside_band: Vec<bool> = models.iter().map(Need::is_outside_band).collect();
    let mut settled = models.to_vec();
    let mut made = 0;
    while move_one(&mut settled, &is_outside_band) {
        made += 1;
        if made <= moves {
            models.clone_from_slice(&settled);
        }
    }
    match models.iter().any(Need::is_outside_band) {
        true => made.saturating_sub(moves),
        false => 0,
    }
}

/// Moves one engine to or from the model that is off by the most, and returns whether
/// there was one to move.
///
/// Each move lowers the sum of the absolute differences from the quotas, so that the
/// moves come to an end.
fn move_one(models: &mut [Need], is_outside_band: &[bool]) -> bool {
    let deviation = |index: &usize| models[*index].surplus().abs();
    let candidates = (0..models.len())
        .filter(|index| is_outside_band[*index] && deviation(index) >= TOLERANCE_ENGINES);
    let Some(worst) = candidates.max_by(|a, b| deviation(a).total_cmp(&deviation(b))) else {
        return false;
    };
    let (from, to) = match models[worst].surplus() > 0.0 {
        true => (Some(worst), receiver(models)),
        false => (donor(models), Some(worst)),
    };
    let (Some(from), Some(to)) = (from, to) else { return false };
    if from == to {
        return false;
    }
    models[from].engines -= 1;
    models[to].engines += 1;
    true
}

/// Returns the model with the largest surplus among those with more than one engine.
fn donor(models: &[Need]) -> Option<usize> {
    let several = (0..models.len()).filter(|index| models[*index].engines > 1);
    several.max_by(|a, b| models[*a].surplus().total_cmp(&models[*b].surplus()))
}

/// Returns the model that lacks the most engines.
fn receiver(models: &[Need]) -> Option<usize> {
    (0..models.len()).min_by(|a, b| models[*a].surplus().total_cmp(&models[*b].surplus()))
}

impl Need {
    /// Returns the number of engines beyond the quota; negative if engines are lacking.
    fn surplus(&self) -> f64 {
        self.engines as f64 - self.quota
    }

    /// Returns whether the number is so far from the quota that it is corrected.
    fn is_outside_band(&self) -> bool {
        self.surplus().abs() > TOLERANCE_ENGINES + TOLERANCE_RATIO * self.quota
    }
}
