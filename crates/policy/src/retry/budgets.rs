//! The retry budgets of an entry, by rank.

use wire::id;

use crate::retry::Budget;

/// One retry budget for each rank, so that an overload of one rank, most of which
/// is refused, doesn't spend the retries of the others.
#[derive(Debug, Clone, Default)]
pub struct Budgets {
    ranks: Vec<Budget>,
}

impl Budgets {
    /// Returns the budget of a rank, created if missing.
    pub fn of(&mut self, rank: id::Rank) -> &mut Budget {
        let rank = usize::from(rank);
        if self.ranks.len() <= rank {
            self.ranks.resize_with(rank + 1, Budget::default);
        }
        &mut self.ranks[rank]
    }
}
