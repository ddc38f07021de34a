//! History records of confirms.

use std::fmt;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;
use wire::Digest;
use wire::id;

use crate::Plan;
use crate::change::Change;

/// Most changes that a record lists; the others are only counted.
const MAX_LISTED_CHANGES: usize = 50;
/// Most changes that a summary names; the others are only counted.
const MAX_SUMMARY_CHANGES: usize = 3;

/// A record of one confirm. It is kept longer than the document that was confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The revision that the confirm put in force.
    pub revision: id::Revision,
    /// The revision that the plan was based on.
    pub base: id::Revision,
    /// The operator who confirmed the plan.
    pub operator: id::Operator,
    /// The plan's name.
    pub plan: String,
    /// Time of the confirm, by the clock of the operator's computer.
    pub at: SystemTime,
    /// Hash of the document, which distinguishes confirms of the same revision.
    pub digest: Digest,
    /// The first changes, as many as a record lists.
    pub changes: Vec<Change>,
    /// Number of changes that are not listed.
    pub more: usize,
}

impl Record {
    /// Returns the record of a plan that is confirmed at the time `at`; `digest` is the
    /// hash of its document.
    pub fn new(plan: &Plan, digest: Digest, at: SystemTime) -> Record {
        let listed = plan.changes.len().min(MAX_LISTED_CHANGES);
        Record {
            revision: plan.document.revision,
            base: plan.base,
            operator: plan.document.operator.clone(),
            plan: plan.name.clone(),
            at,
            digest,
            changes: plan.changes[..listed].to_vec(),
            more: plan.changes.len() - listed,
        }
    }

    /// Returns the first changes and the number of the others as one line of text.
    pub fn summary(&self) -> String {
        let named = self.changes.len().min(MAX_SUMMARY_CHANGES);
        let names: Vec<String> = self.changes[..named].iter().map(Change::to_string).collect();
        let rest = self.changes.len() - named + self.more;
        match (named, rest) {
            (0, _) => "no changes".to_owned(),
            (_, 0) => names.join("; "),
            (_, rest) => format!("{} and {rest} more changes", names.join("; ")),
        }
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for change in &self.changes {
            writeln!(f, "  {change}")?;
        }
        match (self.changes.len(), self.more) {
            (0, _) => writeln!(f, "  no changes"),
            (_, 0) => Ok(()),
            (_, more) => writeln!(f, "  and {more} more changes"),
        }
    }
}
