//! The claim on one call in the key-value service.

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

/// The key-value service answers within this time or counts as silent.
const CALL_TIME: Duration = Duration::from_secs(2);

/// Pauses between the tries to store an answer.
const PAUSES: &[Duration] = &[
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(400),
    Duration::from_millis(1_600),
    Duration::from_millis(6_400),
];

/// One try of one call, and where its claim stands.
pub(crate) struct Ledger {
    worker: Rc<Worker>,
    key: String,
    call: Digest,
    nonce: Nonce,
}

/// What the claim allows.
pub(crate) enum Taken {
    Run(Held),
    Replay(Answer),
}

/// The claim of this try, as the key-value service holds it.
pub(crate) struct Held {
    version: u64,
    lease: Lease,
    term: Term,
}

impl Held {
    /// Whether the call may still be begun under the claim.
    pub(crate) fn may_begin(&self, now: Duration) -> bool {
        self.term.can_begin(now)
    }
}

impl Ledger {
    pub(crate) fn new(worker: &Rc<Worker>, key: String, call: Digest) -> Ledger {
        let identity = worker.board.identity();
        let nonce = Nonce {
            vm: identity.vm.clone(),
            incarnation: identity.incarnation,
            serial: worker.shared.serial.fetch_add(1, Ordering::Relaxed),
        };
        Ledger { worker: Rc::clone(worker), key, call, nonce }
    }

    /// Claims the call, or finds out what came of it.
    pub(crate) async fn take(&self) -> Result<Taken, Refusal> {
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
                Step::Run => return Ok(Taken::Run(Held { version, lease, term })),
                Step::Replay(answer) => return Ok(Taken::Replay(answer)),
                Step::Refuse(reason, ran) => {
                    if reason == Reason::Store {
                        self.worker.lease.forget();
                    }
                    return Err(Refusal { ran, ..failure::not_run(reason) });
                }
            };
        }
    }

    /// Removes the claim of a call that was not begun. If that fails, later
    /// tries are told "unknown", which is safe.
    pub(crate) async fn release(&self, held: Held) {
        let condition = Condition { key: self.key.clone(), version: held.version };
        let commit = Commit {
            conditions: vec![condition],
            removes: vec![self.key.clone()],
            ..Commit::default()
        };
        if let Err(error) = within(self.worker.store.commit(&commit)).await {
            log::warn!("the claim on a call that was not begun stays: {error}");
        }
    }

    /// Stores the answer, trying again for a while.
    pub(crate) async fn complete(&self, held: Held, answer: Answer) {
        let done = Attempt::new(self.nonce.clone(), self.call.clone()).completed(answer);
        for pause in PAUSES {
            sleep(*pause).await;
            match self.put(held.version, &done, held.lease).await.0 {
                // A conflict means that a lost write took effect or the claim lapsed.
                Write::Written | Write::Conflict => return,
                Write::Unknown | Write::NotWritten => {}
            }
        }
        log::warn!("the answer to a call was not stored: later tries are told unknown");
    }

    async fn lease(&self) -> Result<(Lease, Term), Refusal> {
        let worker = &self.worker;
        let age = worker.board.document().limit.claim_age;
        let store = worker.store.as_ref();
        let granted = worker.lease.current(store, age, || worker.board.now());
        within(granted).await.map_err(|_| failure::unknown(Reason::Store))
    }

    /// Writes the claim over the one of a version, 0 for none; gives the new version.
    async fn put(&self, version: u64, claim: &Claim, lease: Lease) -> (Write, u64) {
        let Ok(value) = postcard::to_stdvec(claim) else { return (Write::NotWritten, 0) };
        let commit = Commit {
            conditions: vec![Condition { key: self.key.clone(), version }],
            puts: vec![Put { key: self.key.clone(), value, lease: Some(lease) }],
            ..Commit::default()
        };
        match within(self.worker.store.commit(&commit)).await {
            Ok(Outcome::Written(version)) => (Write::Written, version),
            Ok(Outcome::Conflict) => (Write::Conflict, 0),
            Err(Error::Down(_) | Error::Limited) => (Write::NotWritten, 0),
            Err(Error::Lost(_) | Error::Compacted | Error::Protocol(_)) => (Write::Unknown, 0),
        }
    }

    /// The claim with its version; a value that can't be read is taken for none readable.
    async fn read(&self) -> Result<(Option<Claim>, u64), Unreadable> {
        let entry = within(self.worker.store.read(&self.key)).await.map_err(|_| Unreadable)?;
        let Some(entry) = entry else { return Ok((None, 0)) };
        let claim = postcard::from_bytes(&entry.value).map_err(|_| Unreadable)?;
        Ok((Some(claim), entry.version))
    }
}

/// A call of the store that takes too long counts as lost.
async fn within<T>(call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    match timeout(CALL_TIME, call).await {
        Ok(result) => result,
        Err(_) => Err(Error::Lost("no answer in time".to_owned())),
    }
}
