//! An engine as its agent sees it.

use bytes::Bytes;
use displaydoc::Display;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::LocalBoxStream;
use wire::frame::Head;
use wire::frame::Usage;

/// An engine of either kind.
///
/// Futures are local to a worker because the HTTP client is.
pub trait Engine {
    /// Starts work and gives its answer as it comes.
    ///
    /// # Errors
    ///
    /// See [`Error`]; here [`Error::Refused`] alone means that nothing ran.
    fn start(&self, job: Job) -> LocalBoxFuture<'_, Result<Answer, Error>>;

    /// Goes on with an answer after its piece of a number, or from its
    /// beginning, where the engine can.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if the engine does not keep the answer; else see [`Error`].
    fn resume<'a>(
        &'a self,
        handle: &'a str,
        after: Option<u64>,
    ) -> LocalBoxFuture<'a, Result<Answer, Error>>;

    /// Stops work at the engine and frees its slot.
    ///
    /// # Errors
    ///
    /// See [`Error`]; work that has ended is no error.
    fn cancel<'a>(&'a self, handle: &'a str) -> LocalBoxFuture<'a, Result<(), Error>>;

    /// Whether the engine answers, and what it holds, sorted.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    fn probe(&self) -> LocalBoxFuture<'_, Result<Vec<String>, Error>>;
}

/// What is asked of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The work, as the entry sent it.
    pub work: wire::Work,
    /// The priority at the engine; lower runs earlier.
    pub priority: i32,
}

/// An answer that has begun.
pub struct Answer {
    /// Names the work at the engine, for resume and cancel; empty if it can't be named.
    pub handle: String,
    /// Status and type.
    pub head: Head,
    /// The pieces; a stream that ends without [`Piece::End`] was cut.
    pub chunks: LocalBoxStream<'static, Result<Chunk, Error>>,
}

/// A piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Chunk {
    /// One chunk of a chat, or part of a plain body, with its number.
    Data(u64, Bytes),
    /// The answer is whole.
    End(Usage),
}

/// Why an engine did not do its work.
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
