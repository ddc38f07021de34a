//! Weighted fair queueing between the client accounts of one rank.

use wire::id;

/// Virtual time per token at weight 1; large enough that dividing by a weight loses
/// little precision.
const SCALE: u64 = 1024;

/// A point in virtual time: tokens started, divided by weight.
pub type Tag = u64;

/// Virtual clock of weighted fair queueing, with the finish tag of each active account.
///
/// An account that was idle starts from the current virtual time, so that it neither
/// accumulates a share while idle nor pays for what it used while others were idle.
/// Flows are sorted by account.
#[derive(Debug, Clone, Default)]
pub struct Clock {
    now: Tag,
    flows: Vec<Flow>,
}

/// The finish tag of one account's last started request.
#[derive(Debug, Clone)]
struct Flow {
    account: id::Account,
    finish: Tag,
}

impl Clock {
    /// Returns the start tag of the account's next request; the lowest goes first.
    pub fn tag(&self, account: &str) -> Tag {
        match self.find(account) {
            Ok(index) => self.flows[index].finish.max(self.now),
            Err(_) => self.now,
        }
    }

    /// Returns the virtual time that a request of some tokens takes at a weight.
    pub fn span(tokens: u64, weight: u32) -> Tag {
        tokens.max(1).saturating_mul(SCALE) / u64::from(weight.max(1))
    }

    /// Records a started request of the account.
    pub fn record_start(&mut self, account: &str, tokens: u64, weight: u32) {
        let start = self.tag(account);
        let finish = start.saturating_add(Clock::span(tokens, weight));
        match self.find(account) {
            Ok(index) => self.flows[index].finish = finish,
            Err(index) => self.flows.insert(index, Flow { account: account.to_owned(), finish }),
        }
        self.now = self.now.max(start);
        self.flows.retain(|flow| flow.finish > start);
    }

    /// Returns the index of an account's flow, or where to insert it.
    fn find(&self, account: &str) -> Result<usize, usize> {
        self.flows.binary_search_by(|flow| flow.account.as_str().cmp(account))
    }
}
