//! Refusals of work: the reason, and when to retry.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id;

/// The final answer to work that was refused or aborted, sent at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the work was refused.
    pub reason: Reason,
    /// Whether the work may have run.
    pub ran: Ran,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
    /// The engine that has the chat's context, if the refusing agent knows a better one.
    pub hint: Option<id::Engine>,
}

/// Whether refused work may have run on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It did not run; set only where that is certain.
    No,
    /// It may have run.
    Unknown,
}

/// The reason why work was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The engine is at its load bound.
    Bound,
    /// The agent's admission queue is full.
    Queue,
    /// The work can't start before its deadline.
    Deadline,
    /// The account has used up its share.
    Share,
    /// The engine is leaving and takes no new work.
    Leaving,
    /// The engine doesn't hold the model or pool.
    Missing,
    /// The agent has no configuration or can't reach its engine yet.
    Starting,
    /// The engine can't be reached or broke off its answer.
    Engine,
    /// The key-value service can't be asked whether the call ran already.
    Store,
    /// The chat's context is on another engine, which the hint names.
    Moved,
    /// The same key was used with another body.
    Conflict,
    /// A call with this key was started before and its outcome is unknown.
    Started,
    /// The message was malformed or didn't come from a process of this fleet.
    Foreign,
    /// The retry budget is used up.
    Retries,
}

impl Reason {
    /// Returns whether another engine may accept the same work.
    pub fn can_succeed_elsewhere(self) -> bool {
        !matches!(
            self,
            Reason::Conflict | Reason::Started | Reason::Foreign | Reason::Share | Reason::Retries
        )
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::Bound => "bound",
            Reason::Queue => "queue",
            Reason::Deadline => "deadline",
            Reason::Share => "share",
            Reason::Leaving => "leaving",
            Reason::Missing => "missing",
            Reason::Starting => "starting",
            Reason::Engine => "engine",
            Reason::Store => "store",
            Reason::Moved => "moved",
            Reason::Conflict => "conflict",
            Reason::Started => "started",
            Reason::Foreign => "foreign",
            Reason::Retries => "retries",
        })
    }
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Ran::No => "no",
            Ran::Unknown => "unknown",
        })
    }
}
