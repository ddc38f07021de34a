//! Numbers of engines that a plan gives each model or pool.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use wire::id;

use crate::Document;
use crate::Engine;
use crate::service::Kind;

/// Number of engines that hold one model or pool, before and after a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocation {
    /// The model or pool.
    pub name: String,
    /// Whether it is a model or a pool.
    pub role: Role,
    /// Engines that hold it now.
    pub before: usize,
    /// Engines that would hold it, by data centre.
    pub centres: Vec<Centre>,
}

/// The kind of engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Model engines, which run a model.
    Model,
    /// Plain engines of a pool.
    Plain,
}

/// Number of engines in one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Centre {
    /// The data centre.
    pub name: id::Centre,
    /// Engines in it.
    pub engines: usize,
}

impl Allocation {
    /// Returns the number of engines that would hold the model or pool.
    pub fn engines(&self) -> usize {
        self.centres.iter().map(|centre| centre.engines).sum()
    }
}

impl fmt::Display for Allocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let role = match self.role {
            Role::Model => "model",
            Role::Plain => "plain",
        };
        let plural = if self.engines() == 1 { "" } else { "s" };
        write!(f, "{}: {} {role} engine{plural}", self.name, self.engines())?;
        if self.before != self.engines() {
            write!(f, " in place of {}", self.before)?;
        }
        for (index, centre) in self.centres.iter().enumerate() {
            let separator = if index == 0 { ":" } else { "," };
            write!(f, "{separator} {} in {}", centre.engines, centre.name)?;
        }
        Ok(())
    }
}

/// Returns the engine counts of all models and pools that services need, sorted by
/// name.
///
/// The engines of a model come from the assignments of `document` and `current`,
/// those of a pool from what the fleet's engines hold now.
pub fn of(document: &Document, current: &Document, fleet: &[Engine]) -> Vec<Allocation> {
    let mut allocations: Vec<Allocation> = Vec::new();
    for service in &document.services {
        let name = service.needs();
        let Err(index) = allocations.binary_search_by(|known| known.name.as_str().cmp(name)) else {
            continue;
        };
        allocations.insert(index, allocation(name, &service.kind, document, current, fleet));
    }
    allocations
}

fn allocation(
    name: &str,
    kind: &Kind,
    document: &Document,
    current: &Document,
    fleet: &[Engine],
) -> Allocation {
    let role = match kind {
        Kind::Chat(_) => Role::Model,
        Kind::Plain(_) => Role::Plain,
    };
    let holding = |document: &Document| -> Vec<&Engine> {
        let holds = |engine: &&Engine| {
            let holds = match role {
                Role::Model => document.holds(&engine.vm),
                Role::Plain => &engine.holds[..],
            };
            holds.iter().any(|held| held == name)
        };
        fleet.iter().filter(holds).collect()
    };
    let mut centres: Vec<Centre> = Vec::new();
    for engine in holding(document) {
        match centres.binary_search_by(|known| known.name.cmp(&engine.centre)) {
            Ok(index) => centres[index].engines += 1,
            Err(index) => {
                centres.insert(index, Centre { name: engine.centre.clone(), engines: 1 });
            }
        }
    }
    Allocation { name: name.to_owned(), role, before: holding(current).len(), centres }
}
