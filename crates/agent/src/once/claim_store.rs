//! The claim on one call, as it is kept in the key-value service.

use std::future::Future;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use policy::claim::Answer;
use policy::claim::Attempt;
use policy::claim::Claim;
use policy::claim::Nonce;
use policy::claim::Step;
use policy::claim::Term;
use policy::claim::Unreadable;
use policy::claim::Write;
use services::store::Commit;
use services::store::Condition;
use services::store::Error;
use services::store::Lease;
use services::store::Outcome;
use services::store::Put;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::Digest;
use wire::Refusal;
use wire::refusal::Reason;

use crate::failure;
use crate::worker::Worker;

/// Time limit of one call to the key-value service.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Delays before each try to store an answer.
const STORE_RETRY_DELAYS: &[Duration] = &[
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(400),
    Duration::from_millis(1_600),
    Duration::from_millis(6_400),
];

/// Creates, reads, completes and releases the claim of one attempt at a call.
pub(crate) struct ClaimStore {
    worker: Rc<Worker>,
    key: String,
    call: Digest,
    nonce: Nonce,
}

/// The result of acquiring the claim.
pub(crate) enum Acquired {
    /// The claim is held, so the call may run.
    Run(Held),
    /// The call already ran; this is its stored answer.
    Replay(Answer),
}

/// A claim that this attempt holds.
pub(crate) struct Held {
    version: u64,
    lease: Lease,
    term: Term,
}

impl Held {
    /// Returns whether the call may still be started under the claim.
    pub(crate) fn can_begin(&self, now: Duration) -> bool {
        self.term.can_begin(now)
    }
}

impl ClaimStore {
    /// Returns the store of the claim at `key` for a new attempt at a call.
    pub(crate) fn new(worker: &Rc<Worker>, key: String, call: Digest) -> ClaimStore {
        let identity = worker.board.identity();
        let nonce = Nonce {
            vm: identity.vm.clone(),
            incarnation: identity.incarnation,
            serial: worker.shared.serial.fetch_add(1, Ordering::Relaxed),
        };
        ClaimStore { worker: Rc::clone(worker), key, call, nonce }
    }

    /// Acquires the claim, or finds the stored answer of an earlier attempt.
    pub(crate) async fn acquire(&self) -> Result<Acquired, Refusal> {
        let (lease, term) = self.lease().await?;
        let mut claim = Attempt::new(self.nonce.clone(), self.call.clone());
        let mut version = 0;
        let mut step = Step::Create;
        loop {
            step = match step {
                Step::Create => {
                    let write = self.put(0, &claim.claim(), lease).await;
                    version = write.1;
                    claim.after_create(write.0)
                }
                Step::Read => {
                    let found = self.read().await;
                    version = found.as_ref().map_or(0, |found| found.1);
                    claim.after_read(found.map(|found| found.0))
                }
                Step::Run => return Ok(Acquired::Run(Held { version, lease, term })),
                Step::Replay(answer) => return Ok(Acquired::Replay(answer)),
                Step::Refuse(reason, ran) => {
                    if reason == Reason::Store {
                        self.worker.lease_cache.invalidate();
                    }
                    return Err(Refusal { ran, ..failure::not_run(reason) });
                }
            };
        }
    }

    /// Removes the claim of a call that did not run. If that fails, later attempts
    /// are told that the outcome is unknown, which is safe.
    pub(crate) async fn release(&self, held: Held) {
        let condition = Condition { key: self.key.clone(), version: held.version };
        let commit = Commit {
            conditions: vec![condition],
            removes: vec![self.key.clone()],
            ..Commit::default()
        };
        if let Err(error) = with_timeout(self.worker.store.commit(&commit)).await {
            log::warn!("the claim on a call that did not run was not released: {error}");
        }
    }

    /// Stores the answer, with retries after [`STORE_RETRY_DELAYS`].
    pub(crate) async fn complete(&self, held: Held, answer: Answer) {
        let completed = Attempt::new(self.nonce.clone(), self.call.clone()).completed(answer);
        for delay in STORE_RETRY_DELAYS {
            sleep(*delay).await;
            match self.put(held.version, &completed, held.lease).await.0 {
                // A conflict means that a lost write took effect or the claim expired.
                Write::Written | Write::Conflict => return,
                Write::Unknown | Write::NotWritten => {}
            }
        }
        log::warn!("the answer to a call was not stored: later attempts don't learn its outcome");
    }

    async fn lease(&self) -> Result<(Lease, Term), Refusal> {
        let worker = &self.worker;
        let age = worker.board.document().limit.claim_age;
        let store = worker.store.as_ref();
        let granted = worker.lease_cache.current(store, age, || worker.board.now());
        with_timeout(granted).await.map_err(|_| failure::unknown(Reason::Store))
    }

    /// Writes the claim if the stored one has the given version, 0 for none.
    /// Returns the new version.
    async fn put(&self, version: u64, claim: &Claim, lease: Lease) -> (Write, u64) {
        let Ok(value) = postcard::to_stdvec(claim) else { return (Write::NotWritten, 0) };
        let commit = Commit {
            conditions: vec![Condition { key: self.key.clone(), version }],
            puts: vec![Put { key: self.key.clone(), value, lease: Some(lease) }],
            ..Commit::default()
        };
        match with_timeout(self.worker.store.commit(&commit)).await {
            Ok(Outcome::Written(version)) => (Write::Written, version),
            Ok(Outcome::Conflict) => (Write::Conflict, 0),
            Err(Error::Down(_) | Error::Limited) => (Write::NotWritten, 0),
            Err(Error::Lost(_) | Error::Compacted | Error::Restored | Error::Protocol(_)) => {
                (Write::Unknown, 0)
            }
        }
    }

    /// Reads the claim and its version, which is 0 if there is none. Fails if the
    /// call fails or the value can't be decoded.
    async fn read(&self) -> Result<(Option<Claim>, u64), Unreadable> {
        let entry =
            with_timeout(self.worker.store.read(&self.key)).await.map_err(|_| Unreadable)?;
        let Some(entry) = entry else { return Ok((None, 0)) };
        let claim = postcard::from_bytes(&entry.value).map_err(|_| Unreadable)?;
        Ok((Some(claim), entry.version))
    }
}

/// Runs a call of the store; one that exceeds [`CALL_TIMEOUT`] counts as lost.
async fn with_timeout<T>(call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    match timeout(CALL_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(Error::Lost("no answer in time".to_owned())),
    }
}
