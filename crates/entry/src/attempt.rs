//! One try of a request at one engine.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use policy::sequence::Sequence;
use tokio::time::timeout;
use wire::Attempt;
use wire::Refusal;
use wire::frame::Head;
use wire::frame::Payload;
use wire::frame::Usage;
use wire::hash;
use wire::id;
use wire::refusal::Ran;
use wire::refusal::Reason;

use crate::agents::Fault;
use crate::answer::Answer;
use crate::choice::Target;
use crate::meter::Meter;
use crate::observer::Observer;
use crate::order::Order;
use crate::problems::COME_BACK;
use crate::stream::Stream;
use crate::waiting::Waiting;
use crate::worker::Worker;

/// An agent answers within this time that it took the work on, or did not.
const FIRST_FRAME: Duration = Duration::from_secs(2);

/// Longer than this no answer pauses.
const PAUSE: Duration = Duration::from_secs(60);

/// Bytes of one answer that an entry holds.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// How much of an answer is read before the caller is given any of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Until {
    /// Up to its first piece, so that a failure before it can be mended.
    Piece,
    /// All of it.
    End,
}

/// An answer that has come far enough to be given to the caller.
pub(crate) struct Opened {
    pub(crate) head: Head,
    /// The pieces read so far.
    pub(crate) pieces: VecDeque<Bytes>,
    /// Set if the answer is whole.
    pub(crate) usage: Option<Usage>,
    /// The rest of the answer.
    pub(crate) rest: Stream,
}

/// Why a try gave no answer.
#[derive(Debug, Clone)]
pub(crate) struct Failure {
    pub(crate) refusal: Refusal,
    /// More about it, for the caller's problem document.
    pub(crate) detail: String,
}

/// Sends the attempt and reads its answer up to a point.
pub(crate) async fn run(
    worker: &Rc<Worker>,
    order: &Order,
    number: id::Attempt,
    target: &Target,
    until: Until,
    meter: &mut Meter,
) -> Result<Opened, Failure> {
    let answer = start(worker, order, number, target).await.map_err(fail)?;
    open(Stream::new(worker, order, number, target, answer), until, meter).await
}

/// Reads the answer to accepted work up to a point.
pub(crate) async fn open(
    stream: Stream,
    until: Until,
    meter: &mut Meter,
) -> Result<Opened, Failure> {
    read(stream, until, meter).await.map_err(fail)
}

/// How an attempt ended early.
enum Error {
    /// The agent refused it, or gave it up.
    Refused(Refusal),
    /// Its agent could not be reached or broke off.
    Lost(Fault),
    /// Its answer is larger than an entry holds.
    Oversized,
}

impl From<Fault> for Error {
    fn from(fault: Fault) -> Error {
        Error::Lost(fault)
    }
}

/// Sends the attempt and waits until the agent took it on.
async fn start(
    worker: &Rc<Worker>,
    order: &Order,
    number: id::Attempt,
    target: &Target,
) -> Result<Answer, Error> {
    let mut observer = Observer::new(worker, order, target);
    let mut waiting = Waiting::new(worker, order, number, target.data);
    let sending = worker.agents.send(target.data, message(worker, order, number, target));
    let sent = timeout(first_frame(order), sending).await.unwrap_or(Err(Fault::Silent));
    if matches!(sent, Err(Fault::Connect(_))) {
        waiting.over();
    }
    let frames = sent.inspect_err(|_| observer.lost())?;
    let sequence = Sequence::new(order.request, number, hash::owner(&order.account));
    let mut answer = Answer::new(frames, sequence, observer, waiting);
    match answer.next(first_frame(order)).await? {
        Payload::Refused(refusal, _) => Err(Error::Refused(refusal)),
        _ => Ok(answer),
    }
}

/// Work that can't be tried elsewhere gains nothing from an early end, and its
/// agent may first have to ask the key-value service.
fn first_frame(order: &Order) -> Duration {
    if order.work.is_idempotent() { FIRST_FRAME } else { PAUSE }
}

async fn read(mut answer: Stream, until: Until, meter: &mut Meter) -> Result<Opened, Error> {
    let mut head = None;
    let mut pieces = VecDeque::new();
    let mut bytes = 0;
    let mut usage = None;
    while usage.is_none() && (until == Until::End || pieces.is_empty()) {
        match answer.next(PAUSE).await? {
            Payload::Head(given) => head = Some(given),
            Payload::Data(piece) => {
                meter.piece();
                bytes += piece.len();
                if bytes > ANSWER_BYTES {
                    return Err(Error::Oversized);
                }
                pieces.push_back(piece);
            }
            Payload::End(given) => usage = Some(given),
            Payload::Refused(refusal, _) => return Err(Error::Refused(refusal)),
            Payload::Accepted(_) => {}
        }
    }
    let head = head.ok_or_else(|| Fault::Foreign("no head".to_owned()))?;
    Ok(Opened { head, pieces, usage, rest: answer })
}

/// Reads the next piece of an answer that is passed on as it comes.
pub(crate) async fn next(answer: &mut Stream) -> Result<Payload, Fault> {
    answer.next(PAUSE).await
}

/// The attempt as its agent is sent it.
pub(crate) fn message(
    worker: &Worker,
    order: &Order,
    number: id::Attempt,
    target: &Target,
) -> Attempt {
    let board = worker.board();
    Attempt {
        stamp: board.stamp(),
        request: order.request,
        attempt: number,
        account: order.account.clone(),
        service: order.service.clone(),
        deadline: order.left(board.now()),
        cost: order.cost,
        mean: board.mean(),
        home: target.home.clone(),
        redirect: target.redirect,
        work: order.work.clone(),
        resume: None,
    }
}

/// Nothing is known of work whose agent broke off, unless it was never sent.
fn fail(error: Error) -> Failure {
    let refusal = |reason, ran| Refusal { reason, ran, retry_after: COME_BACK, hint: None };
    match error {
        Error::Refused(refusal) => Failure { refusal, detail: String::new() },
        Error::Oversized => Failure {
            refusal: refusal(Reason::Foreign, Ran::Unknown),
            detail: format!("the answer has more than {ANSWER_BYTES} bytes: ask for it streamed"),
        },
        Error::Lost(fault) => {
            let ran = match fault {
                Fault::Connect(_) => Ran::No,
                _ => Ran::Unknown,
            };
            Failure { refusal: refusal(Reason::Engine, ran), detail: fault.to_string() }
        }
    }
}
