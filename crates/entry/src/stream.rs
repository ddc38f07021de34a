//! An answer that goes on by itself after it broke off.

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

use crate::agents::Fault;
use crate::answer::Answer;
use crate::attempt;
use crate::choice::Target;
use crate::meter;
use crate::observer::Observer;
use crate::order::Order;
use crate::waiting::Waiting;
use crate::worker::Worker;

/// An agent says within this time that it goes on with an answer.
const ACCEPT_TIME: Duration = Duration::from_secs(2);

/// An engine gives the rest of an answer within this time.
const HEAD_TIME: Duration = Duration::from_secs(6);

/// Attempts that go on with an answer count from multiples of this, so that
/// none has the number of one that begins it.
const NUMBERS: id::Attempt = 1 << 16;

/// One answer, over as many attempts as it takes.
pub(crate) struct Stream {
    worker: Rc<Worker>,
    order: Order,
    target: Target,
    /// None before the first attempt of an answer that another entry began.
    answer: Option<Answer>,
    /// The engine's name of the answer, where it keeps it.
    handle: Option<String>,
    has_head: bool,
    /// Whether the caller has a part of it.
    is_given: bool,
    last: Option<u64>,
    number: id::Attempt,
    tries: Resumption,
    /// Attempts that broke off and may run on at an agent.
    left: Vec<Waiting>,
}

/// What became of one try to go on.
enum Try {
    /// The answer goes on.
    Resumed(Box<Answer>),
    /// It can't go on.
    Refused(Payload),
    /// It may go on later.
    Later,
}

impl Stream {
    /// An answer that an attempt began.
    pub(crate) fn new(
        worker: &Rc<Worker>,
        order: &Order,
        number: id::Attempt,
        target: &Target,
        answer: Answer,
    ) -> Stream {
        Stream { answer: Some(answer), ..Stream::bare(worker, order, number, target) }
    }

    /// An answer that another entry began, from the piece after one on.
    pub(crate) fn resumed(
        worker: &Rc<Worker>,
        order: &Order,
        target: &Target,
        from: Resume,
    ) -> Stream {
        let bare = Stream::bare(worker, order, 0, target);
        Stream { handle: Some(from.handle), is_given: true, last: from.after, ..bare }
    }

    fn bare(worker: &Rc<Worker>, order: &Order, number: id::Attempt, target: &Target) -> Stream {
        Stream {
            worker: Rc::clone(worker),
            order: order.without_body(),
            target: target.clone(),
            answer: None,
            handle: None,
            has_head: false,
            is_given: false,
            last: None,
            number: (number + 1) * NUMBERS,
            tries: Resumption::default(),
            left: Vec::new(),
        }
    }

    /// The caller gets a part of the answer, so no other engine can begin it anew.
    pub(crate) fn given(&mut self) {
        self.is_given = true;
    }

    /// The engine's name of the answer, once its head came from one that keeps it.
    pub(crate) fn handle(&self) -> Option<&str> {
        self.handle.as_deref()
    }

    /// The engine that gives it.
    pub(crate) fn engine(&self) -> &str {
        &self.target.engine
    }

    /// The number of the last piece that came; pieces count from 0.
    pub(crate) fn last(&self) -> Option<u64> {
        self.last
    }

    /// The next piece, which has to come within a time.
    ///
    /// # Errors
    ///
    /// The answer can't be read further after an error.
    pub(crate) async fn next(&mut self, within: Duration) -> Result<Payload, Fault> {
        loop {
            let next = match &mut self.answer {
                Some(answer) => answer.next(within).await,
                None => Err(Fault::Cut("its entry broke off".to_owned())),
            };
            match next {
                Ok(Payload::Head(head)) if !self.has_head => {
                    self.has_head = true;
                    self.handle = head.handle.clone();
                    return Ok(Payload::Head(head));
                }
                Ok(Payload::Data(piece)) => {
                    self.last = self.answer.as_ref().and_then(Answer::last_piece);
                    self.tries.advanced();
                    return Ok(Payload::Data(piece));
                }
                Ok(payload) => return Ok(payload),
                Err(fault) => {
                    if let Some(payload) = self.go_on(fault).await? {
                        return Ok(payload);
                    }
                }
            }
        }
    }

    /// Asks the engine's agent for the rest until it comes; gives what the
    /// reader has to be told, if anything.
    async fn go_on(&mut self, fault: Fault) -> Result<Option<Payload>, Fault> {
        let is_broken = matches!(fault, Fault::Cut(_) | Fault::Silent);
        let Some(handle) = self.handle.clone().filter(|_| is_broken) else { return Err(fault) };
        self.left.extend(self.answer.take().map(Answer::into_waiting));
        while let Some(pause) = self.tries.next(self.is_given, self.worker.board().now()) {
            sleep(pause).await;
            match self.ask(&handle).await {
                Try::Resumed(mut answer) => {
                    meter::resumed("resumed");
                    self.left.drain(..).for_each(|mut waiting| waiting.over());
                    // The head was read to see that the engine goes on.
                    let head = answer.take_head().filter(|_| !self.has_head);
                    self.has_head = true;
                    self.answer = Some(*answer);
                    return Ok(head.map(Payload::Head));
                }
                Try::Refused(payload) => {
                    meter::resumed("lost");
                    return Ok(Some(payload));
                }
                Try::Later => {}
            }
        }
        meter::resumed("lost");
        Err(fault)
    }

    async fn ask(&mut self, handle: &str) -> Try {
        let Some(agent) = self.agent() else { return Try::Later };
        self.number += 1;
        let resume = Resume { handle: handle.to_owned(), after: self.last };
        let message = attempt::message(&self.worker, &self.order, self.number, &self.target);
        let message = wire::Attempt { resume: Some(resume), ..message };
        let mut waiting = Waiting::new(&self.worker, &self.order, self.number, agent);
        let mut observer = Observer::new(&self.worker, &self.order, &self.target).of_rest();
        let sending = self.worker.agents.send(agent, message);
        let frames = match timeout(ACCEPT_TIME, sending).await.unwrap_or(Err(Fault::Silent)) {
            Ok(frames) => frames,
            Err(fault) => {
                observer.lost();
                if matches!(fault, Fault::Connect(_)) {
                    waiting.over();
                } else {
                    self.left.push(waiting);
                }
                return Try::Later;
            }
        };
        let owner = hash::owner(&self.order.account);
        let sequence = Sequence::after(self.order.request, self.number, owner, self.last);
        let mut answer = Answer::new(frames, sequence, observer, waiting);
        match answer.begin(ACCEPT_TIME, HEAD_TIME).await {
            Ok(None) => Try::Resumed(Box::new(answer)),
            Ok(Some(Payload::Refused(refusal, _))) if refusal.reason == Reason::Starting => {
                Try::Later
            }
            Ok(Some(payload)) => Try::Refused(payload),
            Err(_) => {
                self.left.push(answer.into_waiting());
                Try::Later
            }
        }
    }

    /// The agent of the engine, which may have been replaced.
    fn agent(&self) -> Option<SocketAddr> {
        let engine = &self.target.engine;
        let board = self.worker.board();
        board.with_roster(|roster| roster.member(engine).map(|member| member.data))
    }
}
