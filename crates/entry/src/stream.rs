//! An answer that is resumed automatically after its connection broke.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use policy::retry::Resumption;
use policy::sequence::Sequence;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::Resume;
use wire::frame::Payload;
use wire::hash;
use wire::id;
use wire::refusal::Reason;

use crate::answer::Answer;
use crate::attempt;
use crate::canceller::Canceller;
use crate::choice::Target;
use crate::meter;
use crate::observer::Observer;
use crate::request::Request;
use crate::transport::Fault;
use crate::worker::Worker;

/// Time within which an agent has to accept or refuse to resume an answer.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which an engine has to begin the rest of an answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(6);

/// Attempts that resume an answer are numbered from multiples of this, so that none has
/// the number of an attempt that begins one.
const RESUME_NUMBER_STRIDE: id::Attempt = 1 << 16;

/// One answer, over as many attempts as it takes.
pub(crate) struct Stream {
    worker: Rc<Worker>,
    request: Request,
    target: Target,
    /// `None` while there is no connection, as at first for an answer that another entry
    /// began.
    answer: Option<Answer>,
    /// The engine's identifier of the answer, if the engine keeps it.
    handle: Option<String>,
    has_head: bool,
    /// Whether the caller was sent a part of the answer.
    has_delivered: bool,
    last_chunk: Option<u64>,
    number: id::Attempt,
    resumption: Resumption,
    /// Guards of attempts whose connection broke; the work may run on at an agent.
    abandoned: Vec<Canceller>,
}

/// Result of one attempt to resume.
enum Outcome {
    /// The answer is resumed.
    Resumed(Box<Answer>),
    /// It can't be resumed.
    Refused(Payload),
    /// It may be resumed later.
    Retry,
}

impl Stream {
    /// Creates the stream of an answer that an attempt began.
    pub(crate) fn new(
        worker: &Rc<Worker>,
        request: &Request,
        number: id::Attempt,
        target: &Target,
        answer: Answer,
    ) -> Stream {
        Stream { answer: Some(answer), ..Stream::unstarted(worker, request, number, target) }
    }

    /// Creates the stream of an answer that another entry began, from the chunk after
    /// `from.after` on.
    pub(crate) fn resumed(
        worker: &Rc<Worker>,
        request: &Request,
        target: &Target,
        from: Resume,
    ) -> Stream {
        let unstarted = Stream::unstarted(worker, request, 0, target);
        Stream {
            handle: Some(from.handle),
            has_delivered: true,
            last_chunk: from.after,
            ..unstarted
        }
    }

    fn unstarted(
        worker: &Rc<Worker>,
        request: &Request,
        number: id::Attempt,
        target: &Target,
    ) -> Stream {
        Stream {
            worker: Rc::clone(worker),
            request: request.without_body(),
            target: target.clone(),
            answer: None,
            handle: None,
            has_head: false,
            has_delivered: false,
            last_chunk: None,
            number: (number + 1) * RESUME_NUMBER_STRIDE,
            resumption: Resumption::default(),
            abandoned: Vec::new(),
        }
    }

    /// Records that the caller is sent a part of the answer, so that no other engine may
    /// start it anew.
    pub(crate) fn mark_delivered(&mut self) {
        self.has_delivered = true;
    }

    /// Returns the engine's identifier of the answer, once its head came from an engine
    /// that keeps answers.
    pub(crate) fn handle(&self) -> Option<&str> {
        self.handle.as_deref()
    }

    /// Returns the engine that generates the answer.
    pub(crate) fn engine(&self) -> &str {
        &self.target.engine
    }

    /// Returns the number of the last chunk that came; chunks count from 0.
    pub(crate) fn last_chunk(&self) -> Option<u64> {
        self.last_chunk
    }

    /// Returns the next payload, which has to come within a time.
    ///
    /// # Errors
    ///
    /// The answer can't be read further after an error.
    pub(crate) async fn next(&mut self, within: Duration) -> Result<Payload, Fault> {
        loop {
            let next = match &mut self.answer {
                Some(answer) => answer.next(within).await,
                None => Err(Fault::Disconnected("its entry broke off".to_owned())),
            };
            match next {
                Ok(Payload::Head(head)) if !self.has_head => {
                    self.has_head = true;
                    self.handle = head.handle.clone();
                    return Ok(Payload::Head(head));
                }
                Ok(Payload::Data(chunk)) => {
                    self.last_chunk = self.answer.as_ref().and_then(Answer::last_chunk);
                    self.resumption.record_progress();
                    return Ok(Payload::Data(chunk));
                }
                Ok(payload) => return Ok(payload),
                Err(fault) => {
                    if let Some(payload) = self.recover(fault).await? {
                        return Ok(payload);
                    }
                }
            }
        }
    }

    /// Asks the engine's agent for the rest until it comes or the time for it is over.
    /// Returns the payload that the reader has to get, if any.
    async fn recover(&mut self, fault: Fault) -> Result<Option<Payload>, Fault> {
        let is_broken = matches!(fault, Fault::Disconnected(_) | Fault::TimedOut);
        let Some(handle) = self.handle.clone().filter(|_| is_broken) else { return Err(fault) };
        self.abandoned.extend(self.answer.take().map(Answer::into_canceller));
        while let Some(pause) =
            self.resumption.next_pause(self.has_delivered, self.worker.board().now())
        {
            sleep(pause).await;
            match self.try_resume(&handle).await {
                Outcome::Resumed(mut answer) => {
                    meter::record_resume("resumed");
                    self.abandoned.drain(..).for_each(|mut canceller| canceller.disarm());
                    // The head was read to see that the engine resumes the answer.
                    let head = answer.take_head().filter(|_| !self.has_head);
                    self.has_head = true;
                    self.answer = Some(*answer);
                    return Ok(head.map(Payload::Head));
                }
                Outcome::Refused(payload) => {
                    meter::record_resume("lost");
                    return Ok(Some(payload));
                }
                Outcome::Retry => {}
            }
        }
        meter::record_resume("lost");
        Err(fault)
    }

    async fn try_resume(&mut self, handle: &str) -> Outcome {
        let Some(agent) = self.agent() else { return Outcome::Retry };
        self.number += 1;
        let resume = Resume { handle: handle.to_owned(), after: self.last_chunk };
        let message = attempt::message(&self.worker, &self.request, self.number, &self.target);
        let message = wire::Attempt { resume: Some(resume), ..message };
        let mut canceller = Canceller::new(&self.worker, &self.request, self.number, agent);
        let mut observer = Observer::new(&self.worker, &self.request, &self.target).for_resumed();
        let sending = self.worker.transport.send(agent, message);
        let frames = match timeout(ACCEPT_TIMEOUT, sending).await.unwrap_or(Err(Fault::TimedOut)) {
            Ok(frames) => frames,
            Err(fault) => {
                observer.record_loss();
                if matches!(fault, Fault::Connect(_)) {
                    canceller.disarm();
                } else {
                    self.abandoned.push(canceller);
                }
                return Outcome::Retry;
            }
        };
        let owner = hash::owner(&self.request.account);
        let sequence = Sequence::after(self.request.id, self.number, owner, self.last_chunk);
        let mut answer = Answer::new(frames, sequence, observer, canceller);
        match answer.read_head(ACCEPT_TIMEOUT, HEAD_TIMEOUT).await {
            Ok(None) => Outcome::Resumed(Box::new(answer)),
            Ok(Some(Payload::Refused(refusal, _))) if refusal.reason == Reason::Starting => {
                Outcome::Retry
            }
            Ok(Some(payload)) => Outcome::Refused(payload),
            Err(_) => {
                self.abandoned.push(answer.into_canceller());
                Outcome::Retry
            }
        }
    }

    /// Returns the current address of the engine's agent, which may have been replaced.
    fn agent(&self) -> Option<SocketAddr> {
        let engine = &self.target.engine;
        let board = self.worker.board();
        board.with_roster(|roster| roster.member(engine).map(|member| member.data))
    }
}
