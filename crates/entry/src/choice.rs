//! Chooses the engine of the next attempt.

use std::net::SocketAddr;

use policy::candidate::Edition;
use policy::placement;
use policy::placement::Fingerprint;
use policy::placement::Query;
use policy::placement::fingerprint;
use wire::Refusal;
use wire::id;
use wire::refusal::Reason;

use crate::candidates::Candidates;
use crate::counts::Locality;
use crate::request::Request;
use crate::worker::Worker;

/// The engine that an attempt is sent to.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) engine: id::Engine,
    /// The data address of its agent.
    pub(crate) address: SocketAddr,
    /// The version of the engine's description that the choice was based on.
    pub(crate) edition: Edition,
    /// The engine that rendezvous hashing gives the chat.
    pub(crate) home: Option<id::Engine>,
    /// Whether the agent may redirect the attempt to the engine that has the chat's
    /// context.
    pub(crate) can_redirect: bool,
    /// The engine's place in relation to the chat's context.
    pub(crate) locality: Locality,
    /// Whether the chat's home neither has the chat's context nor knows which engine has
    /// it.
    pub(crate) is_home_unaware: bool,
}

impl Target {
    /// Returns the target of an engine in the roster, whatever its state; `None` if it
    /// isn't there.
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

/// Results of a request's earlier attempts that affect the next choice.
#[derive(Debug, Default)]
pub(crate) struct Search {
    /// Engines that were tried and refused or failed.
    pub(crate) tried: Vec<id::Engine>,
    /// The engine that has the chat's context, as the latest refusal says.
    pub(crate) hint: Option<id::Engine>,
    /// Whether a refusal gave a hint before.
    pub(crate) has_followed_hint: bool,
}

impl Search {
    /// Records that an attempt failed, and the hint of its refusal.
    ///
    /// An agent that only redirects may be asked again, if the other engine can't take
    /// the chat.
    pub(crate) fn record_failure(&mut self, engine: id::Engine, refusal: &Refusal) {
        if refusal.reason != Reason::Moved || refusal.hint.is_none() {
            self.tried.push(engine);
        }
        self.hint = refusal.hint.clone();
        self.has_followed_hint |= self.hint.is_some();
    }
}

/// Chooses the engine of the next attempt; `None` if none is left.
pub(crate) fn choose(worker: &Worker, request: &Request, search: &Search) -> Option<Target> {
    let board = worker.board();
    let mut candidates = Candidates::new(worker, request.work.needs());
    // The home is computed over all engines that hold the model, so that entries agree on
    // it whichever engines they avoid.
    let home = request.chat().and_then(|chat| placement::home(chat, &candidates.engines));
    let home = home.map(|home| candidates.engines[home].engine.clone());
    candidates.retain_available(worker, request.work.needs(), &search.tried);
    let last = last_place(worker, request, search, home.as_deref());
    let query = Query {
        chat: request.chat(),
        last,
        mean: board.mean(),
        bound: board.document().limit.load_bound,
        is_first_turn: request.is_first_turn,
        can_try_full: !request.is_first_turn
            && worker.tables.budgets.lock().of(request.rank).has_surplus(),
        seed: request.id as u64,
    };
    let ordered = worker.placement.order(&query, &candidates.engines);
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
    last: Option<Fingerprint>,
) -> Locality {
    if request.chat().is_none() {
        return Locality::Any;
    }
    if home.is_some_and(|home| home == engine) {
        return Locality::Home;
    }
    if last == Some(fingerprint(engine)) { Locality::Last } else { Locality::Other }
}

/// Returns the engine that has the chat's context, if it isn't the home.
///
/// Only the home's agent knows where all entries placed the chat, so the home is asked
/// first. What this entry remembers counts only once the chat has another home than it
/// had then, because the one that would know is gone.
fn last_place(
    worker: &Worker,
    request: &Request,
    search: &Search,
    home: Option<&str>,
) -> Option<Fingerprint> {
    if let Some(hint) = &search.hint {
        return Some(fingerprint(hint));
    }
    let last = worker.tables.locations.lock().locate(request.chat()?, worker.board().now())?;
    (last.home != fingerprint(home?)).then_some(last.engine)
}
