//! Warnings about a plan.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use wire::id;

use crate::Assignment;
use crate::Document;
use crate::Engine;
use crate::allocation;
use crate::effect;
use crate::service::Kind;
use crate::spread;

/// Most engines that a warning lists.
const MAX_LISTED_ENGINES: usize = 5;

/// A point of a plan that the operator should check before confirming.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Warning {
    /// There are more model engines than the budget pays for.
    Budget {
        /// Model engines in the fleet.
        engines: u32,
        /// Accelerators paid for.
        accelerators: u32,
    },
    /// No engine would answer a service's requests.
    Unserved {
        /// The service.
        service: id::Service,
        /// The model or pool that no engine would hold.
        needs: String,
    },
    /// No engine would hold a model of a rank's services, so that the rank's minimum
    /// has no effect.
    Below {
        /// The rank.
        rank: String,
        /// Percent of each engine that the intent reserves for the rank.
        minimum: u8,
    },
    /// Only one engine would hold a model or pool, so that its failure stops services.
    Single {
        /// The model or pool.
        name: String,
    },
    /// Engines would unload a model, which loses the cached context of chats on them.
    Drains {
        /// The first engines, as many as a warning lists.
        engines: Vec<id::Engine>,
        /// Number of engines that are not listed.
        more: usize,
    },
    /// More engines should change than one plan may change.
    #[serde(rename = "paced")]
    Deferred {
        /// Number of engines that are left for later plans.
        engines: usize,
    },
    /// The demand is incomplete, as entries did not report theirs.
    Partial {
        /// The VMs of those entries.
        missing: Vec<id::Vm>,
    },
    /// A rank has no minimum and can be starved by other ranks.
    Minimum {
        /// The rank.
        rank: String,
    },
    /// The key-value service was restored to an older state than is in force.
    Restored {
        /// The revision in the key-value service.
        shown: id::Revision,
        /// The revision that the processes have.
        in_force: id::Revision,
    },
    /// No client account may use a service.
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
                "{} engines give up a model, and chats whose context is cached there must rebuild \
                 it: {}{}; confirm at a quiet time",
                engines.len() + more,
                engines.join(", "),
                if *more > 0 { format!(" and {more} more") } else { String::new() }
            ),
            Warning::Deferred { engines } => write!(
                f,
                "{engines} more engines should change, but limit.loads leaves them to later plans: \
                 plan again once the models of this one are loaded"
            ),
            Warning::Partial { missing } => write!(
                f,
                "the demand lacks the requests of {}, which did not answer: plan again once they \
                 do",
                missing.join(", ")
            ),
            Warning::Minimum { rank } => {
                write!(f, "rank {rank} has no reserve under overload: set its minimum_percent")
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

/// Returns the warnings about a planned document for a fleet; `current` is the document
/// in force.
pub fn of(document: &Document, current: &Document, fleet: &[Engine]) -> Vec<Warning> {
    let mut warnings = Vec::new();
    let engines = u32::try_from(spread::model_engines(document, fleet).len()).unwrap_or(u32::MAX);
    let accelerators = document.limit.accelerators;
    if engines > accelerators {
        warnings.push(Warning::Budget { engines, accelerators });
    }
    for service in &document.services {
        let needs = service.needs();
        let is_assigned =
            document.assignments.iter().any(|item| item.holds.iter().any(|held| held == needs));
        let is_pooled = matches!(service.kind, Kind::Plain(_))
            && fleet.iter().any(|engine| engine.holds.iter().any(|held| held == needs));
        if !is_assigned && !is_pooled {
            let needs = needs.to_owned();
            warnings.push(Warning::Unserved { service: service.name.clone(), needs });
        }
        if service.accounts.is_empty() {
            warnings.push(Warning::Unused { service: service.name.clone() });
        }
    }
    warnings.extend(rank_warnings(document));
    let single = allocation::of(document, current, fleet).into_iter();
    let single = single.filter(|allocation| allocation.engines() == 1);
    warnings.extend(single.map(|allocation| Warning::Single { name: allocation.name }));
    warnings.extend(drain_warning(document, current));
    warnings
}

/// Returns the warnings about ranks whose minimum is zero or has no effect.
fn rank_warnings(document: &Document) -> Vec<Warning> {
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

/// Returns a warning if engines would no longer hold a model that they hold according to
/// the document in force.
fn drain_warning(document: &Document, current: &Document) -> Option<Warning> {
    let unloads = |assignment: &&Assignment| {
        let kept = document.holds(&assignment.engine);
        assignment.holds.iter().any(|held| !kept.contains(held))
    };
    let mut engines: Vec<id::Engine> =
        current.assignments.iter().filter(unloads).map(|item| item.engine.clone()).collect();
    if engines.is_empty() {
        return None;
    }
    let more = engines.len().saturating_sub(MAX_LISTED_ENGINES);
    engines.truncate(MAX_LISTED_ENGINES);
    Some(Warning::Drains { engines, more })
}
