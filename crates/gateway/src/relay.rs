//! Relays an event stream from an endpoint to a client.

mod read;
mod source;

use std::io;
use std::mem;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use policy::speed::Kind;
use policy::speed::Work;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::attempt::Outcome;
use crate::attempt::StreamStart;
use crate::crash_check;
use crate::events::Splitter;
use crate::forward;
use crate::forward::Attempts;
use crate::framing::Framing;
use crate::record;
use crate::record::StreamEnd;
use crate::relay::read::Read;
use crate::relay::source::Source;
use crate::request::Request;
use crate::silences::Stage;
use crate::worker::Worker;

/// Shortest wait for a piece of a stream that shows that the piece had not been received before.
const MIN_WAIT: Duration = Duration::from_millis(5);

/// Longest time after the announcement of an endpoint's next start until the end of its streams of the
/// earlier one is noticed.
const LATE_END: Duration = Duration::from_millis(250);

/// Relays an event stream to a client, and resumes it at another endpoint if it breaks off.
///
/// Dropping the relay closes the connection to the endpoint, so that it can stop its work.
pub(crate) struct Relay {
    worker: Rc<Worker>,
    request: Rc<Request>,
    attempts: Attempts,
    status: StatusCode,
    headers: HeaderMap,
    /// Framing of the current or last endpoint's response.
    framing: Framing,
    /// Version of the current or last endpoint.
    version: Arc<str>,
    /// Version that is recorded as that of the stream.
    recorded: Option<Arc<str>>,
    /// `None` once the stream has ended.
    source: Option<Source>,
    events: Splitter,
    /// Whether events were sent to the client.
    has_begun: bool,
}

impl Relay {
    /// Creates the relay of a stream that an endpoint has started.
    pub(crate) fn new(
        worker: &Rc<Worker>,
        request: Rc<Request>,
        attempts: Attempts,
        mut start: StreamStart,
    ) -> Relay {
        let framing = Framing::of(start.response.headers());
        let version = Arc::clone(&start.endpoint.version);
        Relay {
            worker: Rc::clone(worker),
            request,
            attempts,
            status: start.response.status(),
            headers: mem::take(start.response.headers_mut()),
            framing,
            version,
            recorded: None,
            source: Some(Source::from(start)),
            events: Splitter::default(),
            has_begun: false,
        }
    }

    /// Returns the status of the first endpoint's response.
    pub(crate) fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the headers of the first endpoint's response.
    pub(crate) fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Returns the number of bytes that were received after the last whole event.
    pub(crate) fn rest_len(&self) -> usize {
        self.events.rest_len()
    }

    /// Returns the next whole events; `None` after the end of the stream.
    ///
    /// # Errors
    ///
    /// The stream broke off and can't be resumed, or the deadline passed. The caller has to
    /// close the client's connection, so that the client doesn't take the response for
    /// complete.
    pub(crate) async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            let is_watched = self.worker.context.routing.silences().is_on;
            let read = if is_watched { self.read_watched().await? } else { self.read().await? };
            let is_silent = matches!(read, Read::Silent(_));
            let cause = match read {
                Read::Data(data) => match self.events.push(&data) {
                    Ok(events) if events.is_empty() => continue,
                    Ok(events) => {
                        self.record_first_event();
                        if !self.record_begin().await {
                            self.source = None;
                            self.log("unsecured");
                            let cause = "its version could not be recorded elsewhere";
                            return Some(Err(io::Error::other(cause)));
                        }
                        return Some(Ok(events));
                    }
                    Err(error) => error.to_string(),
                },
                Read::End => match self.events.finish() {
                    Ok(rest) => {
                        self.end();
                        return if rest.is_empty() { None } else { Some(Ok(rest)) };
                    }
                    Err(error) => error.to_string(),
                },
                Read::Broken(cause) => cause,
                Read::Silent(waited) => format!("no event came for {waited:?}"),
                Read::TimedOut => {
                    self.source = None;
                    self.log("late");
                    return Some(Err(io::Error::other("the deadline passed")));
                }
            };
            if !self.resume(&cause, is_silent).await {
                self.log("cut");
                return Some(Err(io::Error::other(cause)));
            }
        }
    }

    /// Records the version that began the stream before its first events are sent, so that it goes
    /// on nowhere else. Returns whether they may be sent.
    async fn record_begin(&mut self) -> bool {
        let Some(source) = self.source.as_ref() else { return true };
        let version = &source.endpoint.version;
        if self.recorded.as_ref() == Some(version) {
            return true;
        }
        self.has_begun = true;
        self.attempts.version = Some(Arc::clone(version));
        let is_corrected = self.recorded.replace(Arc::clone(version)).is_some();
        let Some(stream) = self.request.stream_id().filter(|_| self.request.is_resumable()) else {
            return true;
        };
        let routing = &self.worker.context.routing;
        let (origins, now) = (routing.origins(), routing.now());
        if is_corrected {
            return origins.correct(&source.endpoint, stream, now).await;
        }
        let is_known = origins.record(&source.endpoint, stream, now).await;
        // The version of a stream that is taken up was found, so others can find it as well.
        is_known || self.request.metadata.last_event.is_some()
    }

    /// Records how long the endpoint took to send the first event.
    fn record_first_event(&mut self) {
        let Some(source) = self.source.as_mut().filter(|source| !source.has_events) else { return };
        source.has_events = true;
        let context = &self.worker.context;
        let (tokens, requests) = (self.request.metadata.prompt_tokens, source.requests);
        // The way to another data centre is part of the time.
        let class = u32::from(*source.endpoint.centre != *context.centre);
        let work = Work { kind: Kind::FirstEvent, class, tokens, requests };
        let routing = &context.routing;
        routing.record_time(&source.endpoint, work, source.sent.elapsed());
    }

    /// Ends a whole stream.
    fn end(&mut self) {
        if let Some(mut source) = self.source.take() {
            if let Some(pause) = source.pace.finish() {
                self.worker.context.routing.record_pause(&source.endpoint, pause);
            }
            self.worker.pool.put(source.connection);
        }
        let routing = &self.worker.context.routing;
        routing.quarantine().record_success(&self.request.suspect, routing.now());
        self.log("ended");
    }

    /// Reads from the endpoint until the deadline; `None` after the end of the stream.
    async fn read(&mut self) -> Option<Read> {
        let source = self.source.as_mut()?;
        let awaited = self.worker.context.routing.now();
        let read = Read::new(timeout_at(self.request.deadline, source.body.frame()).await);
        self.record_pause(awaited, &read);
        self.follow_restart(awaited, &read);
        Some(read)
    }

    /// Reads from the endpoint until the deadline, or until it is silent for too long; `None` after
    /// the end of the stream.
    async fn read_watched(&mut self) -> Option<Read> {
        self.update_silence_timeout();
        let (deadline, asked) = (self.request.deadline, Instant::now());
        let source = self.source.as_mut()?;
        let (stage, is_sampled) = (source.stage(), source.is_sampled());
        source.reads += 1;
        let silent = source
            .silence_timeout
            .map(|silence_timeout| asked + silence_timeout)
            .filter(|at| *at < deadline);
        let until = silent.unwrap_or(deadline);
        let awaited = self.worker.context.routing.now();
        let mut read = Read::new(timeout_at(until, source.body.frame()).await);
        self.record_pause(awaited, &read);
        self.follow_restart(awaited, &read);
        if matches!(read, Read::TimedOut) && silent.is_some() {
            if self.may_abandon() {
                self.record_time(stage, asked.elapsed());
                return Some(Read::Silent(asked.elapsed()));
            }
            read = self.read().await?;
        }
        if is_sampled && matches!(read, Read::Data(_)) {
            self.record_time(stage, asked.elapsed());
        }
        Some(read)
    }

    /// Records the pause before a piece of the stream, which was waited for from a time on.
    fn record_pause(&mut self, awaited: Duration, read: &Read) {
        let routing = &self.worker.context.routing;
        let Some(source) = self.source.as_mut().filter(|_| matches!(read, Read::Data(_))) else {
            return;
        };
        if let Some(pause) = source.pace.record(awaited, routing.now()) {
            routing.record_pause(&source.endpoint, pause);
        }
    }

    /// Takes the stream for one of a later start of its endpoint if that was announced before a piece was
    /// waited for, or long before it came: the earlier start had ended by then, so it can't have sent the
    /// piece. The request had been sent to a start that was not announced yet, which may have another
    /// version. See `docs/decisions/versions.md`.
    fn follow_restart(&mut self, awaited: Duration, read: &Read) {
        let routing = &self.worker.context.routing;
        let Some(source) = self.source.as_mut().filter(|_| matches!(read, Read::Data(_))) else {
            return;
        };
        let restarts = Some(routing.restarts());
        let now = routing.now();
        // A piece that comes at once may be one that the earlier start had sent.
        if source.restarts == restarts || now.saturating_sub(awaited) < MIN_WAIT {
            return;
        }
        let start = routing.with_directory(|directory, _| directory.start_of(&source.endpoint));
        match start {
            Some((start, _)) if start.is_same_start(&source.endpoint) => {}
            Some((_, since)) if since >= awaited && now < since + LATE_END => return,
            Some((start, _)) => {
                log::info!(id = self.request.id(), endpoint = &*start.id,
                    from_version = &*self.version, version = &*start.version;
                    "the stream is of a later start of its endpoint");
                self.version = Arc::clone(&start.version);
                source.endpoint = start;
            }
            None => {}
        }
        source.restarts = restarts;
    }

    /// Sets how long the next event may take.
    fn update_silence_timeout(&mut self) {
        let Some(source) = self.source.as_mut().filter(|source| source.is_sampled()) else {
            return;
        };
        let (routing, left) = (&self.worker.context.routing, self.request.time_left());
        source.silence_timeout =
            routing.silences().silence_timeout(&self.request.service, source.stage(), left);
    }

    fn record_time(&self, stage: Stage, time: Duration) {
        self.worker.context.routing.silences().record(&self.request.service, stage, time);
    }

    /// Whether the stream can go on at another endpoint at once.
    fn may_abandon(&self) -> bool {
        let can_go_on = !self.has_begun || self.events.last().is_some();
        let (request, attempts) = (&self.request, &self.attempts);
        can_go_on && forward::may_abandon(&self.worker, request, attempts, attempts.sent)
    }

    /// Resumes the stream at another endpoint after the last whole event. Returns whether that
    /// succeeded. A stream that was silent has not broken off, so it is not blamed for a crash.
    async fn resume(&mut self, cause: &str, is_silent: bool) -> bool {
        let Some(source) = self.source.take() else { return false };
        let worker = Rc::clone(&self.worker);
        worker.context.routing.record_broken_stream(&source.endpoint);
        if !is_silent {
            let begun = Some(source.begun.elapsed());
            let is_repeated = self.attempts.has_broken_off;
            crash_check::start(&worker, &self.request, &source.endpoint, begun, is_repeated);
            self.attempts.has_broken_off = true;
        }
        log::warn!(id = self.request.id(), endpoint = &*source.endpoint.id,
            content:% = format_args!("{:x}", self.request.content),
            parts = self.request.part_names(), last:? = self.events.last(),
            framing = self.framing.name(), rest = self.events.rest_len();
            "a stream broke off: {cause}");
        drop(source);
        self.events.drop_rest();
        if self.has_begun && self.events.last().is_none() {
            // Without ids it can't be told where to go on.
            return false;
        }
        let last = self.events.last().or(self.request.metadata.last_event);
        while forward::allow_repeat(&worker, &self.request, &self.attempts) {
            let attempt =
                forward::send_next(&worker, &self.request, &mut self.attempts, last).await;
            let Some(outcome) = attempt else { return false };
            self.attempts.sent += 1;
            if let Outcome::Stream(start) = outcome {
                if !self.fits(&start) {
                    worker.context.routing.record_broken_stream(&start.endpoint);
                    log::warn!(id = self.request.id(), endpoint = &*start.endpoint.id;
                        "a response of another content type can't go on with the stream");
                    continue;
                }
                log::info!(id = self.request.id(), endpoint = &*start.endpoint.id,
                    from_version = &*self.version, version = &*start.endpoint.version, last:?;
                    "the stream was resumed at another endpoint");
                self.framing = Framing::of(start.response.headers());
                self.version = Arc::clone(&start.endpoint.version);
                self.source = Some(Source::from(*start));
                return true;
            }
        }
        false
    }

    /// Whether a response is of the content type of the first one. The text of an error may be sent
    /// with a success status and no type.
    fn fits(&self, start: &StreamStart) -> bool {
        start.response.headers().get(CONTENT_TYPE) == self.headers.get(CONTENT_TYPE)
    }

    /// Records the end of the stream.
    fn log(&self, outcome: &'static str) {
        let end = StreamEnd {
            outcome,
            version: &self.version,
            framing: self.framing,
            last: self.events.last(),
            rest: self.events.rest_len(),
        };
        record::stream(&self.request, &self.attempts, &end);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // The source is still there only if the client disconnected before the end.
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
