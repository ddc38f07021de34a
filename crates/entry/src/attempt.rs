//! One attempt of a request at one engine.

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

use crate::answer::Answer;
use crate::canceller::Canceller;
use crate::choice::Target;
use crate::meter::Meter;
use crate::observer::Observer;
use crate::problems::DEFAULT_RETRY_AFTER;
use crate::request::Request;
use crate::stream::Stream;
use crate::transport::Fault;
use crate::worker::Worker;

/// Time within which an agent has to accept or refuse the work.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest pause within an answer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest part of one answer that an entry buffers, in bytes.
const ANSWER_MAX_BYTES: usize = 8 * 1024 * 1024;

/// The part of an answer that is buffered before the response to the caller begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Until {
    /// Up to its first chunk, so that an attempt that fails before it can be retried.
    FirstChunk,
    /// The whole answer.
    End,
}

/// The beginning of an answer, and the stream of the rest.
pub(crate) struct Buffered {
    pub(crate) head: Head,
    /// The chunks read so far.
    pub(crate) chunks: VecDeque<Bytes>,
    /// The token usage, if the answer is whole.
    pub(crate) usage: Option<Usage>,
    /// The rest of the answer.
    pub(crate) rest: Stream,
}

/// An attempt that gave no answer.
#[derive(Debug, Clone)]
pub(crate) struct Failure {
    pub(crate) refusal: Refusal,
    /// The cause in more detail, for the caller's problem document; may be empty.
    pub(crate) detail: String,
}

/// Sends an attempt and buffers its answer up to a point.
pub(crate) async fn run(
    worker: &Rc<Worker>,
    request: &Request,
    number: id::Attempt,
    target: &Target,
    until: Until,
    meter: &mut Meter,
) -> Result<Buffered, Failure> {
    let answer = start(worker, request, number, target).await.map_err(to_failure)?;
    buffer(Stream::new(worker, request, number, target, answer), until, meter).await
}

/// Buffers the answer of a stream up to a point.
pub(crate) async fn buffer(
    stream: Stream,
    until: Until,
    meter: &mut Meter,
) -> Result<Buffered, Failure> {
    read(stream, until, meter).await.map_err(to_failure)
}

/// The cause by which an attempt ended early.
enum Error {
    /// The agent refused the attempt or ended it early.
    Refused(Refusal),
    /// The agent could not be reached, or the connection to it broke.
    Lost(Fault),
    /// The answer is larger than [`ANSWER_MAX_BYTES`].
    Oversized,
}

impl From<Fault> for Error {
    fn from(fault: Fault) -> Error {
        Error::Lost(fault)
    }
}

/// Sends the attempt and waits until the agent accepts it.
async fn start(
    worker: &Rc<Worker>,
    request: &Request,
    number: id::Attempt,
    target: &Target,
) -> Result<Answer, Error> {
    let mut observer = Observer::new(worker, request, target);
    let mut canceller = Canceller::new(worker, request, number, target.address);
    let sending = worker.transport.send(target.address, message(worker, request, number, target));
    let sent = timeout(first_frame_timeout(request), sending).await.unwrap_or(Err(Fault::TimedOut));
    if matches!(sent, Err(Fault::Connect(_))) {
        canceller.disarm();
    }
    let frames = sent.inspect_err(|_| observer.record_loss())?;
    let sequence = Sequence::new(request.id, number, hash::owner(&request.account));
    let mut answer = Answer::new(frames, sequence, observer, canceller);
    match answer.next(first_frame_timeout(request)).await? {
        Payload::Refused(refusal, _) => Err(Error::Refused(refusal)),
        _ => Ok(answer),
    }
}

/// Returns the time limit for the first frame. Work that can't be retried gains nothing
/// from a short one, and its agent may first have to ask the key-value service.
fn first_frame_timeout(request: &Request) -> Duration {
    if request.work.is_idempotent() { FIRST_FRAME_TIMEOUT } else { IDLE_TIMEOUT }
}

async fn read(mut answer: Stream, until: Until, meter: &mut Meter) -> Result<Buffered, Error> {
    let mut head = None;
    let mut chunks = VecDeque::new();
    let mut bytes = 0;
    let mut usage = None;
    while usage.is_none() && (until == Until::End || chunks.is_empty()) {
        match answer.next(IDLE_TIMEOUT).await? {
            Payload::Head(received) => head = Some(received),
            Payload::Data(chunk) => {
                meter.record_chunk();
                bytes += chunk.len();
                if bytes > ANSWER_MAX_BYTES {
                    return Err(Error::Oversized);
                }
                chunks.push_back(chunk);
            }
            Payload::End(received) => usage = Some(received),
            Payload::Refused(refusal, _) => return Err(Error::Refused(refusal)),
            Payload::Accepted(_) => {}
        }
    }
    let head = head.ok_or_else(|| Fault::Invalid("no head".to_owned()))?;
    Ok(Buffered { head, chunks, usage, rest: answer })
}

/// Reads the next payload of an answer that is relayed as it comes.
pub(crate) async fn next(answer: &mut Stream) -> Result<Payload, Fault> {
    answer.next(IDLE_TIMEOUT).await
}

/// Builds the message of an attempt for its agent.
pub(crate) fn message(
    worker: &Worker,
    request: &Request,
    number: id::Attempt,
    target: &Target,
) -> Attempt {
    let board = worker.board();
    Attempt {
        stamp: board.stamp(),
        request: request.id,
        attempt: number,
        account: request.account.clone(),
        service: request.service.clone(),
        deadline: request.time_left(board.now()),
        cost: request.cost,
        mean: board.mean(),
        home: target.home.clone(),
        redirect: target.can_redirect,
        work: request.work.clone(),
        resume: None,
    }
}

/// Converts an error: whether the work ran is unknown unless the agent said so or the
/// attempt was never sent.
fn to_failure(error: Error) -> Failure {
    let refusal =
        |reason, ran| Refusal { reason, ran, retry_after: DEFAULT_RETRY_AFTER, hint: None };
    match error {
        Error::Refused(refusal) => Failure { refusal, detail: String::new() },
        Error::Oversized => Failure {
            refusal: refusal(Reason::Foreign, Ran::Unknown),
            detail: format!(
                "the answer has more than {ANSWER_MAX_BYTES} bytes: ask for it streamed"
            ),
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
