//! The interface between an agent and its engine.

use bytes::Bytes;
use displaydoc::Display;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::LocalBoxStream;
use wire::frame::Head;
use wire::frame::Usage;

/// A client of one engine: a model engine or a plain service.
///
/// Futures are local to a worker because the HTTP client is.
pub trait Engine {
    /// Starts work and returns its answer, whose chunks are read as they arrive.
    ///
    /// # Errors
    ///
    /// See [`Error`]; [`Error::Refused`] and [`Error::Down`] mean that nothing ran.
    fn start(&self, job: Job) -> LocalBoxFuture<'_, Result<Answer, Error>>;

    /// Resumes an answer after the chunk numbered `after`, or from its beginning.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if the engine does not keep the answer, otherwise see [`Error`].
    fn resume<'a>(
        &'a self,
        handle: &'a str,
        after: Option<u64>,
    ) -> LocalBoxFuture<'a, Result<Answer, Error>>;

    /// Cancels work at the engine, which frees its slot.
    ///
    /// # Errors
    ///
    /// See [`Error`]; it is no error if the work has already ended.
    fn cancel<'a>(&'a self, handle: &'a str) -> LocalBoxFuture<'a, Result<(), Error>>;

    /// Checks the engine's health and returns the models or pools it holds, sorted.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    fn probe(&self) -> LocalBoxFuture<'_, Result<Vec<String>, Error>>;
}

/// Work for an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The work, as the entry sent it.
    pub work: wire::Work,
    /// The priority at the engine; lower values run earlier.
    pub priority: i32,
}

/// An answer that has begun.
pub struct Answer {
    /// The engine's identifier of the work, for resume and cancel; empty if it has none.
    pub handle: String,
    /// The status and content type, and the handle if callers can resume the answer.
    pub head: Head,
    /// The chunks. A stream that ends without [`Chunk::End`] was cut.
    pub chunks: LocalBoxStream<'static, Result<Chunk, Error>>,
}

/// A part of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Chunk {
    /// A number, and one event of a chat or a part of a plain body.
    Data(u64, Bytes),
    /// The end of a complete answer.
    End(Usage),
}

/// Why a call to an engine failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// the engine refused the work with status {0}, so nothing ran: check that it holds the model
    Refused(u16),
    /// the engine can't be reached ({0}), so nothing ran: check engine.address and the engine's health
    Down(String),
    /// the engine broke off ({0}): whether the work ran isn't known
    Cut(String),
    /// the engine's answer can't be read ({0}): check that it speaks the expected protocol
    Protocol(String),
}

impl std::error::Error for Error {}
