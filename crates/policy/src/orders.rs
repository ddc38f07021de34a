//! Reconciliation of an engine's models with the confirmed configuration.
//!
//! An agent gives orders only to its own engine. Models are loaded before others are
//! unloaded, and a model that services need is kept until every engine assigned to it
//! holds it, so that enough engines serve it while models move. See
//! `docs/decisions/orders.md`.

use wire::id;

/// An order to an engine; orders are idempotent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Load this model.
    Load(id::Model),
    /// Unload this model.
    Unload(id::Model),
}

/// The assigned and actual models of an engine; all lists are sorted.
#[derive(Debug, Clone, Copy)]
pub struct Models<'a> {
    /// Models that the confirmed configuration assigns to the engine.
    pub assigned: &'a [id::Model],
    /// Models that the engine holds.
    pub held: &'a [id::Model],
    /// Models that services need and that some engine assigned to them doesn't hold yet.
    pub under_replicated: &'a [id::Model],
}

/// Returns the next order, or `None` if there is nothing to do now.
///
/// An engine without an assignment keeps its models: it may be new, and the next
/// confirmed plan decides.
pub fn next(models: Models<'_>) -> Option<Order> {
    let Models { assigned, held, under_replicated } = models;
    if assigned.is_empty() {
        return None;
    }
    let has = |list: &[id::Model], model: &id::Model| list.binary_search(model).is_ok();
    if let Some(model) = assigned.iter().find(|model| !has(held, model)) {
        return Some(Order::Load(model.clone()));
    }
    let surplus = held.iter().find(|model| !has(assigned, model) && !has(under_replicated, model));
    surplus.map(|model| Order::Unload(model.clone()))
}
