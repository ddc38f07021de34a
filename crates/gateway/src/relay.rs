//! A series of events on its way to a client.

use std::io;
use std::mem;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use link::Connection;
use tokio::time::timeout_at;

use crate::attempt::Begun;
use crate::attempt::Outcome;
use crate::events::Splitter;
use crate::forward;
use crate::forward::Tries;
use crate::record;
use crate::request::Request;
use crate::seat::Seat;
use crate::worker::Worker;

/// A series of events on its way to a client. Dropping it frees its endpoint.
pub(crate) struct Relay {
    worker: Rc<Worker>,
    request: Rc<Request>,
    tries: Tries,
    status: StatusCode,
    headers: HeaderMap,
    source: Option<Source>,
    events: Splitter,
}

/// The endpoint that the events come from now.
struct Source {
    endpoint: Arc<route::Endpoint>,
    body: Incoming,
    connection: Connection,
    _seat: Seat,
}

/// What became of reading one piece.
enum Piece {
    Data(Bytes),
    End,
    Broken(String),
    Late,
}

impl Relay {
    pub(crate) fn new(
        worker: &Rc<Worker>,
        request: Rc<Request>,
        tries: Tries,
        mut begun: Begun,
    ) -> Relay {
        Relay {
            worker: Rc::clone(worker),
            request,
            tries,
            status: begun.response.status(),
            headers: mem::take(begun.response.headers_mut()),
            source: Some(Source::from(begun)),
            events: Splitter::default(),
        }
    }

    pub(crate) fn status(&self) -> StatusCode {
        self.status
    }

    pub(crate) fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// The next whole events; an error ends the client's connection, so that it
    /// does not take the answer for complete.
    pub(crate) async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            match self.read().await? {
                Piece::Data(data) => {
                    let events = self.events.push(&data);
                    if !events.is_empty() {
                        return Some(Ok(events));
                    }
                }
                Piece::End => {
                    let source = self.source.take()?;
                    self.worker.pool.put(source.connection);
                    self.log("ended");
                    let rest = self.events.take_rest();
                    return if rest.is_empty() { None } else { Some(Ok(rest)) };
                }
                Piece::Broken(cause) => {
                    if !self.resume(&cause).await {
                        self.log("cut");
                        return Some(Err(io::Error::other(cause)));
                    }
                }
                Piece::Late => {
                    self.source = None;
                    self.log("late");
                    return Some(Err(io::Error::other("the time is over")));
                }
            }
        }
    }

    async fn read(&mut self) -> Option<Piece> {
        let source = self.source.as_mut()?;
        let piece = match timeout_at(self.request.deadline, source.body.frame()).await {
            Err(_) => Piece::Late,
            Ok(None) => Piece::End,
            Ok(Some(Err(error))) => Piece::Broken(error.to_string()),
            // Trailers have no meaning here.
            Ok(Some(Ok(frame))) => Piece::Data(frame.into_data().unwrap_or_default()),
        };
        Some(piece)
    }

    /// Goes on at another endpoint after the last whole event; says whether that worked.
    async fn resume(&mut self, cause: &str) -> bool {
        let Some(source) = self.source.take() else { return false };
        let worker = Rc::clone(&self.worker);
        worker.context.knowledge.failed(&source.endpoint);
        log::warn!(id = self.request.id(), endpoint = &*source.endpoint.id,
            last:? = self.events.last(); "a stream broke off: {cause}");
        drop(source);
        self.events.take_rest();
        let last = self.events.last().or(self.request.ask.last_event);
        while forward::may_repeat(&worker, &self.request, &self.tries) {
            let sent = forward::send_next(&worker, &self.request, &mut self.tries, last).await;
            let Some(outcome) = sent else { return false };
            self.tries.sent += 1;
            if let Outcome::Begun(begun) = outcome {
                log::info!(id = self.request.id(), endpoint = &*begun.endpoint.id, last:?;
                    "goes on");
                self.source = Some(Source::from(*begun));
                return true;
            }
        }
        false
    }

    fn log(&self, outcome: &'static str) {
        record::stream(&self.request, &self.tries, self.events.last(), outcome);
    }
}

impl From<Begun> for Source {
    fn from(begun: Begun) -> Source {
        let Begun { endpoint, response, connection, seat } = begun;
        Source { endpoint, body: response.into_body(), connection, _seat: seat }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // An endpoint is left over where the client went away.
        if self.source.is_some() {
            self.log("left");
        }
    }
}

impl std::fmt::Debug for Relay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relay").field("request", &self.request.id()).finish_non_exhaustive()
    }
}
