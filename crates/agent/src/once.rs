//! Calls with an idempotency key, which must not run twice: a claim is written first,
//! then the call runs, then its answer is stored.
//!
//! `policy::claim` makes the decisions; see `docs/decisions/claims.md`.

mod claim_store;
mod lease_cache;

use std::rc::Rc;
use std::time::Duration;

use backend::engine;
use backend::engine::Chunk;
use backend::engine::Error;
use backend::engine::Job;
use bytes::Bytes;
use futures_util::StreamExt;
use policy::claim::Answer;
use tokio::time::timeout;
use wire::Digest;
use wire::frame::Head;
use wire::frame::Payload;
use wire::frame::Usage;
use wire::refusal::Ran;
use wire::refusal::Reason;
use wire::work::Call;

pub(crate) use claim_store::Acquired;
pub(crate) use claim_store::ClaimStore;
pub use lease_cache::LeaseCache;

use crate::failure;
use crate::once::claim_store::Held;
use crate::stop::Stop;
use crate::worker::Worker;
use crate::writer::Writer;

/// An engine that sends nothing for this long is treated as having broken off.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which the end of an answer waits until the answer is stored. Storing
/// continues after that, but a retry in between is told that the outcome is unknown.
const STORE_WAIT_TIMEOUT: Duration = Duration::from_millis(250);

/// Runs a call at most once, or replays its stored answer.
pub(crate) async fn serve(
    worker: &Rc<Worker>,
    key: String,
    call: &Call,
    job: Job,
    out: &mut Writer,
) -> Result<Usage, Stop> {
    let claim_store = ClaimStore::new(worker, key, digest(call));
    let held = match claim_store.acquire().await? {
        Acquired::Run(held) => held,
        Acquired::Replay(answer) => return replay(answer, out).await,
    };
    if out.is_closed() {
        claim_store.release(held).await;
        return Err(Stop::Closed);
    }
    if !held.can_begin(worker.board.now()) {
        // The claim is left to expire, since another attempt may already have found
        // it expired and claimed the call.
        return Err(failure::unknown(Reason::Store).into());
    }
    let answer = match timeout(STALL_TIMEOUT, worker.engine.start(job)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return Err(release_if_not_run(&claim_store, held, &error).await),
        Err(_) => return Err(failure::unknown(Reason::Engine).into()),
    };
    let collected = forward(answer, out).await?;
    store(worker, claim_store, held, collected).await;
    Ok(Usage::default())
}

/// Returns the hash of method, path and body, so that a key can't be reused for another call.
fn digest(call: &Call) -> Digest {
    let head = format!("{}:{}/{}:{}/", call.method.len(), call.method, call.path.len(), call.path);
    Digest::of(&[head.as_bytes(), &call.body].concat())
}

/// Releases the claim of a call that failed to start, if it surely did not run,
/// so that it may run elsewhere. Returns the refusal.
async fn release_if_not_run(claim_store: &ClaimStore, held: Held, error: &Error) -> Stop {
    let refusal = failure::refusal(error);
    if refusal.ran == Ran::No {
        claim_store.release(held).await;
    }
    refusal.into()
}

/// Forwards the answer and collects it for storing. It is read to its end even
/// if the reader is gone.
async fn forward(mut answer: engine::Answer, out: &mut Writer) -> Result<Answer, Stop> {
    let mut collected = Answer {
        status: answer.head.status,
        content_type: answer.head.content_type.clone(),
        body: Vec::new(),
    };
    let _ = out.write(Payload::Head(answer.head)).await;
    loop {
        match timeout(STALL_TIMEOUT, answer.chunks.next()).await {
            Ok(Some(Ok(Chunk::Data(_, bytes)))) => {
                append_bounded(&mut collected.body, &bytes);
                let _ = out.write(Payload::Data(bytes)).await;
            }
            Ok(Some(Ok(Chunk::End(_)))) => return Ok(collected),
            Ok(Some(Err(_)) | None) | Err(_) => {
                return Err(failure::unknown(Reason::Engine).into());
            }
        }
    }
}

/// Appends to a body until it is too large to be stored; the rest is dropped.
fn append_bounded(body: &mut Vec<u8>, bytes: &[u8]) {
    if body.len() <= Answer::MAX_BYTES {
        body.extend_from_slice(bytes);
    }
}

async fn store(worker: &Rc<Worker>, claim_store: ClaimStore, held: Held, answer: Answer) {
    let guard = worker.shared.flight.guard();
    let storing = ntex::rt::spawn(async move {
        claim_store.complete(held, answer).await;
        drop(guard);
    });
    if timeout(STORE_WAIT_TIMEOUT, storing).await.is_err() {
        log::warn!("the answer to a call with a key is not stored yet");
    }
}

async fn replay(answer: Answer, out: &mut Writer) -> Result<Usage, Stop> {
    let head = Head {
        status: answer.status,
        content_type: answer.content_type,
        replayed: true,
        handle: None,
    };
    out.write(Payload::Head(head)).await?;
    if !answer.body.is_empty() {
        out.write(Payload::Data(Bytes::from(answer.body))).await?;
    }
    Ok(Usage::default())
}
