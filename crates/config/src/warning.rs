//! What an operator should look at before confirming.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use wire::id;

use crate::Assignment;
use crate::Document;
use crate::Engine;
use crate::effect;
use crate::holder;
use crate::service::Kind;
use crate::spread;

/// Engines that a warning lists.
const LISTED: usize = 5;

/// One doubtful point of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Warning {
    /// More model engines than the budget pays for.
    Budget {
        /// Model engines found.
        engines: u32,
        /// Accelerators paid for.
        accelerators: u32,
    },
    /// No engine would do a service's work.
    Unserved {
        /// The service.
        service: id::Service,
        /// The model or pool that no engine would hold.
        needs: String,
    },
    /// A rank whose services have no engine keeps nothing of its minimum.
    Below {
        /// The rank.
        rank: String,
        /// Percent of each engine that it was to keep.
        minimum: u8,
    },
    /// The failure of one engine leaves services without any.
    Single {
        /// The model or pool.
        name: String,
    },
    /// Engines that give up a model, with the chats whose context they have.
    Drains {
        /// The first of them.
        engines: Vec<id::Engine>,
        /// Number of those that are not listed.
        more: usize,
    },
    /// More engines should change than one plan lets.
    Paced {
        /// Engines that are left for a later plan.
        engines: usize,
    },
    /// Entries did not tell what they were asked for.
    Partial {
        /// Their VMs.
        missing: Vec<id::Vm>,
    },
    /// A rank without a minimum can be starved.
    Minimum {
        /// The rank.
        rank: String,
    },
    /// The key-value service came back with less than was accepted.
    Restored {
        /// The revision that it shows.
        shown: id::Revision,
        /// The revision that processes have.
        in_force: id::Revision,
    },
    /// A service that no account may use.
    Unused {
        /// The service.
        service: id::Service,
    },
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Warning::Budget { engines, accelerators } => write!(
                f,
                "{engines} model engines stand against {accelerators} accelerators in the budget: \
                 the rest stays unassigned; raise budget.accelerators or give VMs back"
            ),
            Warning::Unserved { service, needs } => write!(
                f,
                "service {service} would be refused, as no engine would hold {needs}: \
                 raise the budget or check the VM list"
            ),
            Warning::Below { rank, minimum } => write!(
                f,
                "rank {rank} keeps nothing of its {minimum}%, as no engine would hold a model of \
                 its services: raise the budget or check the VM list"
            ),
            Warning::Single { name } => write!(
                f,
                "{name} would be on one engine only: its services stop if that engine fails; \
                 add engines or raise the budget"
            ),
            Warning::Drains { engines, more } => write!(
                f,
                "{} engines give up a model, and chats whose context lies there start anew: {}{}; \
                 confirm at a quiet time",
                engines.len() + more,
                engines.join(", "),
                if *more > 0 { format!(" and {more} more") } else { String::new() }
            ),
            Warning::Paced { engines } => write!(
                f,
                "{engines} more engines should change, which limit.loads leaves to later plans: \
                 plan again once this one is loaded"
            ),
            Warning::Partial { missing } => write!(
                f,
                "the demand is without that of {}, which did not answer: plan again once they do",
                missing.join(", ")
            ),
            Warning::Minimum { rank } => {
                write!(f, "rank {rank} keeps nothing while others flood: set its minimum_percent")
            }
            Warning::Restored { shown, in_force } => write!(
                f,
                "the key-value service shows revision {shown}, but {in_force} is in force: it was \
                 restored to an old state; confirming this plan puts it right"
            ),
            Warning::Unused { service } => {
                write!(f, "service {service} serves no account: add one to its accounts")
            }
        }
    }
}

/// The warnings of a document for a fleet.
pub fn of(document: &Document, current: &Document, fleet: &[Engine]) -> Vec<Warning> {
    let mut warnings = Vec::new();
    let engines = u32::try_from(spread::model_engines(document, fleet).len()).unwrap_or(u32::MAX);
    let accelerators = document.limit.accelerators;
    if engines > accelerators {
        warnings.push(Warning::Budget { engines, accelerators });
    }
    for service in &document.services {
        let needs = service.needs();
        let assigned = document.assignments.iter().any(|one| one.holds.iter().any(|h| h == needs));
        let pooled = matches!(service.kind, Kind::Plain(_))
            && fleet.iter().any(|engine| engine.holds.iter().any(|held| held == needs));
        if !assigned && !pooled {
            let needs = needs.to_owned();
            warnings.push(Warning::Unserved { service: service.name.clone(), needs });
        }
        if service.accounts.is_empty() {
            warnings.push(Warning::Unused { service: service.name.clone() });
        }
    }
    warnings.extend(of_ranks(document));
    let single = holder::of(document, current, fleet).into_iter();
    let single = single.filter(|holder| holder.engines() == 1);
    warnings.extend(single.map(|holder| Warning::Single { name: holder.name }));
    warnings.extend(drains(document, current));
    warnings
}

fn of_ranks(document: &Document) -> Vec<Warning> {
    let mut warnings = Vec::new();
    for (index, rank) in document.ranks.iter().enumerate() {
        let name = rank.name.clone();
        let has_chats = document.services.iter().any(|service| {
            usize::from(service.rank) == index && matches!(service.kind, Kind::Chat(_))
        });
        if rank.minimum == 0 {
            warnings.push(Warning::Minimum { rank: name });
        } else if has_chats && effect::rank_engines(document, index) == 0 {
            warnings.push(Warning::Below { rank: name, minimum: rank.minimum });
        }
    }
    warnings
}

/// Engines that would no longer hold a model that they are to hold now.
fn drains(document: &Document, current: &Document) -> Option<Warning> {
    let gives_up = |one: &&Assignment| {
        let kept = document.holds(&one.engine);
        one.holds.iter().any(|held| !kept.contains(held))
    };
    let mut engines: Vec<id::Engine> =
        current.assignments.iter().filter(gives_up).map(|one| one.engine.clone()).collect();
    if engines.is_empty() {
        return None;
    }
    let more = engines.len().saturating_sub(LISTED);
    engines.truncate(LISTED);
    Some(Warning::Drains { engines, more })
}
