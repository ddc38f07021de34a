//! Which engine the next attempt goes to.

use std::net::SocketAddr;

use policy::candidate::Edition;
use policy::placement;
use policy::placement::Fingerprint;
use policy::placement::Query;
use policy::placement::fingerprint;
use wire::Refusal;
use wire::id;
use wire::refusal::Reason;

use crate::counts::Spot;
use crate::field::Field;
use crate::order::Order;
use crate::worker::Worker;

/// Where an attempt goes.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) engine: id::Engine,
    /// Where its agent takes attempts.
    pub(crate) data: SocketAddr,
    /// The description by which it was chosen.
    pub(crate) edition: Edition,
    /// The engine that the chat's hash names first.
    pub(crate) home: Option<id::Engine>,
    /// Whether the agent may answer that the chat lies elsewhere.
    pub(crate) redirect: bool,
    /// Where that is in regard of the chat.
    pub(crate) spot: Spot,
    /// Whether the chat's home has none of its context and does not know where it lies.
    pub(crate) is_unknown: bool,
}

impl Target {
    /// An engine that is known, whatever it does now.
    pub(crate) fn of(worker: &Worker, engine: &str) -> Option<Target> {
        worker.board().with_roster(|roster| {
            let member = roster.member(engine)?;
            Some(Target {
                engine: member.vm.clone(),
                data: member.data,
                edition: Edition::of(member),
                home: None,
                redirect: false,
                spot: Spot::Last,
                is_unknown: false,
            })
        })
    }
}

/// What the attempts so far showed.
#[derive(Debug, Default)]
pub(crate) struct Search {
    /// Engines that were tried.
    pub(crate) tried: Vec<id::Engine>,
    /// Where a refusing agent says that the chat's context lies.
    pub(crate) hint: Option<id::Engine>,
    /// Whether a hint was followed before.
    pub(crate) followed: bool,
}

impl Search {
    /// Takes in that an engine failed, and what its agent said of the chat.
    ///
    /// An agent that only says where the chat lies may be asked again, if that
    /// engine can't take it.
    pub(crate) fn failed(&mut self, engine: id::Engine, refusal: &Refusal) {
        if refusal.reason != Reason::Moved || refusal.hint.is_none() {
            self.tried.push(engine);
        }
        self.hint = refusal.hint.clone();
        self.followed |= self.hint.is_some();
    }
}

/// Chooses the engine for the next attempt; `None` if no other is left.
pub(crate) fn choose(worker: &Worker, order: &Order, search: &Search) -> Option<Target> {
    let board = worker.board();
    let mut field = Field::new(worker, order.work.needs());
    // All holders count for the home, so that entries agree on it whatever they met.
    let home = order.chat().and_then(|chat| placement::home(chat, &field.candidates));
    let home = home.map(|home| field.candidates[home].engine.clone());
    field.keep_open(worker, order.work.needs(), &search.tried);
    let last = last(worker, order, search, home.as_deref());
    let query = Query {
        chat: order.chat(),
        last,
        mean: board.mean(),
        bound: board.document().limit.load_bound,
        is_first_turn: order.is_first_turn,
        can_try_full: !order.is_first_turn
            && worker.tables.budgets.lock().of(order.rank).has_surplus(),
        seed: order.request as u64,
    };
    let ordered = worker.placement.order(&query, &field.candidates);
    let chosen = ordered.into_iter().find(|index| field.may_send(worker, *index))?;
    let agent = &field.agents[chosen];
    let (data, edition) = (agent.data, agent.edition);
    let engine = field.candidates.swap_remove(chosen).engine;
    let redirect = last.is_none() && !search.followed;
    let spot = spot(order, &engine, home.as_ref(), last);
    let is_hinted = search.hint.as_ref() == Some(&engine);
    let is_unknown = (order.is_first_turn || last.is_some()) && !is_hinted;
    Some(Target { engine, data, edition, home, redirect, spot, is_unknown })
}

fn spot(order: &Order, engine: &str, home: Option<&id::Engine>, last: Option<Fingerprint>) -> Spot {
    if order.chat().is_none() {
        return Spot::Any;
    }
    if home.is_some_and(|home| home == engine) {
        return Spot::Home;
    }
    if last == Some(fingerprint(engine)) { Spot::Last } else { Spot::Other }
}

/// Where the chat's context lies, if not at its home.
///
/// Only the home's agent knows what all entries did, so that one is asked; what
/// this entry remembers counts if the home that would know is gone.
fn last(
    worker: &Worker,
    order: &Order,
    search: &Search,
    home: Option<&str>,
) -> Option<Fingerprint> {
    if let Some(hint) = &search.hint {
        return Some(fingerprint(hint));
    }
    let last = worker.tables.places.lock().locate(order.chat()?, worker.board().now())?;
    (last.home != fingerprint(home?)).then_some(last.engine)
}
