//! One attempt to serve a request on one engine, sent by an entry to the engine's agent.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Cost;
use crate::Mean;
use crate::Resume;
use crate::Stamp;
use crate::Work;
use crate::id;

/// Path at the agent's data address that accepts attempts by `POST`.
pub const PATH: &str = "/attempt";

/// An attempt to serve a request, with the work and its deadline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// Stamp of the entry that sends it.
    pub stamp: Stamp,
    /// Id of the caller's request.
    pub request: id::Request,
    /// Number of this attempt of the request, from 0.
    pub attempt: id::Attempt,
    /// The client account that the caller's token belongs to.
    pub account: id::Account,
    /// The service, whose rank and worth are in the configuration.
    pub service: id::Service,
    /// Time left until the request's first token or answer is of no use any more.
    pub deadline: Duration,
    /// Tokens that the work takes.
    pub cost: Cost,
    /// The entry's estimate of the fleet's mean load, if it has one.
    pub mean: Option<Mean>,
    /// The chat's home: the engine that ranks first by the chat's hash, whose agent
    /// records where the chat is if it was placed elsewhere.
    pub home: Option<id::Engine>,
    /// Whether the agent may refuse with [`crate::refusal::Reason::Moved`] instead of
    /// doing the work; `false` once following a hint has failed.
    pub redirect: bool,
    /// The work to do.
    pub work: Work,
    /// Where to resume the answer of an earlier attempt; `None` starts the work anew.
    #[serde(default)]
    pub resume: Option<Resume>,
}
