//! Effects of a document on ranks and client accounts.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use wire::id;

use crate::Document;

/// Most services of an account that are printed.
const MAX_PRINTED_SERVICES: usize = 6;

/// Capacity that one rank or client account is guaranteed under overload.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Effect on a rank.
    Rank {
        /// The rank's name.
        name: String,
        /// Percent of each engine that is reserved for the rank.
        minimum: u8,
        /// Model engines that hold a model of its services.
        engines: usize,
        /// Percent of requests that must be answered completely and in time.
        objective: u8,
        /// The rank's worth in percent of the sum over all ranks.
        worth: f64,
    },
    /// Effect on a client account.
    Account {
        /// The account's name.
        name: id::Account,
        /// The account's fair share of each service that it may use.
        shares: Vec<Share>,
    },
}

/// An account's fair share of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: id::Service,
    /// Percent of the service's capacity.
    pub percent: f64,
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Effect::Rank { name, minimum, engines, objective, worth } => write!(
                f,
                "rank {name}: keeps {minimum}% of each of {engines} model engines, \
                 {worth:.1}% of all worth, objective {objective}%"
            ),
            Effect::Account { name, shares } => write_account(f, name, shares),
        }
    }
}

fn write_account(f: &mut fmt::Formatter<'_>, name: &str, shares: &[Share]) -> fmt::Result {
    if shares.is_empty() {
        return write!(f, "account {name}: may use no service");
    }
    let printed = shares.iter().take(MAX_PRINTED_SERVICES);
    let texts: Vec<String> =
        printed.map(|share| format!("{:.1}% of {}", share.percent, share.service)).collect();
    write!(f, "account {name}: keeps {}", texts.join(", "))?;
    match shares.len().saturating_sub(MAX_PRINTED_SERVICES) {
        0 => Ok(()),
        more => write!(f, " and parts of {more} more services"),
    }
}

/// Returns the effects of a document, those on ranks first.
pub fn of(document: &Document) -> Vec<Effect> {
    let worth: u64 = document.ranks.iter().map(|rank| u64::from(rank.worth)).sum();
    let ranks = document.ranks.iter().enumerate().map(|(index, rank)| Effect::Rank {
        name: rank.name.clone(),
        minimum: rank.minimum,
        engines: rank_engines(document, index),
        objective: rank.objective,
        worth: percent(u64::from(rank.worth), worth),
    });
    let totals: Vec<u64> = document
        .services
        .iter()
        .map(|service| service.accounts.iter().map(|name| account_weight(document, name)).sum())
        .collect();
    let accounts = document.accounts.iter().map(|account| Effect::Account {
        name: account.name.clone(),
        shares: shares(document, &account.name, &totals),
    });
    ranks.chain(accounts).collect()
}

/// Returns the number of engines that hold a model of a rank's services.
pub(crate) fn rank_engines(document: &Document, rank: usize) -> usize {
    let services = document.services.iter().filter(|service| usize::from(service.rank) == rank);
    let needed: Vec<&str> = services.map(|service| service.needs()).collect();
    let holds = document.assignments.iter().map(|assignment| &assignment.holds);
    holds.filter(|holds| holds.iter().any(|held| needed.contains(&held.as_str()))).count()
}

/// Returns an account's shares; `totals` has the sum of the weights of each service's
/// accounts.
fn shares(document: &Document, account: &str, totals: &[u64]) -> Vec<Share> {
    let services = document.services.iter().zip(totals);
    services
        .filter(|(service, _)| service.serves(account))
        .map(|(service, total)| Share {
            service: service.name.clone(),
            percent: percent(account_weight(document, account), *total),
        })
        .collect()
}

fn account_weight(document: &Document, account: &str) -> u64 {
    document.account(account).map_or(0, |account| u64::from(account.weight))
}

fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}
