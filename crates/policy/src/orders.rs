//! Which order an engine is to be given next, so that it holds what was confirmed.
//!
//! An agent orders only its own engine. Models are loaded before others are
//! unloaded, and a model that services need is kept until all engines that are
//! to hold it do, so that enough of them serve while models move. See `docs/decisions/orders.md`.

use wire::id;

/// One order to an engine; obeying it twice does no harm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Hold this model.
    Load(id::Model),
    /// Hold this model no longer.
    Unload(id::Model),
}

/// What is known when an order is chosen; all lists are sorted.
#[derive(Debug, Clone, Copy)]
pub struct Situation<'a> {
    /// Models that the confirmed configuration assigns to the engine.
    pub wanted: &'a [id::Model],
    /// Models that the engine holds.
    pub held: &'a [id::Model],
    /// Models that services need and that not all engines hold yet that are to.
    pub rare: &'a [id::Model],
}

/// The next order, or `None` if nothing is to be done now.
///
/// An engine without an assignment keeps what it holds: it may be new, and the
/// next plan decides.
pub fn next(situation: Situation<'_>) -> Option<Order> {
    let Situation { wanted, held, rare } = situation;
    if wanted.is_empty() {
        return None;
    }
    let has = |list: &[id::Model], model: &id::Model| list.binary_search(model).is_ok();
    if let Some(model) = wanted.iter().find(|model| !has(held, model)) {
        return Some(Order::Load(model.clone()));
    }
    let surplus = held.iter().find(|model| !has(wanted, model) && !has(rare, model));
    surplus.map(|model| Order::Unload(model.clone()))
}
