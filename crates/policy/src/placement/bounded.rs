//! Rendezvous hashing with bounded loads.

use wire::Mean;

use crate::bound;
use crate::candidate::Candidate;
use crate::placement::Fingerprint;
use crate::placement::Placement;
use crate::placement::Query;
use crate::placement::TwoChoices;
use crate::placement::fingerprint;
use crate::placement::rendezvous::by_score;

/// A new chat goes to its second choice if its home has more load per slot by
/// more than this.
const SPILL_LEAD_PER_SLOT: f32 = 0.1;

/// Orders engines by rendezvous hash, with those at the load bound last.
///
/// A chat prefers the engine that holds its context, then its home, which is the
/// first in its rendezvous order, then the other engines in that order. A new
/// chat prefers its second choice if its home is busier; the home is notified of
/// that engine, which serves the chat from then on.
///
/// Known loads lag, so the preferred engine stays first even at the bound if
/// [`Query::can_try_full`] is set. Work without a chat has no cached context, so it
/// goes to the less loaded of two engines.
#[derive(Debug, Clone, Copy, Default)]
pub struct Bounded;

impl Placement for Bounded {
    fn order(&self, query: &Query, candidates: &[Candidate]) -> Vec<usize> {
        let mut order = match query.chat {
            Some(chat) => by_score(chat, candidates),
            None => TwoChoices.order(query, candidates),
        };
        if query.is_first_turn {
            prefer_less_loaded(&mut order, candidates);
        }
        if let Some(last) = query.last {
            move_to_front(last, &mut order, candidates);
        }
        let kept_first =
            order.first().copied().filter(|_| query.chat.is_some() && query.can_try_full);
        // The sort is stable, so both groups keep their order.
        order.sort_by_key(|index| {
            kept_first != Some(*index) && is_at_bound(&candidates[*index], query.mean, query.bound)
        });
        order
    }
}

/// Swaps the home of a new chat with the second choice if the home is busier
/// and both are in the entry's region or both outside it.
fn prefer_less_loaded(order: &mut [usize], candidates: &[Candidate]) {
    if let [home, second, ..] = *order
        && candidates[home].distance.is_remote() == candidates[second].distance.is_remote()
        && candidates[home].per_slot() > candidates[second].per_slot() + SPILL_LEAD_PER_SLOT
    {
        order.swap(0, 1);
    }
}

/// Moves the engine that holds the chat's context to the front.
fn move_to_front(last: Fingerprint, order: &mut [usize], candidates: &[Candidate]) {
    let found = order.iter().position(|index| fingerprint(&candidates[*index].engine) == last);
    if let Some(found) = found {
        order[..=found].rotate_right(1);
    }
}

/// Returns whether the last known load of an engine is at its bound, so that
/// its agent is likely to refuse one more request.
///
/// `multiple` is the bound as a multiple of the fleet's mean load.
pub fn is_at_bound(candidate: &Candidate, mean: Option<Mean>, multiple: f32) -> bool {
    candidate.requests >= bound::limit(multiple, candidate.slots, mean)
}
