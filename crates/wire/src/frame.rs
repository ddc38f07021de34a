//! The frames of an answer, which an agent streams to an entry.
//!
//! An answer is `Accepted`, `Head`, any number of `Data`, then `End`; `Refused` may
//! end it at any point. An answer without `End` or `Refused` is cut. Serialisation
//! of a frame is written by hand because one frame is sent per generated token.

use std::fmt;

use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde::ser::SerializeTuple;

use crate::Load;
use crate::Refusal;
use crate::Stamp;
use crate::id;

/// Number of fields of a frame on the wire.
const FRAME_FIELDS: usize = 5;

/// One frame of the answer to an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Frame {
    /// Id of the request that it answers.
    pub request: id::Request,
    /// Number of the attempt that it answers.
    pub attempt: id::Attempt,
    /// Hash of the account that made the request, so that no other caller gets the answer.
    pub owner: u64,
    /// Number of the frame within its attempt, from 0 without gaps.
    pub sequence: u64,
    /// Content of the frame.
    pub payload: Payload,
}

/// The content of a frame.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// The agent accepted the work.
    Accepted(Report),
    /// The engine started to answer.
    Head(Head),
    /// A chunk of the answer: one chunk of a chat completion, or part of a plain body.
    Data(Bytes),
    /// The answer is complete.
    End(Usage),
    /// The work was refused or aborted.
    Refused(Refusal, Report),
}

/// Identity of the agent and load of its engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Stamp of the agent.
    pub stamp: Stamp,
    /// Load of its engine, including this work if it was accepted.
    pub load: Load,
}

/// The head of an answer: status, content type and how to resume it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if any.
    pub content_type: Option<String>,
    /// Whether this is a stored answer to an earlier call with the same key.
    pub replayed: bool,
    /// The handle under which the engine keeps a chat's answer, so that a cut answer can
    /// be resumed through another process; `None` if the engine can't do that.
    #[serde(default)]
    pub handle: Option<String>,
}

/// Numbers of tokens as the engine counted them, all zero for plain calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt: u32,
    /// Prompt tokens that came from the engine's cache.
    pub cached: u32,
    /// Generated tokens.
    pub output: u32,
}

impl Serialize for Frame {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(FRAME_FIELDS)?;
        tuple.serialize_element(&self.request)?;
        tuple.serialize_element(&self.attempt)?;
        tuple.serialize_element(&self.owner)?;
        tuple.serialize_element(&self.sequence)?;
        tuple.serialize_element(&self.payload)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Frame {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Frame, D::Error> {
        deserializer.deserialize_tuple(FRAME_FIELDS, FrameVisitor)
    }
}

/// Deserialises a frame from a sequence of its fields.
struct FrameVisitor;

impl<'de> Visitor<'de> for FrameVisitor {
    type Value = Frame;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a frame of request, attempt, owner, sequence and payload")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Frame, A::Error> {
        Ok(Frame {
            request: field(&mut seq, 0)?,
            attempt: field(&mut seq, 1)?,
            owner: field(&mut seq, 2)?,
            sequence: field(&mut seq, 3)?,
            payload: field(&mut seq, 4)?,
        })
    }
}

/// Deserialises the field at an index of the sequence.
fn field<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
    seq: &mut A,
    index: usize,
) -> Result<T, A::Error> {
    seq.next_element()?.ok_or_else(|| A::Error::invalid_length(index, &FrameVisitor))
}
