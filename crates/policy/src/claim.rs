//! Claims on idempotency keys, so that a call that must not run twice runs at most once.
//!
//! An agent creates the claim in the key-value service before it makes the call. An
//! agent that finds a claim of another attempt doesn't run the call. An agent that can't
//! reach the key-value service doesn't run it either, but can't tell whether an earlier
//! attempt did. See `docs/decisions/claims.md`.

mod answer;
mod nonce;
mod term;

use serde::Deserialize;
use serde::Serialize;
use wire::Digest;
use wire::refusal::Ran;
use wire::refusal::Reason;

pub use answer::Answer;
pub use nonce::Nonce;
pub use term::Term;

/// Attempts to create a claim while each write has an unknown result and leaves no entry.
const CREATE_ATTEMPTS_MAX: u32 = 3;

/// The claim on a call as stored in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The attempt that may run the call.
    pub nonce: Nonce,
    /// Hash of the call, which detects that the key is reused for another call.
    pub call: Digest,
    /// The outcome of the call, once it is known.
    pub outcome: Option<Outcome>,
}

/// The outcome of a call that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Its answer, which is replayed to later attempts.
    Answer(Answer),
    /// It was answered, but the answer is too large to be stored.
    TooLarge,
}

/// The result of a write of the claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Write {
    /// It was written.
    Written,
    /// Another claim exists.
    Conflict,
    /// It may have been written.
    Unknown,
    /// It was not written.
    NotWritten,
}

/// The next step of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Create the claim if none exists.
    Create,
    /// Read the claim.
    Read,
    /// Run the call.
    Run,
    /// Replay the stored answer.
    Replay(Answer),
    /// Refuse the call.
    Refuse(Reason, Ran),
}

/// State machine of one attempt to run a call, from its first write on.
#[derive(Debug, Clone)]
pub struct Attempt {
    nonce: Nonce,
    call: Digest,
    creates: u32,
}

impl Attempt {
    /// Returns an attempt whose first step is [`Step::Create`].
    pub fn new(nonce: Nonce, call: Digest) -> Attempt {
        Attempt { nonce, call, creates: 1 }
    }

    /// Returns the claim that the attempt creates.
    pub fn claim(&self) -> Claim {
        Claim { nonce: self.nonce.clone(), call: self.call.clone(), outcome: None }
    }

    /// Returns the claim completed with the call's answer.
    ///
    /// Of an answer larger than [`Answer::MAX_BYTES`] only the fact is kept.
    pub fn completed(&self, answer: Answer) -> Claim {
        let fits = answer.body.len() <= Answer::MAX_BYTES;
        let outcome = if fits { Outcome::Answer(answer) } else { Outcome::TooLarge };
        Claim { outcome: Some(outcome), ..self.claim() }
    }

    /// Returns the step after an attempt to create the claim.
    pub fn after_create(&self, write: Write) -> Step {
        match write {
            Write::Written => Step::Run,
            Write::Conflict | Write::Unknown => Step::Read,
            Write::NotWritten => Step::Refuse(Reason::Store, Ran::Unknown),
        }
    }

    /// Returns the step after the claim was read, or could not be read.
    pub fn after_read(&mut self, found: Result<Option<Claim>, Unreadable>) -> Step {
        let claim = match found {
            Ok(Some(claim)) => claim,
            Ok(None) => return self.create_again(),
            Err(Unreadable) => return Step::Refuse(Reason::Store, Ran::Unknown),
        };
        if claim.nonce == self.nonce {
            return Step::Run;
        }
        if claim.call != self.call {
            return Step::Refuse(Reason::Conflict, Ran::No);
        }
        match claim.outcome {
            Some(Outcome::Answer(answer)) => Step::Replay(answer),
            Some(Outcome::TooLarge) | None => Step::Refuse(Reason::Started, Ran::Unknown),
        }
    }

    /// Returns the step after no claim was found.
    ///
    /// Creating it again is safe: if the first write takes effect late, it finds the
    /// second claim and does nothing.
    fn create_again(&mut self) -> Step {
        if self.creates >= CREATE_ATTEMPTS_MAX {
            return Step::Refuse(Reason::Store, Ran::Unknown);
        }
        self.creates += 1;
        Step::Create
    }
}

/// The claim could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unreadable;
