//! Forwards an engine's answer to the entry: resumes it if the engine breaks off,
//! cancels it if nobody reads it.

use std::future::pending;
use std::time::Duration;

use backend::engine::Answer;
use backend::engine::Chunk;
use backend::engine::Error;
use backend::engine::Job;
use futures_util::StreamExt;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::Resume;
use wire::frame::Payload;
use wire::frame::Usage;
use wire::refusal::Reason;

use crate::answers::Interrupt;
use crate::answers::Registration;
use crate::failure;
use crate::stop::Stop;
use crate::worker::Worker;
use crate::writer::Writer;

/// An engine that sends nothing for this long is treated as having broken off.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time limit of a resume or cancel call to the engine.
const RESUME_TIMEOUT: Duration = Duration::from_secs(5);

/// Delays before each try to resume an answer. The list starts over once a
/// further chunk has arrived.
const RESUME_DELAYS: &[Duration] =
    &[Duration::from_millis(50), Duration::from_millis(250), Duration::from_secs(1)];

/// Why the chunks of an answer stopped before its end.
enum Break {
    /// The reader closed the connection or stalled.
    Closed,
    /// The answer was cancelled or taken over.
    Interrupt(Interrupt),
    /// The engine broke off.
    Engine(Error),
}

/// Starts work at the engine and forwards its answer.
pub(crate) async fn serve(
    worker: &Worker,
    job: Job,
    registration: &Registration,
    out: &mut Writer,
) -> Result<Usage, Stop> {
    let answer = start(worker, job, registration, out).await?;
    cancel_on_failure(
        worker,
        answer.handle.clone(),
        registration,
        forward(worker, answer, None, registration, out),
    )
    .await
}

/// Resumes an answer that an earlier attempt began and forwards the rest.
pub(crate) async fn resume_answer(
    worker: &Worker,
    from: &Resume,
    registration: &Registration,
    out: &mut Writer,
) -> Result<Usage, Stop> {
    let forwarding = async {
        registration.set_handle(&from.handle);
        let answer = tokio::select! {
            answer = resume(worker, &from.handle, from.after) => answer,
            interrupt = registration.interrupted() => return Err(interrupt.into()),
        };
        let answer = answer.map_err(|error| Stop::Refused(resume_refusal(&error)))?;
        forward(worker, answer, from.after, registration, out).await
    };
    cancel_on_failure(worker, from.handle.clone(), registration, forwarding).await
}

/// Cancels work at the engine whose answer was not forwarded to its end, unless
/// another attempt took it over.
async fn cancel_on_failure(
    worker: &Worker,
    handle: String,
    registration: &Registration,
    forwarding: impl Future<Output = Result<Usage, Stop>>,
) -> Result<Usage, Stop> {
    let result = forwarding.await;
    if result.is_err() && !handle.is_empty() && !registration.is_taken_over() {
        cancel(worker, &handle).await;
    }
    result
}

/// Returns the refusal of an answer that can't be resumed; the work may have run all the
/// same.
fn resume_refusal(error: &Error) -> wire::Refusal {
    match error {
        Error::Refused(_) => failure::unknown(Reason::Missing),
        _ => failure::unknown(Reason::Engine),
    }
}

async fn start(
    worker: &Worker,
    job: Job,
    registration: &Registration,
    out: &Writer,
) -> Result<Answer, Stop> {
    if out.is_closed() || registration.is_cancelled() {
        return Err(Stop::Closed);
    }
    let starting = timeout(STALL_TIMEOUT, worker.engine.start(job));
    tokio::pin!(starting);
    let stop = tokio::select! {
        answer = &mut starting => return match answer {
            Ok(answer) => answer.map_err(|error| failure::refusal(&error).into()),
            Err(_) => Err(failure::unknown(Reason::Engine).into()),
        },
        () = out.closed() => Stop::Closed,
        interrupt = registration.interrupted() => interrupt.into(),
    };
    // Not every engine stops when its connection closes, and the handle to cancel
    // the work comes only with the first chunk, so the start is awaited.
    if let Ok(Ok(answer)) = starting.await
        && !answer.handle.is_empty()
    {
        cancel(worker, &answer.handle).await;
    }
    Err(stop)
}

/// Forwards an answer from the chunk after the last one that was forwarded.
async fn forward(
    worker: &Worker,
    mut answer: Answer,
    mut last: Option<u64>,
    registration: &Registration,
    out: &mut Writer,
) -> Result<Usage, Stop> {
    let is_resumable = answer.head.handle.is_some();
    if is_resumable {
        registration.set_handle(&answer.handle);
    }
    let mut is_closed = out.write(Payload::Head(answer.head.clone())).await.is_err();
    let mut delays = RESUME_DELAYS.iter();
    loop {
        if is_closed {
            return if is_resumable {
                finish_unread(worker, answer, registration).await
            } else {
                Err(Stop::Closed)
            };
        }
        let before = last;
        let error = match forward_chunks(&mut answer, &mut last, registration, out).await {
            Ok(usage) => return Ok(usage),
            Err(Break::Interrupt(interrupt)) => return Err(stop_forwarding(answer, interrupt)),
            Err(Break::Closed) => {
                is_closed = true;
                continue;
            }
            Err(Break::Engine(error)) => error,
        };
        log::warn!("the engine's answer {} broke off: {error}", answer.handle);
        if last != before {
            delays = RESUME_DELAYS.iter();
        }
        // Chunks that were sent can't be taken back, so only the same answer may continue.
        let broken = || Stop::from(failure::unknown(Reason::Engine));
        let after = last.filter(|_| !answer.handle.is_empty()).ok_or_else(broken)?;
        answer = resume_with_retries(worker, &answer.handle, after, &mut delays, registration, out)
            .await?;
    }
}

/// Reads an answer without a reader for up to `resume_grace`: its entry may have
/// failed while the caller is about to resume through another one. The engine
/// keeps the chunks that are read here.
async fn finish_unread(
    worker: &Worker,
    mut answer: Answer,
    registration: &Registration,
) -> Result<Usage, Stop> {
    tokio::select! {
        usage = wait_for_end(&mut answer) => Ok(usage),
        interrupt = registration.interrupted() => Err(stop_forwarding(answer, interrupt)),
        () = sleep(worker.resume_grace) => Err(Stop::Closed),
    }
}

/// Stops forwarding an answer. One that was taken over is still read to its end,
/// because some engines stop the work when the connection that began it closes.
fn stop_forwarding(mut answer: Answer, interrupt: Interrupt) -> Stop {
    if interrupt == Interrupt::TakenOver {
        ntex::rt::spawn(async move { while let Some(Ok(_)) = answer.chunks.next().await {} });
    }
    interrupt.into()
}

/// Waits for the end of an answer, and for ever if it breaks off.
async fn wait_for_end(answer: &mut Answer) -> Usage {
    while let Some(Ok(chunk)) = answer.chunks.next().await {
        if let Chunk::End(usage) = chunk {
            return usage;
        }
    }
    pending().await
}

/// Forwards chunks until the end, without those that were forwarded before.
async fn forward_chunks(
    answer: &mut Answer,
    last: &mut Option<u64>,
    registration: &Registration,
    out: &mut Writer,
) -> Result<Usage, Break> {
    // Chunks of a resumable answer are numbered without gaps, since callers resume by number.
    let is_numbered = answer.head.handle.is_some();
    let mut is_first_after_resume = last.is_some();
    loop {
        let chunk = tokio::select! {
            chunk = timeout(STALL_TIMEOUT, answer.chunks.next()) => chunk,
            () = out.closed() => return Err(Break::Closed),
            interrupt = registration.interrupted() => return Err(Break::Interrupt(interrupt)),
        };
        match chunk {
            Ok(Some(Ok(Chunk::Data(number, bytes)))) => {
                if last.is_some_and(|last| number <= last) {
                    continue;
                }
                if (is_first_after_resume || is_numbered) && *last != number.checked_sub(1) {
                    return Err(Break::Engine(Error::Cut("chunks are missing".to_owned())));
                }
                is_first_after_resume = false;
                out.write(Payload::Data(bytes)).await.map_err(|_| Break::Closed)?;
                *last = Some(number);
            }
            Ok(Some(Ok(Chunk::End(usage)))) => return Ok(usage),
            Ok(Some(Err(error))) => return Err(Break::Engine(error)),
            Ok(None) => return Err(Break::Engine(Error::Cut("the stream ended early".to_owned()))),
            Err(_) => return Err(Break::Engine(Error::Cut("no chunk in time".to_owned()))),
        }
    }
}

/// Resumes an answer whose connection to the engine broke, with the delays that are left.
async fn resume_with_retries(
    worker: &Worker,
    handle: &str,
    after: u64,
    delays: &mut std::slice::Iter<'_, Duration>,
    registration: &Registration,
    out: &Writer,
) -> Result<Answer, Stop> {
    for delay in delays {
        tokio::select! {
            () = sleep(*delay) => {}
            () = out.closed() => return Err(Stop::Closed),
            interrupt = registration.interrupted() => return Err(interrupt.into()),
        }
        match resume(worker, handle, Some(after)).await {
            Ok(answer) => return Ok(answer),
            Err(error) => log::warn!("answer {handle} was not resumed: {error}"),
        }
    }
    Err(failure::unknown(Reason::Engine).into())
}

/// Resumes an answer at the engine, within [`RESUME_TIMEOUT`].
async fn resume(worker: &Worker, handle: &str, after: Option<u64>) -> Result<Answer, Error> {
    let resumed = timeout(RESUME_TIMEOUT, worker.engine.resume(handle, after)).await;
    let mut answer = resumed.map_err(|_| Error::Cut("no answer in time".to_owned()))??;
    handle.clone_into(&mut answer.handle);
    answer.head.handle = Some(handle.to_owned());
    Ok(answer)
}

/// Cancels work that nobody reads. A failure is only logged, and the work then
/// runs until the engine's own limits end it.
async fn cancel(worker: &Worker, handle: &str) {
    match timeout(RESUME_TIMEOUT, worker.engine.cancel(handle)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::warn!("answer {handle} was not cancelled: {error}"),
        Err(_) => log::warn!("answer {handle} was not cancelled in time"),
    }
}
