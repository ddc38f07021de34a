//! Assigns models to engines.
//!
//! [`crate::need`] computes how many engines each model is to have. Engines keep the
//! models that they hold as far as those numbers allow, so that few models move.

use crate::Assignment;
use crate::Demand;
use crate::Document;
use crate::Engine;
use crate::need;
use crate::need::Need;
use crate::need::Needs;
use crate::service::Kind;

/// Most engines that a plan by measured demand changes, for each model that may be
/// loaded at the same time under [`crate::Limit::loads`].
const MOVES_PER_LOAD: usize = 4;

/// Assignments of models to engines, and the numbers that they follow.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Spread {
    /// The assignments, sorted by engine.
    pub assignments: Vec<Assignment>,
    /// The number of engines of each model.
    pub needs: Needs,
}

/// Computes the assignments of the models of `wanted` to the engines of a fleet, by the
/// measured demand if there is one.
pub fn spread(
    wanted: &Document,
    current: &Document,
    fleet: &[Engine],
    demand: Option<&Demand>,
) -> Spread {
    let engines = model_engines(wanted, fleet);
    let paid = engines.len().min(wanted.limit.accelerators as usize);
    let engines = &engines[..paid];
    let held = |model: &str| {
        let holds = |engine: &&&Engine| current.holds(&engine.vm).iter().any(|held| held == model);
        engines.iter().filter(holds).count()
    };
    let moves = match demand {
        Some(_) => wanted.limit.loads as usize * MOVES_PER_LOAD,
        None => usize::MAX,
    };
    let needs = need::needs(wanted, current, paid, held, demand, moves);
    let mut unmet = needs.models.clone();
    let mut assignments = keep_models(&mut unmet, engines, current);
    let is_free = |engine: &&&Engine| assignments.iter().all(|kept| kept.engine != engine.vm);
    let free: Vec<&Engine> = engines.iter().filter(is_free).copied().collect();
    assignments.extend(assign_free(&unmet, &free));
    assignments.sort_by(|a, b| a.engine.cmp(&b.engine));
    Spread { assignments, needs }
}

/// Returns the model engines of a fleet in round-robin order over the data centres.
pub fn model_engines<'a>(document: &Document, fleet: &'a [Engine]) -> Vec<&'a Engine> {
    let is_pool = |held: &String| {
        document
            .services
            .iter()
            .any(|service| matches!(&service.kind, Kind::Plain(plain) if plain.pool == *held))
    };
    let mut fleet: Vec<&Engine> = fleet.iter().collect();
    fleet.sort_by(|a, b| a.vm.cmp(&b.vm));
    let mut engines: Vec<(usize, &Engine)> = Vec::new();
    for engine in fleet {
        if engine.holds.iter().any(is_pool) {
            continue;
        }
        let round = engines.iter().filter(|(_, known)| known.centre == engine.centre).count();
        engines.push((round, engine));
    }
    engines.sort_by(|(round, a), (other_round, b)| {
        (round, &a.centre, &a.vm).cmp(&(other_round, &b.centre, &b.vm))
    });
    engines.into_iter().map(|(_, engine)| engine).collect()
}

/// Assigns engines the models that they hold, as far as the numbers allow, and takes
/// those engines off the needs.
fn keep_models(needs: &mut [Need], engines: &[&Engine], current: &Document) -> Vec<Assignment> {
    let mut kept = Vec::new();
    for engine in engines {
        let assigned = current.holds(&engine.vm);
        let held = if assigned.is_empty() { &engine.holds[..] } else { assigned };
        let found = needs.iter_mut().find(|need| need.engines > 0 && held.contains(&need.model));
        let Some(need) = found else { continue };
        need.engines -= 1;
        kept.push(Assignment { engine: engine.vm.clone(), holds: vec![need.model.clone()] });
    }
    kept
}

/// Assigns the remaining needs to the free engines in their order.
fn assign_free(needs: &[Need], free: &[&Engine]) -> Vec<Assignment> {
    let wanted = needs.iter().flat_map(|need| std::iter::repeat_n(&need.model, need.engines));
    free.iter()
        .zip(wanted)
        .map(|(engine, model)| Assignment { engine: engine.vm.clone(), holds: vec![model.clone()] })
        .collect()
}
