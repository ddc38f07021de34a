//! Results of reads from an endpoint.

use std::fmt::Display;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Frame;
use tokio::time::error::Elapsed;

/// Result of one read from an endpoint.
pub(super) enum Read {
    Data(Bytes),
    End,
    Broken(String),
    TimedOut,
    /// Nothing came for far longer than usual, and another endpoint may be asked.
    Silent(Duration),
}

impl Read {
    /// Takes the result of waiting for a frame.
    pub(super) fn new<E: Display>(frame: Result<Option<Result<Frame<Bytes>, E>>, Elapsed>) -> Read {
        match frame {
            Err(_) => Read::TimedOut,
            Ok(None) => Read::End,
            Ok(Some(Err(error))) => Read::Broken(error.to_string()),
            // Trailers are ignored.
            Ok(Some(Ok(frame))) => Read::Data(frame.into_data().unwrap_or_default()),
        }
    }
}
