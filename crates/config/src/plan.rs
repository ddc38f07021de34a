//! Plans, which show what confirming an intent would do.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use wire::Digest;
use wire::id;

use crate::Allocation;
use crate::Budget;
use crate::Demand;
use crate::Document;
use crate::Engine;
use crate::allocation;
use crate::change;
use crate::change::Change;
use crate::effect;
use crate::effect::Effect;
use crate::spread;
use crate::warning;
use crate::warning::Warning;

/// The computed effect of an intent, valid for the revision it is based on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The plan's name, derived from a hash of its document, so that equal plans have
    /// equal names.
    pub name: String,
    /// The revision that must be in the key-value service when the plan is confirmed.
    pub base: id::Revision,
    /// The document that would be in force.
    pub document: Document,
    /// Differences from the document in force.
    pub changes: Vec<Change>,
    /// Number of engines of each model and pool.
    #[serde(rename = "holders")]
    pub allocations: Vec<Allocation>,
    /// Use of the budget.
    pub budget: Budget,
    /// Capacity that each rank and account is guaranteed.
    pub effects: Vec<Effect>,
    /// Points that the operator should check before confirming.
    pub warnings: Vec<Warning>,
}

/// Length of a plan's name, in characters.
const NAME_CHARS: usize = 12;
/// Most lines of a section that are printed.
const MAX_PRINTED_LINES: usize = 100;

/// The inputs of a plan besides the intent.
#[derive(Debug, Clone, Copy)]
pub struct Basis<'a> {
    /// The configuration in force.
    pub current: &'a Document,
    /// The revision in the key-value service. It is lower than the revision in force
    /// if the service was restored to an older state.
    pub base: id::Revision,
    /// The engines of the fleet.
    pub fleet: &'a [Engine],
    /// The measured demand, if the assignments are to follow it.
    pub demand: Option<&'a Demand>,
    /// The operator who makes the plan.
    pub operator: &'a str,
}

/// Computes the plan for an intent's document, as [`crate::check::parse`] returns it.
/// Equal inputs give equal plans.
///
/// The plan's revision is the one after the revision in force, even if the key-value
/// service has a lower one, since processes never go back to a lower revision.
pub fn plan(wanted: Document, basis: &Basis<'_>) -> Plan {
    let Basis { current, base, fleet, demand, operator } = *basis;
    let mut document = wanted;
    document.revision = current.revision + 1;
    document.operator = operator.to_owned();
    let spread = spread::spread(&document, current, fleet, demand);
    document.assignments = spread.assignments;
    let changes = change::between(current, &document);
    let allocations = allocation::of(&document, current, fleet);
    let effects = effect::of(&document);
    let mut warnings = warning::of(&document, current, fleet);
    if spread.needs.pending > 0 {
        warnings.push(Warning::Deferred { engines: spread.needs.pending });
    }
    if let Some(Demand { missing, .. }) = demand.filter(|demand| !demand.missing.is_empty()) {
        warnings.push(Warning::Partial { missing: missing.clone() });
    }
    if base < current.revision {
        warnings.push(Warning::Restored { shown: base, in_force: current.revision });
    }
    let text = serde_json::to_string(&document).unwrap_or_default();
    let mut name = Digest::of(text.as_bytes()).as_str().to_owned();
    name.truncate(NAME_CHARS);
    let budget = Budget::of(&document, fleet);
    Plan { name, base, document, changes, allocations, budget, effects, warnings }
}

impl Plan {
    /// Returns the plan as it is stored until it is confirmed, with the document and
    /// the changes. The other parts are only read by the operator, and with many
    /// accounts they are longer than the document.
    pub fn for_storage(&self) -> Plan {
        let allocations = Vec::new();
        Plan { allocations, effects: Vec::new(), warnings: Vec::new(), ..self.clone() }
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "plan {} on revision {}", self.name, self.base)?;
        write_section(f, "changes", &self.changes)?;
        write_section(f, "engines", &self.allocations)?;
        writeln!(f, "budget: {}", self.budget)?;
        write_section(f, "effects", &self.effects)?;
        write_section(f, "warnings", &self.warnings)
    }
}

fn write_section<T: fmt::Display>(
    f: &mut fmt::Formatter<'_>,
    title: &str,
    lines: &[T],
) -> fmt::Result {
    if lines.is_empty() {
        return writeln!(f, "{title}: none");
    }
    writeln!(f, "{title}:")?;
    for line in lines.iter().take(MAX_PRINTED_LINES) {
        writeln!(f, "  {line}")?;
    }
    match lines.len().saturating_sub(MAX_PRINTED_LINES) {
        0 => Ok(()),
        more => writeln!(f, "  and {more} more, which --json lists"),
    }
}
