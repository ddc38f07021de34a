//! Which engine the next attempt goes to.

use std::net::SocketAddr;

use policy::candidate::Edition;
use policy::placement;
use policy::placement::Ask;
use policy::placement::Place;
use policy::placement::place;
use wire::Refusal;
use wire::id;
use wire::refusal::Reason;

use crate::candidates::Candidates;
use crate::counts::Locality;
use crate::request::Request;
use crate::worker::Worker;

/// Where an attempt goes.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) engine: id::Engine,
    /// Where its agent takes attempts.
    pub(crate) address: SocketAddr,
    /// The description by which it was chosen.
    pub(crate) edition: Edition,
    /// The engine that the chat's hash names first.
    pub(crate) home: Option<id::Engine>,
    /// Whether the agent may answer that the chat lies elsewhere.
    pub(crate) can_redirect: bool,
    /// Where that is in regard of the chat.
    pub(crate) locality: Locality,
    /// Whether the chat's home has none of its context and does not know where it lies.
    pub(crate) is_home_unaware: bool,
}

impl Target {
    /// An engine that is known, whatever it does now.
    pub(crate) fn of(worker: &Worker, engine: &str) -> Option<Target> {
        worker.board().with_roster(|roster| {
            let member = roster.member(engine)?;
            Some(Target {
                engine: member.vm.clone(),
                address: member.data,
                edition: Edition::of(member),
                home: None,
                can_redirect: false,
                locality: Locality::Last,
                is_home_unaware: false,
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
    pub(crate) has_followed_hint: bool,
}

impl Search {
    /// Takes in that an engine failed, and what its agent said of the chat.
    ///
    /// An agent that only says where the chat lies may be asked again, if that
    /// engine can't take it.
    pub(crate) fn record_failure(&mut self, engine: id::Engine, refusal: &Refusal) {
        if refusal.reason != Reason::Moved || refusal.hint.is_none() {
            self.tried.push(engine);
        }
        self.hint = refusal.hint.clone();
        self.has_followed_hint |= self.hint.is_some();
    }
}

/// Chooses the engine for the next attempt; `None` if no other is left.
pub(crate) fn choose(worker: &Worker, request: &Request, search: &Search) -> Option<Target> {
    let board = worker.board();
    let mut candidates = Candidates::new(worker, request.work.needs());
    // All holders count for the home, so that entries agree on it whatever they met.
    let home = request.chat().and_then(|chat| placement::home(chat, &candidates.engines));
    let home = home.map(|home| candidates.engines[home].engine.clone());
    candidates.retain_available(worker, request.work.needs(), &search.tried);
    let last = last_place(worker, request, search, home.as_deref());
    let ask = Ask {
        chat: request.chat(),
        last,
        mean: board.mean(),
        bound: board.document().limit.load_bound,
        is_first_turn: request.is_first_turn,
        asks_full: !request.is_first_turn
            && worker.tables.budgets.lock().of(request.rank).is_ample(),
        seed: request.id as u64,
    };
    let ordered = worker.placement.order(&ask, &candidates.engines);
    let chosen = ordered.into_iter().find(|index| candidates.try_admit(worker, *index))?;
    let agent = &candidates.agents[chosen];
    let (address, edition) = (agent.address, agent.edition);
    let engine = candidates.engines.swap_remove(chosen).engine;
    let can_redirect = last.is_none() && !search.has_followed_hint;
    let locality = locality(request, &engine, home.as_ref(), last);
    let is_hinted = search.hint.as_ref() == Some(&engine);
    let is_home_unaware = (request.is_first_turn || last.is_some()) && !is_hinted;
    Some(Target { engine, address, edition, home, can_redirect, locality, is_home_unaware })
}

fn locality(
    request: &Request,
    engine: &str,
    home: Option<&id::Engine>,
    last: Option<Place>,
) -> Locality {
    if request.chat().is_none() {
        return Locality::Any;
    }
    if home.is_some_and(|home| home == engine) {
        return Locality::Home;
    }
    if last == Some(place(engine)) { Locality::Last } else { Locality::Other }
}

/// Where the chat's context lies, if not at its home.
///
/// Only the home's agent knows what all entries did, so that one is asked; what
/// this entry remembers counts if the home that would know is gone.
fn last_place(
    worker: &Worker,
    request: &Request,
    search: &Search,
    home: Option<&str>,
) -> Option<Place> {
    if let Some(hint) = &search.hint {
        return Some(place(hint));
    }
    let last = worker.tables.places.lock().last(request.chat()?, worker.board().now())?;
    (last.home != place(home?)).then_some(last.place)
}
